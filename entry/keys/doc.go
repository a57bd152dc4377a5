// Package keys serves calls that are not idempotent and carry an idempotency
// key: it forwards a call to the owner of its key, and as the owner it runs
// each key at most once.
//
// The rules are those of coord/attempt, whose terms (send, floor, right to a
// shard) are used here too. This package adds the wall clock, the locking, the
// forwarding to the owner, the run itself, and the hand-over of a shard with
// its right.
package keys
