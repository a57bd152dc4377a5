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

// Round-trip times by distance. Source: the operators' sheets, twice one way.
const (
	neighbourRTT = 3 * time.Millisecond
	remoteRTT    = 40 * time.Millisecond
)

// peerNewsBeats is the number of a peer's beats for which its news counts, and
// peerNewsFor the least time.
const (
	peerNewsBeats = 4
	peerNewsFor   = 1600 * time.Millisecond
)

// notedFor is how long this instance's own finding about an adapter at a worker
// goes before the news of the instance that orders the worker; two beats.
const notedFor = 500 * time.Millisecond

// use is what is in progress at a worker.
type use struct {
	running, waitingTokens, cacheTokens int
	adapters                            map[string]int
}

// peerNews is the latest news of a peer.
type peerNews struct {
	at, until time.Duration
	uses      map[string]use
}

// slotNews is what the instance that orders a worker says of it.
type slotNews struct {
	born   int64
	usable bool
	slots  []slots.Slot
	// until is when the news of a peer counts no longer.
	until time.Duration
}

// noted is this instance's own finding about an adapter at a worker.
type noted struct {
	until   time.Duration
	present bool
}

type adapterAt struct{ worker, adapter string }

// fleet is everything that an instance believes of configuration, workers and
// what the other instances do. It is safe for concurrent use.
type fleet struct {
	settings Settings
	balance  balance.Config

	mu       sync.Mutex
	register routing.Register
	document []byte
	// packed is the document compressed, once a peer has asked for it.
	packed []byte
	// configAt is when the configuration in force was taken.
	configAt time.Duration
	registry *worker.Registry
	workers  []worker.Worker
	byID     map[string]worker.Worker
	own      map[string]*use
	peers    map[string]peerNews
	mine     map[string]slotNews
	// told is the latest word of the peers that order workers.
	told     map[string]slotNews
	notes    map[adapterAt]noted
	health   map[string]*balance.Health
	versions map[string]int64
	budgets  map[string]*retry.Budget
	demand   *balance.Demand
	// instances counts the instances of the cluster, this one included.
	instances int
	// others sums what the peers have in progress by worker, as of othersAt.
	others   map[string]use
	othersAt time.Duration
}

func newFleet(s Settings) *fleet {
	return &fleet{
		settings: s, balance: balance.DefaultConfig(), registry: worker.NewRegistry(),
		byID: make(map[string]worker.Worker), own: make(map[string]*use), peers: make(map[string]peerNews),
		mine: make(map[string]slotNews), told: make(map[string]slotNews), notes: make(map[adapterAt]noted), health: make(map[string]*balance.Health),
		versions: make(map[string]int64), budgets: make(map[string]*retry.Budget),
		demand: balance.NewDemand(), instances: 1,
	}
}

// table returns the configuration in force, or nil.
func (f *fleet) table() *routing.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.register.Current()
}

// offer installs a configuration and tells whether it was newer.
func (f *fleet) offer(config *routing.Config, document []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.register.Offer(config) {
		return false
	}
	f.document, f.packed, f.configAt = document, nil, now()
	return true
}

// published returns the configuration in force as it was published.
func (f *fleet) published() (uint64, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.register.Version(), f.document
}

// packedDocument returns the configuration in force, compressed: many peers fetch
// it at the same time from a few, and some have slow links.
func (f *fleet) packedDocument() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.packed == nil && len(f.document) > 0 {
		f.packed = fasthttp.AppendGzipBytes(nil, f.document)
	}
	return f.packed
}

// changeWorkers applies f to the registry.
func (f *fleet) changeWorkers(change func(*worker.Registry) []worker.Event) []worker.Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := change(f.registry)
	if len(news) == 0 {
		return nil
	}
	f.workers = f.registry.Workers()
	clear(f.byID)
	for _, w := range f.workers {
		f.byID[w.ID] = w
	}
	for _, n := range news {
		if n.Change == worker.Gone || n.Change == worker.Restarted {
			delete(f.health, n.Worker.ID)
			delete(f.mine, n.Worker.ID)
			delete(f.told, n.Worker.ID)
		}
	}
	return news
}

// worker returns what is known of one worker.
func (f *fleet) worker(id string) (worker.Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, known := f.byID[id]
	return w, known
}

// allWorkers returns every worker that is not gone.
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

