// Package table parses, validates and indexes the routing table that operators
// publish: routes, pools, endpoints, adapters and regions.
//
// A Table is built from a Snapshot: a Manifest and the chunks that it lists.
// Build is deterministic, so that all instances accept or reject the same bytes
// alike; a snapshot with findings is never accepted. A Register keeps the
// accepted table with the highest Stamp and never goes back to a lower one.
//
// The package does no I/O, reads no clock and starts no goroutine.
package table
