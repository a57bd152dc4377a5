package attempt

import "time"

// RecordConfig bounds a Record.
type RecordConfig struct {
	// FutureLimit is how far a key may be minted ahead of the instance's wall
	// clock. A larger one takes callers with worse clocks; after a change of
	// holder it lengthens the time in which new keys are answered unknown.
	// Default: 500 ms.
	FutureLimit time.Duration
	// ClockSkew is the largest difference between the wall clocks of two
	// instances. At most once rests on it. Default: 500 ms.
	ClockSkew time.Duration
	// Retention is how long after its minting a key is known. Longer answers
	// later repeats and takes more memory. Default: 1 h.
	Retention time.Duration
	// MaxKeys bounds the keys that are known. Default: 50,000.
	MaxKeys int
	// MaxBytes bounds the bytes of the answers that are kept. Default: 16 MiB.
	MaxBytes int
	// MaxAnswerBytes bounds one answer that is kept. Default: 64 KiB.
	MaxAnswerBytes int
	// MaxJoined bounds the sends that wait for one run: a caller may repeat its
	// send through each instance of a data centre. Default: 256.
	MaxJoined int
}

// DefaultRecordConfig returns the bounds for one instance.
func DefaultRecordConfig() RecordConfig {
	return RecordConfig{
		FutureLimit:    500 * time.Millisecond,
		ClockSkew:      500 * time.Millisecond,
		Retention:      time.Hour,
		MaxKeys:        50_000,
		MaxBytes:       16 << 20,
		MaxAnswerBytes: 64 << 10,
		MaxJoined:      256,
	}
}

// Record is what one instance remembers of the calls that carry a key.
//
// Invariants: a key that is not in the record and was minted above its shard's
// floor has run nowhere; a floor never falls; a key leaves the record only when
// it is proved not to have run, or with the floor raised to its minting.
type Record struct {
	config  RecordConfig
	keys    map[Key]*keyState
	running map[uint64]*keyState
	joined  map[uint64]*keyState
	shards  [Shards]shardState
	settled oldestFirst
	bytes   int
}

// shardState is what bounds the record of one shard.
type shardState struct {
	floor time.Duration
	// inherited is the beginning of the right that started from a hand-over.
	inherited    time.Duration
	hasInherited bool
}

// keyState is what is known of one key.
type keyState struct {
	key     Key
	digest  Digest
	outcome Outcome // empty while the run is in progress
	answer  *Answer
	joined  []uint64
}

// NewRecord returns an empty record.
func NewRecord(config RecordConfig) *Record {
	return &Record{
		config:  config,
		keys:    make(map[Key]*keyState),
		running: make(map[uint64]*keyState),
		joined:  make(map[uint64]*keyState),
	}
}

// Step applies an event at now, the monotonic time since the instance started.
func (r *Record) Step(now time.Duration, event RecordEvent) []RecordAction {
	switch e := event.(type) {
	case Arrive:
		r.expire(e.Wall)
		return r.arrive(now, e)
	case Finished:
		return r.finish(e)
	case Abandoned:
		r.abandon(e.Send)
	case Elapsed:
		r.expire(e.Wall)
	case Inherited:
		r.inherit(e)
	}
	return nil
}

// Len returns the number of keys that are known.
func (r *Record) Len() int { return len(r.keys) }

// Bytes returns the bytes of the answers that are kept.
func (r *Record) Bytes() int { return r.bytes }
