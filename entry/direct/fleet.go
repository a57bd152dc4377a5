package direct

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/retry"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// Round-trip times by distance: twice the one-way times in the operators'
// specification.
const (
	sameRegionRTT  = 3 * time.Millisecond
	crossRegionRTT = 40 * time.Millisecond
)

// A peer's state is valid for peerStateHeartbeats of its heartbeat intervals,
// but for at least minPeerStateTTL.
const (
	peerStateHeartbeats = 4
	minPeerStateTTL     = 1600 * time.Millisecond
)

// observationTTL is how long this instance's own observation of an adapter at a
// worker overrides the state sent by the instance that controls the worker: two
// heartbeats of 250 ms.
const observationTTL = 500 * time.Millisecond

// workerUse sums the requests in progress at a worker.
type workerUse struct {
	running, waitingTokens, cacheTokens int
	adapters                            map[string]int
}

// peerState is the latest state received from a peer.
type peerState struct {
	receivedAt, expiresAt time.Duration
	uses                  map[string]workerUse
}

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

// fleet caches the configuration, the workers and the state received from other
// instances. It is safe for concurrent use.
type fleet struct {
	settings Settings
	balance  balance.Config

	mu       sync.Mutex
	register routing.Register
	document []byte
	// compressed is the gzipped document, filled in when a peer first fetches
	// it.
	compressed []byte
	// configInstalledAt is when the configuration in force was installed.
	configInstalledAt time.Duration
	registry          *worker.Registry
	workers           []worker.Worker
	workersByID       map[string]worker.Worker
	// ownUses holds this instance's own use, by worker.
	ownUses map[string]*workerUse
	// peerStates holds the latest state of every peer, by control address.
	peerStates map[string]peerState
	// ownSlots holds the slots of the workers that this instance controls, by
	// worker.
	ownSlots map[string]slotState
	// peerSlots holds the slots of the workers that peers control, by worker.
	peerSlots    map[string]slotState
	observations map[workerAdapter]adapterObservation
	health       map[string]*balance.Health
	// versions holds the highest declared version by "MODEL/ADAPTER".
	versions map[string]int64
	// budgets holds the retry budgets by service.
	budgets map[string]*retry.Budget
	demand  *balance.Demand
	// instanceCount is the number of instances in the cluster, this one
	// included.
	instanceCount int
	// peerUses caches sumPeerUses, as of peerUsesAt.
	peerUses   map[string]workerUse
	peerUsesAt time.Duration
}

func newFleet(s Settings) *fleet {
	return &fleet{
		settings: s, balance: balance.DefaultConfig(), registry: worker.NewRegistry(),
		workersByID: make(map[string]worker.Worker), ownUses: make(map[string]*workerUse), peerStates: make(map[string]peerState),
		ownSlots: make(map[string]slotState), peerSlots: make(map[string]slotState), observations: make(map[workerAdapter]adapterObservation), health: make(map[string]*balance.Health),
		versions: make(map[string]int64), budgets: make(map[string]*retry.Budget),
		demand: balance.NewDemand(), instanceCount: 1,
	}
}

// table returns the configuration in force, or nil if there is none yet.
func (f *fleet) table() *routing.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.register.Current()
}

// installConfig puts a configuration in force if it is newer than the current
// one, and reports whether it did.
func (f *fleet) installConfig(config *routing.Config, document []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.register.Offer(config) {
		return false
	}
	f.document, f.compressed, f.configInstalledAt = document, nil, now()
	return true
}

// publishedConfig returns the version and the document of the configuration in
// force, as published.
func (f *fleet) publishedConfig() (uint64, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.register.Version(), f.document
}

// compressedConfig returns the gzipped document of the configuration in force.
// It is compressed because many peers fetch it at once from a few instances,
// some over slow links.
func (f *fleet) compressedConfig() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.compressed == nil && len(f.document) > 0 {
		f.compressed = fasthttp.AppendGzipBytes(nil, f.document)
	}
	return f.compressed
}

