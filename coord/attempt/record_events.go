package attempt

import "time"

// Digest is a cryptographic digest over what a call asks for: its method, path
// and body. It tells a repeat from another call under the same key.
type Digest [32]byte

// Answer is a service's complete answer as the record keeps it.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Content is the media type.
	Content string
	// Worker is the endpoint that ran the call.
	Worker string
	// Body is the whole body; the record keeps the slice.
	Body []byte
}

// RecordEvent is an input of a Record.
type RecordEvent interface{ recordEvent() }

// Arrive is a send of a call that carries a key.
type Arrive struct {
	// Send identifies this send among those of the instance; it is never zero.
	Send uint64
	// Key is the caller's key.
	Key Key
	// Digest covers what the call asks for.
	Digest Digest
	// Wall is the instance's wall clock, since the Unix epoch.
	Wall time.Duration
	// Held says that the instance holds the right to the key's shard now.
	Held bool
	// Since is when that right began, by the clock that is passed to Step.
	Since time.Duration
	// Floor raises the floor for this key alone, since the Unix epoch; 0 is none.
	// A key whose home has moved may have run elsewhere.
	Floor time.Duration
}

// Finished ends the run that a Run action started.
type Finished struct {
	Send    uint64
	Outcome Outcome
	// Answer is the complete answer of a run that was served.
	Answer Answer
}

// Abandoned says that the caller of a send that joined a run has gone.
type Abandoned struct{ Send uint64 }

// Elapsed lets retention take effect.
type Elapsed struct {
	// Wall is the instance's wall clock, since the Unix epoch.
	Wall time.Duration
}

// Inherited gives the new holder of a shard's right what its direct predecessor
// knew when it gave the right up. It must come from the holder whose right
// ended where this one began; then no call becomes unknown by the change.
type Inherited struct {
	// Since is when this instance's right began, as Arrive tells it.
	Since time.Duration
	// HandOver is the predecessor's knowledge.
	HandOver HandOver
}

func (Arrive) recordEvent()    {}
func (Finished) recordEvent()  {}
func (Abandoned) recordEvent() {}
func (Elapsed) recordEvent()   {}
func (Inherited) recordEvent() {}

// RecordAction is an output of a Record.
type RecordAction interface{ recordAction() }

// Run orders the one run of the key; Finished must follow.
type Run struct{ Send uint64 }

// Reply answers a send with the answer of the run.
type Reply struct {
	Send   uint64
	Answer Answer
}

// Refuse answers a send without running it.
type Refuse struct {
	Send uint64
	// Outcome is not-run or unknown.
	Outcome Outcome
	Reason  Reason
}

func (Run) recordAction()    {}
func (Reply) recordAction()  {}
func (Refuse) recordAction() {}

// Reason names why a send was refused.
type Reason string

// The reasons.
const (
	// NotHolder: the instance does not hold the right to the key's shard.
	NotHolder Reason = "key_not_owned"
	// BelowFloor: the key is older than what this holder can vouch for.
	BelowFloor Reason = "key_older_than_record"
	// FromFuture: the key was minted too far ahead of the clock.
	FromFuture Reason = "key_from_future"
	// Expired: the key is past the retention and has not run.
	Expired Reason = "key_expired"
	// Reused: the key came before with another method, path or body.
	Reused Reason = "key_reused"
	// Full: every place in the record holds a run in progress.
	Full Reason = "key_record_full"
	// InProgress: the run is in progress and no more sends may join it.
	InProgress Reason = "key_in_progress"
	// RunUnknown: the run's own outcome is unknown.
	RunUnknown Reason = "key_outcome_unknown"
	// RunNotRun: the run that this send joined did not reach its endpoint.
	RunNotRun Reason = "key_not_run"
	// AnswerDropped: the call ran once; its answer was too large to keep.
	AnswerDropped Reason = "key_answer_dropped"
)

// HandOver is what one holder of a shard passes on to the next.
type HandOver struct {
	// Shard is the shard that the right is for.
	Shard int
	// Floor is the time of minting up to which an absent key may have run,
	// since the Unix epoch.
	Floor time.Duration
	// Keys lists the keys that have run or may have run.
	Keys []KeyRecord
}

// KeyRecord is what is known of one key.
type KeyRecord struct {
	Key    Key
	Digest Digest
	// Outcome is served or unknown; a run in progress is passed on as unknown.
	Outcome Outcome
	// Answer is the answer, or nil where it was not kept.
	Answer *Answer
}
