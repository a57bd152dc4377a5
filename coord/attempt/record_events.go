package attempt

import "time"

// Digest is a cryptographic digest of a call's method, path and body. It
// distinguishes a retry from another call under the same key.
type Digest [32]byte

// Answer is a service's complete response as the record stores it.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// Content is the media type.
	Content string
	// Worker is the endpoint that ran the call.
	Worker string
	// Body is the complete body. The record keeps the slice without copying it.
	Body []byte
}

// RecordEvent is an input to a Record.
type RecordEvent interface{ recordEvent() }

// Arrive reports the arrival of a send of a call that carries a key.
type Arrive struct {
	// Send identifies the send within the instance; it is never zero.
	Send uint64
	// Key is the caller's idempotency key.
	Key Key
	// Digest is the digest of the call.
	Digest Digest
	// Wall is the instance's wall clock, since the Unix epoch.
	Wall time.Duration
	// Held is set if the instance currently holds the right to the key's shard.
	Held bool
	// HeldSince is when that right began, on the clock that is passed to Step.
	HeldSince time.Duration
	// Floor is a minimum for the floor that applies to this key alone, since the
	// Unix epoch; 0 means none. It is needed for a key whose home data centre has
	// changed, because the key may have run in the previous one.
	Floor time.Duration
}

// Finished reports the end of the run that a Run action started.
type Finished struct {
	Send    uint64
	Outcome Outcome
	// Answer is the complete response if the outcome is Served.
	Answer Answer
}

// Abandoned reports that the caller of a send that joined a run has
// disconnected.
type Abandoned struct{ Send uint64 }

// Tick evicts the keys whose retention has ended.
type Tick struct {
	// Wall is the instance's wall clock, since the Unix epoch.
	Wall time.Duration
}

// Inherited gives the new holder of a shard's right the state that the previous
// holder had when it gave up the right. The hand-over must come from the holder
// whose right ended where this one began; then the change makes no call's
// outcome unknown.
type Inherited struct {
	// HeldSince is when this instance's right began, as in Arrive.
	HeldSince time.Duration
	// HandOver is the previous holder's state of the shard.
	HandOver HandOver
}

func (Arrive) recordEvent()    {}
func (Finished) recordEvent()  {}
func (Abandoned) recordEvent() {}
func (Tick) recordEvent()      {}
func (Inherited) recordEvent() {}

// RecordAction is an output of a Record.
type RecordAction interface{ recordAction() }

// Run starts the only run of the key. The event Finished must follow.
type Run struct{ Send uint64 }

// Reply answers a send with the response of the run.
type Reply struct {
	Send   uint64
	Answer Answer
}

// Refuse answers a send without running it.
type Refuse struct {
	Send uint64
	// Outcome is NotRun or Unknown.
	Outcome Outcome
	Reason  Reason
}

func (Run) recordAction()    {}
func (Reply) recordAction()  {}
func (Refuse) recordAction() {}

// Reason is the error code of a refused send.
type Reason string

// The reasons for which a send is refused.
const (
	// NotHolder: the instance does not hold the right to the key's shard.
	NotHolder Reason = "key_not_owned"
	// BelowFloor: the key was minted at or before the shard's floor and may have
	// run under an earlier holder or before it was evicted.
	BelowFloor Reason = "key_older_than_record"
	// FromFuture: the key was minted more than FutureLimit ahead of the clock.
	FromFuture Reason = "key_from_future"
	// Expired: the key has not run and its retention has ended.
	Expired Reason = "key_expired"
	// Reused: the key was used before with another method, path or body.
	Reused Reason = "key_reused"
	// Full: the record is full of keys with runs in progress.
	Full Reason = "key_record_full"
	// InProgress: the run is in progress and MaxJoined sends already wait for it.
	InProgress Reason = "key_in_progress"
	// RunUnknown: the outcome of the key's run is unknown.
	RunUnknown Reason = "key_outcome_unknown"
	// RunNotRun: the run that this send joined ended with the outcome NotRun.
	RunNotRun Reason = "key_not_run"
	// AnswerDropped: the call ran, but its response was too large to store or was
	// left out of a hand-over.
	AnswerDropped Reason = "key_answer_dropped"
)

// HandOver is the state of a shard that one holder of its right transfers to the
// next. Its JSON form crosses the wire.
type HandOver struct {
	// Shard is the shard's number.
	Shard int
	// Floor is the mint time up to which a key that is missing from Keys may have
	// run, since the Unix epoch.
	Floor time.Duration
	// Keys lists the keys that have run or may have run.
	Keys []KeyRecord
}

// KeyRecord is the state of one key in a hand-over.
type KeyRecord struct {
	Key    Key
	Digest Digest
	// Outcome is Served or Unknown. A run in progress is transferred as Unknown.
	Outcome Outcome
	// Answer is the response, or nil if it was not stored.
	Answer *Answer
}
