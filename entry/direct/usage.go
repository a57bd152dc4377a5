package direct

import (
	"math"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/cost"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// A peer's state is valid for peerStateHeartbeats of its heartbeat intervals,
// but for at least minPeerStateTTL.
const (
	peerStateHeartbeats = 4
	minPeerStateTTL     = 1600 * time.Millisecond
)

// peerStateTTL returns how long a peer's update is valid.
func peerStateTTL(update *clusterpb.News) time.Duration {
	return max(minPeerStateTTL, peerStateHeartbeats*time.Duration(update.GetIntervalNs()))
}

// peerUsesTTL is how long the sum over the peers is cached; peers send their
// state a few times per second.
const peerUsesTTL = 50 * time.Millisecond

// workerUse sums the requests in progress at a worker.
type workerUse struct {
	running, waitingTokens, cacheTokens int
	// withoutConnection is the part of running that waits for an adapter and holds no
	// connection to the worker yet. It is known of this instance's own requests only.
	withoutConnection int
	// remainingTokens is the expected number of output tokens still to be made.
	remainingTokens int
	adapters        map[string]int
	// holdOffUntil is when the last hold-off that the worker asked for ends.
	holdOffUntil time.Duration
}

// add adds the use that another instance reports for the same worker.
func (u *workerUse) add(other workerUse) {
	u.running += other.running
	u.waitingTokens += other.waitingTokens
	u.cacheTokens += other.cacheTokens
	u.remainingTokens += other.remainingTokens
	u.holdOffUntil = max(u.holdOffUntil, other.holdOffUntil)
	for adapter, n := range other.adapters {
		u.adapters[adapter] += n
	}
}

// peerUse is the latest use received from a peer.
type peerUse struct {
	receivedAt, expiresAt time.Duration
	workers               map[string]workerUse
}

// usage holds the requests in progress at workers: this instance's own, and those
// of its peers as of their latest heartbeats. It is safe for concurrent use.
type usage struct {
	mu sync.Mutex
	// own holds this instance's own use, by worker.
	own map[string]*workerUse
	// peers holds the latest use of every peer, by control address.
	peers map[string]peerUse
	// peerSum caches sumPeers, as of peerSumAt.
	peerSum   map[string]workerUse
	peerSumAt time.Duration
	// agePrompts reduces the waiting prompt tokens of the peers with the age of their
	// news.
	agePrompts bool
}

// promptHalfLife is the age of news after which half of the prompts that waited then are
// expected to be processed. A prompt takes about 100 ms, and others have come since.
const promptHalfLife = 250 * time.Millisecond

func newUsage() *usage {
	return &usage{own: make(map[string]*workerUse), peers: make(map[string]peerUse)}
}

// apply stores the use that a peer sent with a heartbeat.
func (u *usage) apply(at time.Duration, peer string, update *clusterpb.News) {
	received := peerUse{receivedAt: at, expiresAt: at + peerStateTTL(update), workers: make(map[string]workerUse, len(update.GetUses()))}
	for _, use := range update.GetUses() {
		received.workers[use.GetWorker()] = decodeUse(at, use)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peers[peer] = received
}

func decodeUse(at time.Duration, u *clusterpb.WorkerUse) workerUse {
	decoded := workerUse{
		running: int(u.GetRunning()), waitingTokens: int(u.GetWaitingTokens()), cacheTokens: int(u.GetCacheTokens()),
		remainingTokens: int(u.GetRemainingTokens()),
		adapters:        make(map[string]int, len(u.GetAdapters())),
	}
	if holdOff := u.GetHoldOffMs(); holdOff > 0 {
		decoded.holdOffUntil = at + time.Duration(holdOff)*time.Millisecond
	}
	for _, a := range u.GetAdapters() {
		decoded.adapters[a.GetAdapter()] = int(a.GetRunning())
	}
	return decoded
}

func encodeUse(at time.Duration, id string, u *workerUse) *clusterpb.WorkerUse {
	encoded := &clusterpb.WorkerUse{
		Worker: id, Running: uint32(u.running), WaitingTokens: uint32(max(u.waitingTokens, 0)), CacheTokens: uint32(max(u.cacheTokens, 0)),
		HoldOffMs: uint32(max(u.holdOffUntil-at, 0).Milliseconds()), RemainingTokens: uint32(max(u.remainingTokens, 0)),
	}
	for adapter, running := range u.adapters {
		encoded.Adapters = append(encoded.Adapters, &clusterpb.AdapterUse{Adapter: adapter, Running: uint32(running)})
	}
	return encoded
}

// sumPeers sums the peers' use by worker, and drops what has expired. u.mu must be
// held.
func (u *usage) sumPeers(at time.Duration) map[string]workerUse {
	if u.peerSum != nil && at-u.peerSumAt < peerUsesTTL {
		return u.peerSum
	}
	u.peerSum, u.peerSumAt = make(map[string]workerUse), at
	for peer, p := range u.peers {
		if at > p.expiresAt {
			delete(u.peers, peer)
			continue
		}
		share := 1.0
		if u.agePrompts {
			share = math.Exp2(-float64(at-p.receivedAt) / float64(promptHalfLife))
		}
		for id, use := range p.workers {
			use.waitingTokens = int(share * float64(use.waitingTokens))
			total, known := u.peerSum[id]
			if !known {
				total.adapters = make(map[string]int, len(use.adapters))
			}
			total.add(use)
			u.peerSum[id] = total
		}
	}
	return u.peerSum
}

// read calls use with the use of a worker by the peers and by this instance, which may
// be nil. use must not keep them.
func (u *usage) read(at time.Duration, id string, use func(peers workerUse, own *workerUse)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	use(u.sumPeers(at)[id], u.own[id])
}

// appendOwn appends this instance's own use to an update, and the hold-offs that
// workers asked it for.
func (u *usage) appendOwn(at time.Duration, update *clusterpb.News, holdOffs map[string]time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for id, use := range u.own {
		if use.running > 0 {
			update.Uses = append(update.Uses, encodeUse(at, id, use.heldOff(at, holdOffs[id])))
		}
	}
	for id, left := range holdOffs {
		if use := u.own[id]; use == nil || use.running == 0 {
			update.Uses = append(update.Uses, encodeUse(at, id, (&workerUse{}).heldOff(at, left)))
		}
	}
}

// heldOff returns a copy of the use with the hold-off that the worker asked this
// instance for; left may be 0.
func (u *workerUse) heldOff(at, left time.Duration) *workerUse {
	copied := *u
	if left > 0 {
		copied.holdOffUntil = max(copied.holdOffUntil, at+left)
	}
	return &copied
}

// appendExcept appends the use by all instances but the excluded one, for the
// selected workers.
func (u *usage) appendExcept(at time.Duration, update *clusterpb.News, excluded string, workers []worker.Worker, holdOffs map[string]time.Duration, selected func(*worker.Worker) bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for i := range workers {
		w := &workers[i]
		if !selected(w) {
			continue
		}
		total := workerUse{adapters: make(map[string]int)}
		if use := u.own[w.ID]; use != nil {
			total.add(*use)
		}
		for peer, p := range u.peers {
			if use, uses := p.workers[w.ID]; uses && peer != excluded && at <= p.expiresAt {
				total.add(use)
			}
		}
		if left := holdOffs[w.ID]; left > 0 {
			total.holdOffUntil = max(total.holdOffUntil, at+left)
		}
		if total.running > 0 || total.holdOffUntil > at {
			update.Uses = append(update.Uses, encodeUse(at, w.ID, &total))
		}
	}
}

// adapters returns the number of requests in progress for each adapter of a worker,
// over all instances.
func (u *usage) adapters(at time.Duration, id string) map[string]int {
	total := workerUse{adapters: make(map[string]int)}
	u.read(at, id, func(peers workerUse, own *workerUse) {
		total.add(peers)
		if own != nil {
			total.add(*own)
		}
	})
	return total.adapters
}

// newestAge and oldestAge return the age of the latest state of the peer that was
// heard last, and of the one heard longest ago; 0 if there is none.
func (u *usage) newestAge(at time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	latest := time.Duration(0)
	for _, p := range u.peers {
		latest = max(latest, p.receivedAt)
	}
	if latest == 0 {
		return 0
	}
	return at - latest
}

func (u *usage) oldestAge(at time.Duration) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	oldest := time.Duration(0)
	for _, p := range u.peers {
		if at <= p.expiresAt {
			oldest = max(oldest, at-p.receivedAt)
		}
	}
	return oldest
}

// forget drops this instance's use of a worker that is gone, unless requests are
// still in progress there.
func (u *usage) forget(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if use := u.own[id]; use != nil && use.running == 0 {
		delete(u.own, id)
	}
}

// begin counts an attempt as in progress at a worker until end is called on the
// result, which calls onEnd. outputTokens is the expected length of the response, 0 if
// it is unknown.
func (u *usage) begin(id, adapter string, promptTokens, cacheTokens int, outputTokens float64, onEnd func()) *attemptUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	use := u.own[id]
	if use == nil {
		use = &workerUse{adapters: make(map[string]int)}
		u.own[id] = use
	}
	use.running++
	use.waitingTokens += promptTokens
	use.cacheTokens += cacheTokens
	if adapter != "" {
		use.adapters[adapter]++
	}
	a := &attemptUse{usage: u, worker: use, adapter: adapter, waitingTokens: promptTokens, cacheTokens: cacheTokens, expectedTokens: outputTokens, onEnd: onEnd}
	a.setRemaining(0)
	return a
}

