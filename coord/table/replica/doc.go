// Package replica replicates the published table to one instance, from the
// platform and from peers.
//
// A Replica is one copy of a replicated max register of tables: its stamp never
// decreases, in whatever order tables arrive. It is a deterministic state machine
// that takes events (a value was read, a peer responded, time passed) and returns
// actions (watch the platform, query a peer, install a table). It does no I/O,
// reads no clock and starts no goroutine; randomness is passed in.
//
// A few instances of each data centre, chosen by rendezvous hashing among the
// live ones, watch the platform. All others learn of a table by gossip: an
// instance that installs a table announces it to a few random peers, and each
// instance queries a random peer at a fixed interval, every few times one in
// another data centre. Only chunks whose digest the instance lacks are fetched.
//
// Invariants:
//   - The stamps of installed tables strictly increase.
//   - A table is installed only if every chunk has the digest that its manifest
//     lists, and the table has no findings.
//   - A starting instance installs nothing until each peer that it queried has
//     responded, failed or timed out.
package replica