// changeWorkers applies change to the registry and drops the cached state of
// workers that are gone or restarted.
func (f *fleet) changeWorkers(change func(*worker.Registry) []worker.Event) []worker.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := change(f.registry)
	if len(changes) == 0 {
		return nil
	}
	f.workers = f.registry.Workers()
	clear(f.workersByID)
	for _, w := range f.workers {
		f.workersByID[w.ID] = w
	}
	for _, c := range changes {
		if c.Change == worker.Gone || c.Change == worker.Restarted {
			delete(f.health, c.Worker.ID)
			delete(f.ownSlots, c.Worker.ID)
			delete(f.peerSlots, c.Worker.ID)
		}
	}
	return changes
}

// worker returns a worker by id.
func (f *fleet) worker(id string) (worker.Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, known := f.workersByID[id]
	return w, known
}

// allWorkers returns every worker that is not gone. Callers must not modify the
// result.
func (f *fleet) allWorkers() []worker.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.workers
}

// service returns a service of the configuration in force.
func (f *fleet) service(name string) (routing.Service, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.register.Current() == nil {
		return routing.Service{}, false
	}
	s, known := f.register.Current().Config.Services[name]
	return s, known
}

// setInstanceCount sets the number of instances in the cluster, at least 1.
func (f *fleet) setInstanceCount(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instanceCount = max(count, 1)
}

