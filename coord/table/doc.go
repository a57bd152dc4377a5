// Package table holds the routes and pools that operators publish.
//
// A Table is built from a Snapshot, which is a Manifest and the chunks it
// names. Build is deterministic: every instance that sees the same bytes takes
// the same decision, and a snapshot with findings is never accepted. A Register
// keeps the highest accepted revision and never installs a lower one.
//
// The package does no I/O, reads no clock and starts no goroutine.
package table
