// Package fleet combines what one instance knows: the table in force, the live
// instances, the states of the endpoints and the owner of each worker.
//
// A right is the exclusive, leased permission to send control commands (orders) and
// requests to a worker, or to run the calls whose idempotency keys fall into a shard
// of a data centre. The fleet computes which instances vote on it.
//
// A Fleet is safe for concurrent use.
package fleet
