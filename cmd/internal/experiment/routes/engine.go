package routes

import (
	"math/rand/v2"
	"time"
)

// slot is an adapter slot of a worker.
type slot struct {
	adapter string
	// readyAt is when the load ends, usedAt when a request last used the adapter.
	readyAt, usedAt time.Duration
	inUse           int
}

// worker is an engine: it runs a batch in steps, processes prompts in chunks between
// them, and loads adapters into its slots.
type worker struct {
	*clock
	id       string
	index    int
	region   int
	scenario *Scenario
	seed     uint64
	// factor is the worker's usual time relative to that of the service.
	factor float64
	slots  []*slot
	// evictedAt is when adapters were last unloaded.
	evictedAt map[string]time.Duration
	partsAt   map[string]time.Duration
	// adapterQueue holds requests that wait for a slot and were not sent yet, batchQueue those that wait for
	// a place in the batch, prompts those whose prompt is being processed.
	adapterQueue                  []slotWait
	batchQueue, prompts, decoding []*request
	cacheTokens                   int
	stepping                      bool
	onEvent                       func(r *request, last bool)
}

// phase returns the time that work takes at this moment relative to the usual time of
// the worker.
func (w *worker) phase(at time.Duration) float64 {
	number := uint64(at / millis(w.scenario.PhaseMs))
	if rand.New(rand.NewPCG(w.seed+number, uint64(w.index))).Float64() < w.scenario.SlowShare {
		return w.scenario.SlowFactor
	}
	return 1
}

// slotOf returns the slot that holds or loads an adapter, or nil.
func (w *worker) slotOf(adapter string) *slot {
	for _, s := range w.slots {
		if s.adapter == adapter {
			return s
		}
	}
	return nil
}

// load calls ready once the worker holds the adapter of a request, in a slot that is
// kept for the request until it ends.
func (w *worker) load(r *request, ready func()) {
	w.adapterQueue = append(w.adapterQueue, slotWait{r, ready})
	w.assignSlots()
}

// slotWait is a request that waits for a slot.
type slotWait struct {
	*request
	ready func()
}

// arrive takes a request whose adapter is loaded.
func (w *worker) arrive(r *request) {
	w.batchQueue = append(w.batchQueue, r)
	w.step()
}

// assignSlots gives slots to the waiting requests in their order, as far as there are
// some.
func (w *worker) assignSlots() {
	waiting := w.adapterQueue
	w.adapterQueue = nil
	for _, r := range waiting {
		s := w.slotOf(r.adapter)
		if s == nil {
			s = w.assign(r.adapter)
		}
		if s == nil {
			w.adapterQueue = append(w.adapterQueue, r)
			continue
		}
		s.inUse++
		w.after(max(s.readyAt-w.now, 0), r.ready)
	}
}

// assign loads an adapter into an empty slot, or else into the one that was not used
// longest; it returns nil if all are in use.
func (w *worker) assign(adapter string) *slot {
	var chosen *slot
	for _, s := range w.slots {
		if s.inUse == 0 && (chosen == nil || s.usedAt < chosen.usedAt) {
			chosen = s
		}
	}
	if len(w.slots) < adapterSlots {
		chosen = &slot{}
		w.slots = append(w.slots, chosen)
	}
	if chosen == nil {
		return nil
	}
	if chosen.adapter != "" {
		w.evictedAt[chosen.adapter] = w.now
	}
	took := float64(loadTime) * w.factor
	if evicted, known := w.evictedAt[adapter]; known && w.now-evicted < hostMemoryTime {
		took *= recentLoadShare
	}
	*chosen = slot{adapter: adapter, readyAt: w.now + time.Duration(took), usedAt: w.now}
	return chosen
}

// admit moves waiting requests into the batch while there is room.
func (w *worker) admit() {
	for len(w.batchQueue) > 0 && len(w.prompts)+len(w.decoding) < batchSize {
		r := w.batchQueue[0]
		if w.cacheTokens+r.prompt+r.outputTokens() > cacheCapacity {
			return
		}
		w.batchQueue = w.batchQueue[1:]
		w.cacheTokens += r.prompt + r.outputTokens()
		r.unprocessed = r.prompt - w.keptTokens(r)
		w.prompts = append(w.prompts, r)
	}
}

// keptTokens returns the tokens of a prompt that the worker has processed before.
func (w *worker) keptTokens(r *request) int {
	if at, known := w.partsAt[r.adapter]; known && w.now-at <= partTime {
		return r.shared
	}
	return 0
}

// step runs one chunk of the first prompt and one step of the batch, and continues
// while there is work.
func (w *worker) step() {
	if w.stepping {
		return
	}
	w.admit()
	var took time.Duration
	chunk := 0
	if len(w.prompts) > 0 {
		chunk = min(w.prompts[0].unprocessed, chunkTokens)
		took += millis(float64(chunk) / promptPerMS)
	}
	if count := len(w.decoding); count > 0 {
		took += stepBase + time.Duration(count)*stepPerRequest + time.Duration(w.contextTokens())*stepPerToken
	}
	if took == 0 {
		return
	}
	w.stepping = true
	w.after(time.Duration(float64(took)*w.factor*w.phase(w.now)), func() { w.finishStep(chunk) })
}

// contextTokens returns the tokens in the KV memory of the running requests.
func (w *worker) contextTokens() int {
	sum := 0
	for _, r := range w.decoding {
		sum += r.prompt + r.made
	}
	return sum
}

func (w *worker) finishStep(chunk int) {
	w.stepping = false
	running := w.decoding
	w.decoding = nil
	for _, r := range running {
		r.made++
		if r.made < r.outputTokens() {
			w.decoding = append(w.decoding, r)
		} else {
			w.release(r)
		}
		if r.made%tokensPerEvent == 0 {
			w.onEvent(r, r.made >= r.outputTokens())
		}
	}
	if chunk > 0 {
		r := w.prompts[0]
		if r.unprocessed -= chunk; r.unprocessed <= 0 {
			w.prompts = w.prompts[1:]
			w.decoding = append(w.decoding, r)
			w.partsAt[r.adapter] = w.now
		}
	}
	w.step()
}

// release frees the place and the slot of a complete request.
func (w *worker) release(r *request) {
	w.cacheTokens -= r.prompt + r.outputTokens()
	s := w.slotOf(r.adapter)
	s.inUse--
	s.usedAt = w.now
	w.assignSlots()
}
