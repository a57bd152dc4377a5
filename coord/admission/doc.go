// Package admission implements a bounded queue of requests, ordered by rank,
// caller and deadline, in which every rank has a guaranteed minimum share of the
// dispatches.
//
// The package does no I/O, reads no clock and starts no goroutine. Its types are
// not safe for concurrent use.
package admission