// setInstances records the number of instances of the cluster.
func (f *fleet) setInstances(count int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = max(count, 1)
}

// heard takes a peer's news.
func (f *fleet) heard(at time.Duration, from string, news *clusterpb.News) {
	lasts := max(peerNewsFor, peerNewsBeats*time.Duration(news.GetIntervalNs()))
	decoded := peerNews{at: at, until: at + lasts, uses: make(map[string]use, len(news.GetUses()))}
	for _, u := range news.GetUses() {
		decoded.uses[u.GetWorker()] = decodeUse(u)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers[from] = decoded
	for _, s := range news.GetSlots() {
		held := slotNews{born: s.GetBorn(), usable: s.GetUsable(), until: at + lasts}
		for _, one := range s.GetSlots() {
			held.slots = append(held.slots, slots.Slot{Adapter: one.GetAdapter(), Ready: one.GetReady()})
		}
		f.told[s.GetWorker()] = held
	}
}

func decodeUse(u *clusterpb.WorkerUse) use {
	decoded := use{
		running: int(u.GetRunning()), waitingTokens: int(u.GetWaitingTokens()), cacheTokens: int(u.GetCacheTokens()),
		adapters: make(map[string]int, len(u.GetAdapters())),
	}
	for _, a := range u.GetAdapters() {
		decoded.adapters[a.GetAdapter()] = int(a.GetRunning())
	}
	return decoded
}

func encodeUse(id string, u *use) *clusterpb.WorkerUse {
	encoded := &clusterpb.WorkerUse{
		Worker: id, Running: uint32(u.running), WaitingTokens: uint32(max(u.waitingTokens, 0)), CacheTokens: uint32(max(u.cacheTokens, 0)),
	}
	for adapter, running := range u.adapters {
		encoded.Adapters = append(encoded.Adapters, &clusterpb.AdapterUse{Adapter: adapter, Running: uint32(running)})
	}
	return encoded
}

// add sums what two instances have in progress at one worker.
func (u *use) add(other use) {
	u.running += other.running
	u.waitingTokens += other.waitingTokens
	u.cacheTokens += other.cacheTokens
	for adapter, n := range other.adapters {
		u.adapters[adapter] += n
	}
}

// othersFor is how long the sum over the peers is used; their news comes a few
// times a second.
const othersFor = 50 * time.Millisecond

// othersUses sums what the peers have in progress by worker.
func (f *fleet) othersUses(at time.Duration) map[string]use {
	if f.others != nil && at-f.othersAt < othersFor {
		return f.others
	}
	f.others, f.othersAt = make(map[string]use), at
	for _, p := range f.peers {
		if at > p.until {
			continue
		}
		for id, u := range p.uses {
			total, known := f.others[id]
			if !known {
				total.adapters = make(map[string]int, len(u.adapters))
			}
			total.add(u)
			f.others[id] = total
		}
	}
	return f.others
}

// addOwnUses tells what this instance has in progress.
func (f *fleet) addOwnUses(news *clusterpb.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, u := range f.own {
		if u.running > 0 {
			news.Uses = append(news.Uses, encodeUse(id, u))
		}
	}
}

// addOthersUses tells what all instances but one have in progress at the chosen
// workers.
func (f *fleet) addOthersUses(at time.Duration, news *clusterpb.News, but string, chosen func(*worker.Worker) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.workers {
		w := &f.workers[i]
		if !chosen(w) {
			continue
		}
		total := use{adapters: make(map[string]int)}
		if u := f.own[w.ID]; u != nil {
			total.add(*u)
		}
		for from, p := range f.peers {
			if u, uses := p.uses[w.ID]; uses && from != but && at <= p.until {
				total.add(u)
			}
		}
		if total.running > 0 {
			news.Uses = append(news.Uses, encodeUse(w.ID, &total))
		}
	}
}

// addSlots tells the slots of the workers that this instance orders.
func (f *fleet) addSlots(news *clusterpb.News) {
	f.mu.Lock()
	defer f.mu.Unlock()
	news.ConfigVersion = f.register.Version()
	for id, s := range f.mine {
		encoded := &clusterpb.WorkerSlots{Worker: id, Born: s.born, Usable: s.usable}
		for _, one := range s.slots {
			encoded.Slots = append(encoded.Slots, &clusterpb.Slot{Adapter: one.Adapter, Ready: one.Ready})
		}
		news.Slots = append(news.Slots, encoded)
	}
}

// setMine records the slots of a worker that this instance orders.
func (f *fleet) setMine(id string, news slotNews) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mine[id] = news
}

