// Package attempt holds the rules for one request's attempts: which outcome may
// be told to the caller, when a further attempt is allowed, and that a call
// with an idempotency key runs at most once.
//
// Two machines take events with the time and return actions:
//
//   - A [Life] follows one request through its attempts. It numbers them,
//     allows a retry or a resume, discards what belongs to an earlier attempt
//     and names the one outcome that may be told.
//   - A [Record] is what the owner of a key's shard remembers. It decides
//     whether a call that carries a key runs, joins the one in progress, is
//     answered from the record or is refused.
//
// # Contract
//
// A call with a key runs at most once as long as
//
//   - the right to a key's shard is held by one instance at a time, and its
//     Since is not before the moment when the former holder's right ended;
//   - the wall clocks of two instances differ by at most Config.ClockSkew; the
//     callers' clocks need not be right;
//   - every caller of one key leads to the same home data centre.
//
// A holder of the right that is paused after its decision and wakes late needs
// no further guard: the key that it may still send was minted below the next
// holder's floor, so the next holder never runs it.
//
// The package does no I/O, reads no clock and starts no goroutine. Its machines
// are not safe for concurrent use.
package attempt
