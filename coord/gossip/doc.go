// Package gossip distributes the adapters resident on each worker to the
// instances of a region, with a constant number of messages per instance.
//
// A Log keeps the newest Record of each worker, in the order in which this
// instance received them. A peer is sent only the records after its cursor, so a
// record crosses each link once and an idle fleet sends none. Records are hints:
// the instance that owns a worker is authoritative.
//
// The package does no I/O, reads no clock and starts no goroutine.
package gossip
