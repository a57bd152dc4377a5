// Package residency decides, for one worker, which adapters occupy its slots,
// which requests run, and what is loaded and evicted.
//
// A Worker takes typed events with the time since the process started, and
// returns typed actions in the order in which the caller must carry them out.
//
// Invariants:
//   - a Dispatch is returned only for an adapter that is resident and ready;
//   - an adapter with a request in progress is never named in Load.Evict;
//   - at most one load is in progress on a worker;
//   - every request that is not cancelled gets exactly one decision, a Dispatch
//     or a Reject.
//
// The exclusive, leased right to send a worker its orders (load, unload) belongs
// to one instance at a time. Adopted reports that the instance holds the right,
// Suspended that it no longer does.
//
// A Budget limits the combined loads of one instance's workers, so that all
// instances together stay within the weight store's limits without shared state.
//
// The package does no I/O, reads no clock and starts no goroutine.
package residency
