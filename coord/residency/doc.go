// Package residency decides, for one worker, which adapters occupy its slots,
// which requests run, and what is loaded and evicted.
//
// A Worker takes typed events and the time since start, and returns typed
// actions in the order in which they must be carried out.
//
// Invariants:
//   - a Dispatch is only returned for an adapter that is resident and ready;
//   - an adapter with a request in progress is never named in Load.Evict;
//   - at most one load is in progress on a worker;
//   - every request gets one decision, a Dispatch or a Reject.
//
// A Budget bounds the loads of one instance's workers together, so that all
// instances keep the weight store's limits without shared state.
//
// The package does no I/O, reads no clock and starts no goroutine.
package residency
