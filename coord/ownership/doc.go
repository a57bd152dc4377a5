// Package ownership decides which entry instance orders a worker or a key.
//
// Every instance ranks the same candidates of a right by rendezvous hashing:
// the first is the owner, the second its successor, the third completes the
// voters. Each voter promises a right to one candidate at a time and for one
// term. A candidate holds the right while it has its own vote and that of
// another voter, counted from when it asked by its own monotonic clock, so that
// it always stops before the voters believe that it has. Nothing is stored.
//
// Invariants:
//   - two instances with the same voters never hold a right at the same time;
//   - after the voters change, a holder needs the votes of the old and of the
//     new voters until the old ones can't be believed by anyone that reads the
//     list within Config.ListLag;
//   - an instance without memory votes for nobody until every promise that it
//     may have forgotten has run out;
//   - a holder's fencing number is above every number that it or its voters
//     have seen.
//
// The package does no I/O, reads no clock and starts no goroutine.
package ownership