// attemptUse is what one attempt adds to the use of its worker.
type attemptUse struct {
	usage         *usage
	worker        *workerUse
	adapter       string
	waitingTokens int
	cacheTokens   int
	// expectedTokens is the expected length of the response, and remainingTokens what
	// this attempt adds to its worker's.
	expectedTokens  float64
	remainingTokens int
	ended           bool
	// withoutConnection is set if the attempt holds no connection to the worker.
	withoutConnection bool
	// onEnd is called once when the attempt ends.
	onEnd func()
}

// waitsForAdapter records that the attempt holds no connection to its worker.
func (a *attemptUse) waitsForAdapter() {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	a.withoutConnection = true
	a.worker.withoutConnection++
}

// responseStarted records that the worker has begun to respond: the prompt no
// longer waits.
func (a *attemptUse) responseStarted() {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	a.worker.waitingTokens -= a.waitingTokens
	a.waitingTokens = 0
}

// progressed records how many tokens of the response have arrived.
func (a *attemptUse) progressed(tokens int) {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	a.setRemaining(tokens)
}

// setRemaining updates the remaining tokens. a.usage.mu must be held.
func (a *attemptUse) setRemaining(tokens int) {
	if a.expectedTokens <= 0 || a.ended {
		return
	}
	left := cost.Remaining(a.expectedTokens, tokens)
	a.worker.remainingTokens += left - a.remainingTokens
	a.remainingTokens = left
}

// end removes the attempt from its worker's use. Further calls do nothing.
func (a *attemptUse) end() {
	a.usage.mu.Lock()
	defer a.usage.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	a.onEnd()
	a.worker.running--
	if a.withoutConnection {
		a.worker.withoutConnection--
	}
	a.worker.waitingTokens -= a.waitingTokens
	a.worker.cacheTokens -= a.cacheTokens
	a.worker.remainingTokens -= a.remainingTokens
	if a.adapter == "" {
		return
	}
	if a.worker.adapters[a.adapter]--; a.worker.adapters[a.adapter] <= 0 {
		delete(a.worker.adapters, a.adapter)
	}
}
