// Package admission orders waiting requests by rank and deadline, and refuses
// those that can't be served in time.
//
// The package does no I/O, reads no clock and starts no goroutine.
package admission
