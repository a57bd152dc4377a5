// Package placement chooses the worker that serves a request.
//
// A Picker tries its Stages in turn. A Stage keeps the candidates that each of
// its Filters accepts and takes the one with the highest sum of its Scorers.
//
// The package does no I/O, reads no clock and starts no goroutine.
package placement
