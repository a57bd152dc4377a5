// Package ownership decides which entry instance orders a worker or a key.
//
// Every instance of a data centre ranks the same candidates by rendezvous
// hashing, so all that hold the same list of live instances agree on the owner
// and on its successor without exchanging a message.
//
// The package does no I/O, reads no clock and starts no goroutine.
package ownership
