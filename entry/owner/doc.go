// Package owner serves the requests for the workers that this instance owns: it
// queues them, orders the workers to load adapters and dispatches the requests.
// Requests for services are dispatched at once.
//
// The right to a worker is the exclusive, leased permission to send it orders.
// An order is a control command: load or unload an adapter. The scheduling
// rules are those of coord/residency; this package adds the leased right, the
// calls to the engine, and the hand-over to the next holder of the right.
package owner
