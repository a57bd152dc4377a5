// Package replica decides how one instance comes by the tables in force.
//
// A Replica is one copy of a max register of tables: its stamp never falls,
// whoever offers what. It takes events (a value was read, a peer answered, time
// passed) and returns actions (watch the platform, ask a peer, install a
// table). It does no I/O, reads no clock and starts no goroutine; randomness is
// passed in.
//
// A few instances of each data centre, chosen by rendezvous hashing among the
// live ones, watch the platform. All others learn of a table from peers: an
// instance that installs one tells a few random peers, and each instance asks a
// random peer at a steady interval, now and then one in another data centre.
// Only chunks whose digest the instance lacks are fetched.
//
// Invariants:
//   - Installed tables have rising stamps.
//   - A table is installed only when every chunk has the digest that its
//     manifest names, and it has no findings.
//   - An instance that starts installs nothing before the peers that it asked
//     have answered, failed or run out of time.
package replica
