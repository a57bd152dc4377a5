// Package member tracks the state of peer instances. It combines the list that
// the platform publishes, which lags, with heartbeats received from peers and
// failure reports that peers forward.
//
// The package does no I/O, reads no clock and starts no goroutine.
package member
