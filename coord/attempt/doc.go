// Package attempt implements the retry and at-most-once rules of a request:
// which outcome is reported to the caller, when a further attempt is allowed,
// and that a call with an idempotency key runs at most once.
//
// Two state machines take an event and the current time and return actions:
//
//   - A [Lifecycle] tracks one request through its attempts. It numbers them,
//     decides on retries and resumes, discards events of earlier attempts and
//     determines the single outcome that is reported.
//   - A [Record] holds what the owner of a key's shard knows of the calls that
//     carry an idempotency key. It decides whether a call runs, joins the run in
//     progress, is answered from the record or is refused.
//
// A send is one transmission of a call to an instance. A caller that retries
// makes several sends of the same call under the same key.
//
// Keys are divided into shards. The right to a shard is the exclusive, leased
// permission to run that shard's keys; at most one instance holds it at a time.
// Each shard has a floor: the mint time up to which a key that is missing from
// the record may already have run.
//
// # Contract
//
// A call with a key runs at most once as long as
//
//   - the right to a key's shard is held by one instance at a time, and HeldSince
//     is not earlier than the end of the previous holder's right;
//   - the wall clocks of any two instances differ by at most
//     RecordConfig.ClockSkew; the callers' clocks need not be accurate;
//   - all sends of a key are routed to the same home data centre.
//
// A holder that is paused after it decided to run a key and resumes later needs
// no further protection: the key was minted below the next holder's floor, so
// the next holder never runs it.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are
// not safe for concurrent use.
package attempt
