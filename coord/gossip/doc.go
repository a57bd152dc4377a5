// Package gossip spreads what owners hold over the instances of a region with a
// constant number of messages for each instance.
//
// A Log keeps the newest Record of each worker in the order in which this
// instance learned them. A peer is sent the records after its cursor, so a
// record crosses each link once and an idle fleet sends none. Records are
// hints: the owner of a worker decides, whatever a record says.
//
// The package does no I/O, reads no clock and starts no goroutine.
package gossip
