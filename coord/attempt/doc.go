// Package attempt holds the rules for one request's attempts: which outcome may
// be told to the caller and when a further attempt is allowed.
//
// The package does no I/O, reads no clock and starts no goroutine.
package attempt
