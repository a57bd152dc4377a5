package attempt

import "time"

// RecordConfig limits a Record.
type RecordConfig struct {
	// FutureLimit is how far a key's mint time may be ahead of the instance's wall
	// clock. A larger limit tolerates callers with less accurate clocks, but
	// after a change of holder it lengthens the time during which new keys get
	// the outcome Unknown. Default: 500 ms.
	FutureLimit time.Duration
	// ClockSkew is the largest difference between the wall clocks of two
	// instances. The at-most-once guarantee depends on it. Default: 500 ms.
	ClockSkew time.Duration
	// Retention is how long after its mint time a key is kept. A longer retention
	// answers later retries and uses more memory. Default: 1 h.
	Retention time.Duration
	// MaxKeys is the maximum number of keys. Default: 50,000.
	MaxKeys int
	// MaxBytes is the maximum total size of the stored response bodies. Default:
	// 16 MiB.
	MaxBytes int
	// MaxAnswerBytes is the size of the largest response body that is stored.
	// Default: 64 KiB.
	MaxAnswerBytes int
	// MaxJoined is the maximum number of sends that wait for one run. A caller
	// may retry through each instance of a data centre. Default: 256.
	MaxJoined int
}

// DefaultRecordConfig returns the default limits for one instance.
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

// Record is one instance's table of the calls that carry an idempotency key. It
// is not safe for concurrent use.
//
// Invariants: a key that is not in the record and was minted after its shard's
// floor has not run on any instance; a floor never decreases; a key is removed
// only if it is certain not to have run, or after the floor was raised to its
// mint time.
type Record struct {
	config  RecordConfig
	keys    map[Key]*keyState
	running map[uint64]*keyState // by the send that runs
	joined  map[uint64]*keyState // by the send that waits for a run
	shards  [Shards]shardState
	settled settledHeap // keys whose run has ended
	bytes   int         // total size of the stored response bodies
}

// shardState is the floor of one shard.
type shardState struct {
	floor time.Duration // since the Unix epoch
	// inheritedSince is the start of the latest right that came with a hand-over
	// from the previous holder. It is valid only if hasInherited is set.
	inheritedSince time.Duration
	hasInherited   bool
}

// keyState is the state of one key.
type keyState struct {
	key     Key
	digest  Digest
	outcome Outcome // empty while the run is in progress
	answer  *Answer // nil if not served or not stored
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

// Step applies an event and returns the resulting actions. now is the monotonic
// time since the instance started.
func (r *Record) Step(now time.Duration, event RecordEvent) []RecordAction {
	switch e := event.(type) {
	case Arrive:
		r.expire(e.Wall)
		return r.arrive(now, e)
	case Finished:
		return r.finish(e)
	case Abandoned:
		r.abandon(e.Send)
	case Tick:
		r.expire(e.Wall)
	case Inherited:
		r.inherit(e)
	}
	return nil
}

// Len returns the number of keys.
func (r *Record) Len() int { return len(r.keys) }

// Bytes returns the total size of the stored response bodies.
func (r *Record) Bytes() int { return r.bytes }