// applyPeerUpdate stores the worker use and slots that a peer sent with a
// heartbeat.
func (f *fleet) applyPeerUpdate(at time.Duration, peer string, update *clusterpb.News) {
	ttl := max(minPeerStateTTL, peerStateHeartbeats*time.Duration(update.GetIntervalNs()))
	decoded := peerState{receivedAt: at, expiresAt: at + ttl, uses: make(map[string]workerUse, len(update.GetUses()))}
	for _, u := range update.GetUses() {
		decoded.uses[u.GetWorker()] = decodeUse(u)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerStates[peer] = decoded
	for _, s := range update.GetSlots() {
		state := slotState{born: s.GetBorn(), usable: s.GetUsable(), expiresAt: at + ttl}
		for _, slot := range s.GetSlots() {
			state.slots = append(state.slots, slots.Slot{Adapter: slot.GetAdapter(), Ready: slot.GetReady()})
		}
		f.peerSlots[s.GetWorker()] = state
	}
}

func decodeUse(u *clusterpb.WorkerUse) workerUse {
	decoded := workerUse{
		running: int(u.GetRunning()), waitingTokens: int(u.GetWaitingTokens()), cacheTokens: int(u.GetCacheTokens()),
		adapters: make(map[string]int, len(u.GetAdapters())),
	}
	for _, a := range u.GetAdapters() {
		decoded.adapters[a.GetAdapter()] = int(a.GetRunning())
	}
	return decoded
}

func encodeUse(id string, u *workerUse) *clusterpb.WorkerUse {
	encoded := &clusterpb.WorkerUse{
		Worker: id, Running: uint32(u.running), WaitingTokens: uint32(max(u.waitingTokens, 0)), CacheTokens: uint32(max(u.cacheTokens, 0)),
	}
	for adapter, running := range u.adapters {
		encoded.Adapters = append(encoded.Adapters, &clusterpb.AdapterUse{Adapter: adapter, Running: uint32(running)})
	}
	return encoded
}

// add adds the use that another instance reports for the same worker.
func (u *workerUse) add(other workerUse) {
	u.running += other.running
	u.waitingTokens += other.waitingTokens
	u.cacheTokens += other.cacheTokens
	for adapter, n := range other.adapters {
		u.adapters[adapter] += n
	}
}

// peerUsesTTL is how long the sum over the peers is cached; peers send their
// state a few times per second.
const peerUsesTTL = 50 * time.Millisecond

// sumPeerUses sums the peers' use by worker. f.mu must be held.
func (f *fleet) sumPeerUses(at time.Duration) map[string]workerUse {
	if f.peerUses != nil && at-f.peerUsesAt < peerUsesTTL {
		return f.peerUses
	}
	f.peerUses, f.peerUsesAt = make(map[string]workerUse), at
	for _, p := range f.peerStates {
		if at > p.expiresAt {
			continue
		}
		for id, u := range p.uses {
			total, known := f.peerUses[id]
			if !known {
				total.adapters = make(map[string]int, len(u.adapters))
			}
			total.add(u)
			f.peerUses[id] = total
		}
	}
	return f.peerUses
}

// appendOwnUses appends this instance's own use to an update.
func (f *fleet) appendOwnUses(update *clusterpb.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.ownUses {
		if u.running > 0 {
			update.Uses = append(update.Uses, encodeUse(id, u))
		}
	}
}

// appendUsesExcept appends the use by all instances but the excluded one, for
// the selected workers.
func (f *fleet) appendUsesExcept(at time.Duration, update *clusterpb.News, excluded string, selected func(*worker.Worker) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.workers {
		w := &f.workers[i]
		if !selected(w) {
			continue
		}
		total := workerUse{adapters: make(map[string]int)}
		if u := f.ownUses[w.ID]; u != nil {
			total.add(*u)
		}
		for peer, p := range f.peerStates {
			if u, uses := p.uses[w.ID]; uses && peer != excluded && at <= p.expiresAt {
				total.add(u)
			}
		}
		if total.running > 0 {
			update.Uses = append(update.Uses, encodeUse(w.ID, &total))
		}
	}
}

// appendOwnSlots appends the slots of the workers that this instance controls,
// and sets the configuration version.
func (f *fleet) appendOwnSlots(update *clusterpb.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update.ConfigVersion = f.register.Version()
	for id, s := range f.ownSlots {
		encoded := &clusterpb.WorkerSlots{Worker: id, Born: s.born, Usable: s.usable}
		for _, slot := range s.slots {
			encoded.Slots = append(encoded.Slots, &clusterpb.Slot{Adapter: slot.Adapter, Ready: slot.Ready})
		}
		update.Slots = append(update.Slots, encoded)
	}
}

// setOwnSlots stores the slots of a worker that this instance controls.
func (f *fleet) setOwnSlots(id string, state slotState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownSlots[id] = state
}

// deleteOwnSlots removes a worker that this instance no longer controls.
func (f *fleet) deleteOwnSlots(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ownSlots, id)
}

// adapterUse returns the number of requests in progress for each adapter of a
// worker, over all instances.
func (f *fleet) adapterUse(at time.Duration, id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := workerUse{adapters: make(map[string]int)}
	total.add(f.sumPeerUses(at)[id])
	if u := f.ownUses[id]; u != nil {
		total.add(*u)
	}
	return total.adapters
}

// peerStateAge returns the age of the latest state of any peer, 0 if there is
// none.
func (f *fleet) peerStateAge(at time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	latest := time.Duration(0)
	for _, p := range f.peerStates {
		latest = max(latest, p.receivedAt)
	}
	if latest == 0 {
		return 0
	}
	return at - latest
}

// recordAdapter records whether an adapter was found present at a worker.
func (f *fleet) recordAdapter(at time.Duration, id, adapter string, present bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations[workerAdapter{id, adapter}] = adapterObservation{expiresAt: at + observationTTL, present: present}
}

// recordResult updates a worker's health with the result of an attempt.
func (f *fleet) recordResult(at time.Duration, id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health[id]
	if h == nil {
		h = &balance.Health{}
		f.health[id] = h
	}
	h.Observe(at, ok)
}

// countRequest adds a caller's request to the service's retry budget, and
// returns this instance's recent number of requests for the adapter.
func (f *fleet) countRequest(at time.Duration, service, adapter string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Request(at)
	if adapter == "" {
		return 0
	}
	return f.demand.Add(at, adapter)
}

