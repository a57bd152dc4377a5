// Package member holds what an instance knows of its peers: the platform's
// lagging list joined with the heartbeats that it receives itself.
//
// The package does no I/O, reads no clock and starts no goroutine.
package member
