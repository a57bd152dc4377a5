// Package ownership decides which instance holds the right to send orders
// (control commands) to a worker, or to run the calls of a shard of keys. A
// right is exclusive and leased: one instance at a time holds it, until its
// votes expire.
//
// Every instance ranks the same candidates for a right by rendezvous hashing:
// the first is the owner, the second its successor, the third the last of the
// voters. Each voter promises a right to one candidate at a time, for the
// duration of a lease. A candidate holds the right while it has its own vote and
// that of another voter. It counts a vote from when it sent the request, by its
// own monotonic clock, so its lease ends before the voter's promise does. Nothing
// is stored.
//
// Invariants:
//   - two instances with the same voters never hold a right at the same time;
//   - after the voters change, a holder needs the votes of both the old and the
//     new voters until no instance that reads the member list within
//     Config.ListLag can still rely on the old ones;
//   - an instance that has just started votes for nobody until every promise
//     that an earlier run of it may have given has expired;
//   - a holder's fencing token is higher than every token that it or its voters
//     have seen.
//
// The package does no I/O, reads no clock and starts no goroutine.
package ownership
