// Package placement chooses the worker that serves a request.
//
// A Picker tries its Stages in order. A Stage keeps the candidates that all of its
// Filters accept and chooses the one with the highest sum of scores from its
// Scorers.
//
// The names of the types that implement Filter and Scorer appear in the output of
// the operator's explain call, so that renaming such a type changes that output.
//
// The package does no I/O, reads no clock and starts no goroutine.
package placement
