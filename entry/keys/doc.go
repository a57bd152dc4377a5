// Package keys serves calls that carry an idempotency key and may not be
// repeated: it finds the owner of the key, and as the owner runs each key at
// most once.
//
// The rules are those of coord/attempt; this slice adds the wall clock, the
// locks, the way to the owner, the one run, and the hand-over with the lease.
package keys