// dropMine forgets a worker that this instance no longer orders.
func (f *fleet) dropMine(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.mine, id)
}

// usage sums the requests in progress for each adapter of a worker, over all
// instances.
func (f *fleet) usage(at time.Duration, id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := use{adapters: make(map[string]int)}
	total.add(f.othersUses(at)[id])
	if u := f.own[id]; u != nil {
		total.add(*u)
	}
	return total.adapters
}

// newsAge is the age of the latest news of any peer, 0 where there is none.
func (f *fleet) newsAge(at time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	latest := time.Duration(0)
	for _, p := range f.peers {
		latest = max(latest, p.at)
	}
	if latest == 0 {
		return 0
	}
	return at - latest
}

// note records this instance's own finding about an adapter at a worker.
func (f *fleet) note(at time.Duration, id, adapter string, present bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notes[adapterAt{id, adapter}] = noted{until: at + notedFor, present: present}
}

// observe records the result of an attempt at a worker.
func (f *fleet) observe(at time.Duration, id string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health[id]
	if h == nil {
		h = &balance.Health{}
		f.health[id] = h
	}
	h.Observe(at, ok)
}

// countRequest counts a caller's request to a service, and returns how many this
// instance had lately for the adapter.
func (f *fleet) countRequest(at time.Duration, service, adapter string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(service).Request(at)
	if adapter == "" {
		return 0
	}
	return f.demand.Add(at, adapter)
}

// mayRepeat takes one repeat of the service's budget.
func (f *fleet) mayRepeat(at time.Duration, service string, members int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(service).Take(at, members)
}

// repeatSafety is the part of the operators' bound that is used: instances that
// join or leave share it out anew only after a while.
const repeatSafety = 0.7

func (f *fleet) budget(service string) *retry.Budget {
	b := f.budgets[service]
	if b == nil {
		b = retry.NewBudget(retry.Config{
			Ratio: f.settings.RepeatRatio, Slack: f.settings.RepeatSlack,
			Window: f.settings.RepeatWindow.Std(), Safety: repeatSafety,
		})
		f.budgets[service] = b
	}
	return b
}

// begin counts an attempt at a worker as in progress.
func (f *fleet) begin(id, adapter string, promptTokens, allTokens int) *inProgress {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := f.own[id]
	if u == nil {
		u = &use{adapters: make(map[string]int)}
		f.own[id] = u
	}
	u.running++
	u.waitingTokens += promptTokens
	u.cacheTokens += allTokens
	if adapter != "" {
		u.adapters[adapter]++
	}
	return &inProgress{fleet: f, use: u, adapter: adapter, waiting: promptTokens, all: allTokens}
}

// inProgress is one attempt that counts as use of its worker.
type inProgress struct {
	fleet   *fleet
	use     *use
	adapter string
	waiting int
	all     int
	done    bool
}

// answering notes that the worker has begun to answer.
func (p *inProgress) answering() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.use.waitingTokens -= p.waiting
	p.waiting = 0
}

// end notes that the attempt is over.
func (p *inProgress) end() {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.done {
		return
	}
	p.done = true
	p.use.running--
	p.use.waitingTokens -= p.waiting
	p.use.cacheTokens -= p.all
	if p.adapter == "" {
		return
	}
	if p.use.adapters[p.adapter]--; p.use.adapters[p.adapter] <= 0 {
		delete(p.use.adapters, p.adapter)
	}
}

// setVersion records the newest version of an adapter.
func (f *fleet) setVersion(model, adapter string, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := model + "/" + adapter
	f.versions[key] = max(f.versions[key], version)
}

// version returns the newest declared version of an adapter, or 0.
func (f *fleet) version(model, adapter string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.versions[model+"/"+adapter]
}

// directory returns all that is known from the store, for a peer.
func (f *fleet) directory() ([]*clusterpb.WorkerEntry, []*clusterpb.AdapterVersion) {
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

// digest identifies what is known from the store, but for the adapters and
// counts of workers.
func (f *fleet) digest() uint64 {
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