// takeRetry takes one retry from the service's budget, and reports whether one
// was left. The budget is shared by the given number of instances.
func (f *fleet) takeRetry(at time.Duration, service string, instances int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Take(at, instances)
}

// retryBudgetSafety is the fraction of the operators' bound that is used. The
// rest is kept because the shares are recomputed only some time after an
// instance joins or leaves.
const retryBudgetSafety = 0.7

func (f *fleet) budget(service string) *retry.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Config{
			Ratio: f.settings.RepeatRatio, Slack: f.settings.RepeatSlack,
			Window: f.settings.RepeatWindow.Std(), Safety: retryBudgetSafety,
		})
		f.budgets[service] = b
	}
	return b
}

// beginAttempt counts an attempt as in progress at a worker until end is called
// on the result.
func (f *fleet) beginAttempt(id, adapter string, promptTokens, cacheTokens int) *attemptUse {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.ownUses[id]
	if u == nil {
		u = &workerUse{adapters: make(map[string]int)}
		f.ownUses[id] = u
	}
	u.running++
	u.waitingTokens += promptTokens
	u.cacheTokens += cacheTokens
	if adapter != "" {
		u.adapters[adapter]++
	}
	return &attemptUse{fleet: f, use: u, adapter: adapter, waitingTokens: promptTokens, cacheTokens: cacheTokens}
}

// attemptUse is what one attempt adds to the use of its worker.
type attemptUse struct {
	fleet         *fleet
	use           *workerUse
	adapter       string
	waitingTokens int
	cacheTokens   int
	ended         bool
}

// responseStarted records that the worker has begun to respond: the prompt no
// longer waits.
func (p *attemptUse) responseStarted() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.use.waitingTokens -= p.waitingTokens
	p.waitingTokens = 0
}

// end removes the attempt from its worker's use. Further calls do nothing.
func (p *attemptUse) end() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	p.use.running--
	p.use.waitingTokens -= p.waitingTokens
	p.use.cacheTokens -= p.cacheTokens
	if p.adapter == "" {
		return
	}
	if p.use.adapters[p.adapter]--; p.use.adapters[p.adapter] <= 0 {
		delete(p.use.adapters, p.adapter)
	}
}

// setAdapterVersion records a declared version of an adapter; the highest is
// kept.
func (f *fleet) setAdapterVersion(model, adapter string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := model + "/" + adapter
	f.versions[key] = max(f.versions[key], version)
}

// adapterVersion returns the highest declared version of an adapter, or 0.
func (f *fleet) adapterVersion(model, adapter string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[model+"/"+adapter]
}

// directoryEntries returns the workers and adapter versions read from the
// store, in the form sent to peers.
func (f *fleet) directoryEntries() ([]*clusterpb.WorkerEntry, []*clusterpb.AdapterVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var workers []*clusterpb.WorkerEntry
	for _, e := range f.registry.Entries() {
		workers = append(workers, encodeWorker(e.Worker, e.Revision, false))
	}
	var versions []*clusterpb.AdapterVersion
	for key, version := range f.versions {
		model, adapter, _ := strings.Cut(key, "/")
		versions = append(versions, &clusterpb.AdapterVersion{Model: model, Adapter: adapter, Version: version})
	}
	return workers, versions
}

// directoryDigest returns a hash of the workers and adapter versions read from
// the store. Adapters and slot counts of workers are left out.
func (f *fleet) directoryDigest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum := uint64(0)
	for i := range f.workers {
		w := &f.workers[i]
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %s %t %d %d", w.ID, w.Address, w.Draining, w.Born, len(w.Models)))
	}
	for key, version := range f.versions {
		sum ^= xxhash.Sum64String(fmt.Sprintf("%s %d", key, version))
	}
	return sum
}
