// Package placement chooses the worker that serves a request.
//
// A Picker keeps the candidates that every Filter accepts and takes the one
// with the highest sum of Scorers.
//
// The package does no I/O, reads no clock and starts no goroutine.
package placement
