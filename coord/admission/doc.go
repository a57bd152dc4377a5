// Package admission orders waiting requests by rank, caller and deadline, within
// bounds of count and bytes, and keeps a floor for every rank.
//
// The package does no I/O, reads no clock and starts no goroutine.
package admission
