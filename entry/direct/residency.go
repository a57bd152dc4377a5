package direct

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// observationTTL is how long this instance's own observation of an adapter at a
// worker overrides the state sent by the instance that controls the worker: two
// heartbeats of 250 ms.
const observationTTL = 500 * time.Millisecond

// observationSweepSize is the number of observations beyond which the expired ones
// are dropped.
const observationSweepSize = 4096

// slotState is the state of a worker's adapter slots as known to the instance
// that controls the worker.
type slotState struct {
	born   int64
	usable bool
	slots  []slots.Slot
	// expiresAt is set for state received from a peer only.
	expiresAt time.Duration
}

// adapterObservation records whether this instance found an adapter present at
// a worker.
type adapterObservation struct {
	expiresAt time.Duration
	present   bool
}

// workerAdapter is the key of an adapter at a worker.
type workerAdapter struct{ worker, adapter string }

// residency holds which adapters workers hold. It is safe for concurrent use.
type residency struct {
	mu sync.Mutex
	// own holds the slots of the workers that this instance controls, peers those
	// of the workers that peers control, both by worker.
	own          map[string]slotState
	peers        map[string]slotState
	observations map[workerAdapter]adapterObservation
}

func newResidency() *residency {
	return &residency{own: make(map[string]slotState), peers: make(map[string]slotState), observations: make(map[workerAdapter]adapterObservation)}
}

// apply stores the slots that a peer sent with a heartbeat.
func (r *residency) apply(at time.Duration, update *clusterpb.News) {
	expiresAt := at + peerStateTTL(update)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range update.GetSlots() {
		state := slotState{born: s.GetBorn(), usable: s.GetUsable(), expiresAt: expiresAt}
		for _, slot := range s.GetSlots() {
			state.slots = append(state.slots, slots.Slot{Adapter: slot.GetAdapter(), Ready: slot.GetReady()})
		}
		r.peers[s.GetWorker()] = state
	}
}

// appendOwn appends the slots of the workers that this instance controls.
func (r *residency) appendOwn(update *clusterpb.News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.own {
		encoded := &clusterpb.WorkerSlots{Worker: id, Born: s.born, Usable: s.usable}
		for _, slot := range s.slots {
			encoded.Slots = append(encoded.Slots, &clusterpb.Slot{Adapter: slot.Adapter, Ready: slot.Ready})
		}
		update.Slots = append(update.Slots, encoded)
	}
}

// setOwn stores the slots of a worker that this instance controls.
func (r *residency) setOwn(id string, state slotState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own[id] = state
}

// deleteOwn removes a worker that this instance no longer controls.
func (r *residency) deleteOwn(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, id)
}

// forget drops the slots of a worker that is gone or restarted.
func (r *residency) forget(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.own, id)
	delete(r.peers, id)
}

// observe records whether an adapter was found present at a worker.
func (r *residency) observe(at time.Duration, id, adapter string, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observations[workerAdapter{id, adapter}] = adapterObservation{expiresAt: at + observationTTL, present: present}
	if len(r.observations) <= observationSweepSize {
		return
	}
	for key, o := range r.observations {
		if at >= o.expiresAt {
			delete(r.observations, key)
		}
	}
}

// observed returns this instance's own recent observation of an adapter at a worker.
func (r *residency) observed(at time.Duration, id, adapter string) (present, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, found := r.observations[workerAdapter{id, adapter}]
	return o.present, found && at < o.expiresAt
}

// latest returns the adapter slots as known to the instance that controls the
// worker; false if no current state of this worker process is known.
func (r *residency) latest(at time.Duration, w *worker.Worker) (slotState, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s, isOwn := r.own[w.ID]; isOwn && s.born == w.Born {
		return s, true
	}
	s, known := r.peers[w.ID]
	return s, known && s.born == w.Born && at <= s.expiresAt
}

// slotsFromEntry returns the adapters of a model that a worker lists in its
// store entry.
func slotsFromEntry(w *worker.Worker, model string) []slots.Slot {
	var loaded []slots.Slot
	for _, m := range w.Models {
		if m.Name != model {
			continue
		}
		for _, adapter := range m.Adapters {
			loaded = append(loaded, slots.Slot{Adapter: adapterName(adapter), Ready: true})
		}
	}
	return loaded
}

// adapterName returns the NAME of NAME@VERSION.
func adapterName(versioned string) string {
	name, _, _ := strings.Cut(versioned, "@")
	return name
}

// adapterVersions holds the highest declared version of each adapter. It is safe for
// concurrent use.
type adapterVersions struct {
	mu sync.Mutex
	// highest is by "MODEL/ADAPTER".
	highest map[string]int64
	// digest is a hash of highest.
	digest uint64
}

func newAdapterVersions() *adapterVersions { return &adapterVersions{highest: make(map[string]int64)} }

// set records a declared version of an adapter; the highest is kept.
func (v *adapterVersions) set(model, adapter string, version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	key := model + "/" + adapter
	former, known := v.highest[key]
	if known && former >= version {
		return
	}
	if known {
		v.digest ^= digestVersion(key, former)
	}
	v.highest[key] = version
	v.digest ^= digestVersion(key, version)
}

func digestVersion(key string, version int64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s %d", key, version))
}

// hash returns a hash of all versions.
func (v *adapterVersions) hash() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.digest
}

// get returns the highest declared version of an adapter, or 0.
func (v *adapterVersions) get(model, adapter string) int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.highest[model+"/"+adapter]
}

// entries returns every version in the form sent to peers.
func (v *adapterVersions) entries() []*clusterpb.AdapterVersion {
	v.mu.Lock()
	defer v.mu.Unlock()
	var encoded []*clusterpb.AdapterVersion
	for key, version := range v.highest {
		model, adapter, _ := strings.Cut(key, "/")
		encoded = append(encoded, &clusterpb.AdapterVersion{Model: model, Adapter: adapter, Version: version})
	}
	return encoded
}
