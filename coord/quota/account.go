package quota

import (
	"slices"
	"time"
)

// MeterRef is a meter as an account uses it.
type MeterRef struct {
	// Index identifies the meter, from 0 to 63.
	Index int
	// Choice is the position of the meter among those of its cluster, as ShareOf uses it.
	Choice int
	// Remote is set for a meter that is far away, which is asked only if the near ones
	// have too little.
	Remote bool
	// Seed is set for the reserve meter of a seed, which is asked only if no other meter
	// responds. Seeds are asked in the order in which they are listed.
	Seed bool
}

// Request is a caller's request for tokens.
type Request struct {
	need int64
	// notify is called when the request is decided.
	notify func()
	// tried holds the meters that had too little since the request arrived, asks how
	// often one was asked for it.
	tried  uint64
	asks   int
	inAsk  bool
	Result Result
}

// Result is the decision on a request.
type Result struct {
	Admitted bool
	Ticket   Ticket
	// Unreachable is set if the request is not admitted because no meter responds; else
	// it is over the quota.
	Unreachable bool
	// RetryAfter is the time until its tokens may be there, if it is not admitted.
	RetryAfter time.Duration
}

// Account is the state of one organisation at an instance: its pool, what is known of
// the meters, and the requests that wait for tokens. It decides which meter to ask. It is
// not safe for concurrent use.
type Account struct {
	config Config
	limit  Limit
	pool   *Pool
	// reserve is nil until a meter has responded: the number of instances, which the
	// reserve depends on, is not known before.
	reserve *Reserve
	// near and remote are the meters by distance. Those of equal distance are asked first
	// in turn, beginning with the one at turn, so that their buckets empty equally.
	near, remote []MeterRef
	seeds        []MeterRef
	turn         int
	meters       []meterView // by index
	waiting      []*Request
	// scarceUntil is the time until which tokens are scarce.
	scarceUntil time.Duration
	// askingForRequests and askingAhead are set while such an ask is in progress.
	askingForRequests, askingAhead bool
	Counts                         Counts
}

// meterView is what an account knows of a meter.
type meterView struct {
	remote, seed, busy bool
	// failed is set from a failure to the next response.
	failed bool
	// level is an estimate of what the meter could grant when it last refused a request,
	// at levelAt, less what it has granted since.
	level   float64
	levelAt time.Duration
	// emptyUntil is when the meter has enough for the last request that it refused.
	emptyUntil time.Duration
	// askFrom is when the meter may be asked for a request, aheadFrom when for more than
	// requests need.
	askFrom, aheadFrom time.Duration
	// refusals rises with each refusal and falls with each grant.
	refusals int
	// failedUntil is the time until which the meter is not asked after a failure.
	failedUntil time.Duration
}

// ToSend is an ask that is to be sent to a meter.
type ToSend struct {
	Ask
	Meter int
	// forRequests is set if requests wait for the response.
	forRequests bool
	sentAt      time.Duration
}

// NewAccount returns an account without tokens. first selects the meter that is asked
// first; accounts at different instances should have different ones.
func NewAccount(config Config, meters []MeterRef, first int) *Account {
	a := &Account{config: config, pool: NewPool(config), turn: first, meters: make([]meterView, len(meters))}
	for _, m := range meters {
		a.meters[m.Index].remote, a.meters[m.Index].seed = m.Remote, m.Seed
		switch {
		case m.Seed:
			a.seeds = append(a.seeds, m)
		case m.Remote:
			a.remote = append(a.remote, m)
		default:
			a.near = append(a.near, m)
		}
	}
	return a
}

// SetLimit sets the limit in force.
func (a *Account) SetLimit(limit Limit) { a.limit = limit }

// Take takes tokens that the account holds. It takes nothing if there are too few, or if
// other requests wait.
func (a *Account) Take(now time.Duration, need int64) (Ticket, bool) {
	if !a.isPossible(need) {
		return Ticket{}, false // it would be forecast as demand, and meters emptied for it
	}
	a.pool.RecordDemand(now, need)
	if len(a.waiting) > 0 {
		return Ticket{}, false
	}
	ticket, ok := a.pool.Spend(now, need)
	if ok {
		a.countSpent(ticket)
	}
	return ticket, ok
}

// countSpent counts the tokens of a request that is admitted.
func (a *Account) countSpent(t Ticket) {
	a.Counts.Spent += t.Amount()
	a.Counts.Reserve += t.reserve
	if t.grant.amount > 0 && a.meters[t.grant.meter].seed {
		a.Counts.Reserve += t.grant.amount
	}
	for _, g := range t.more {
		if a.meters[g.meter].seed {
			a.Counts.Reserve += g.amount
		}
	}
}

// Wait adds a request that Take refused to those that wait for tokens. notify is called
// when it is decided, by a later call of a method of the account, or by this call if the
// meters can't hold as much.
func (a *Account) Wait(need int64, notify func()) *Request {
	r := &Request{need: need, notify: notify}
	if !a.isPossible(need) {
		r.Result = Result{RetryAfter: impossibleRetryAfter}
		a.Counts.Refused++
		notify()
		return r
	}
	a.waiting = append(a.waiting, r)
	return r
}

// isPossible reports whether all meters together can hold what a request needs.
func (a *Account) isPossible(need int64) bool { return a.config.Part(a.limit, need) > 0 }

// Abandon removes a request that waits no longer. It returns false if the request has
// been decided.
func (a *Account) Abandon(r *Request) bool {
	i := slices.Index(a.waiting, r)
	if i < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, i, i+1)
	a.Counts.Unreachable++
	return true
}

// Restore takes back the tokens of a request that has not run and never will.
func (a *Account) Restore(now time.Duration, t Ticket) {
	a.Counts.Returned += t.Amount()
	a.pool.Restore(now, t)
}

// Held returns the tokens that can be spent now.
func (a *Account) Held(now time.Duration) int64 { return a.pool.Available(now) }

// Next decides the waiting requests that can be decided, and returns the ask that is
// needed next, or false if there is none at the moment. Call it again after each request
// that waits and each response. instances is the number of instances that share the
// quota.
func (a *Account) Next(now time.Duration, instances int) (ToSend, bool) {
	for len(a.waiting) > 0 {
		head := a.waiting[0]
		if ticket, ok := a.pool.Spend(now, head.need); ok {
			a.countSpent(ticket)
			a.decide(Result{Admitted: true, Ticket: ticket})
			continue
		}
		if a.askingForRequests || a.awaitsNearMeter() {
			return ToSend{}, false
		}
		part := a.config.Part(a.limit, head.need-a.pool.Available(now))
		if part == 0 {
			a.refuse(Result{RetryAfter: impossibleRetryAfter})
			continue
		}
		if meter := a.pick(now, head, part); meter >= 0 {
			return a.askForRequests(now, meter, part, a.pool.Batch(now, now < a.scarceUntil)), true
		}
		if meter, part := a.pickSeed(now, head); meter >= 0 {
			return a.askForRequests(now, meter, part, 0), true
		}
		if a.awaitsMeter(head) {
			return ToSend{}, false
		}
		a.decideWithoutMeter(now, head, instances)
	}
	return a.askAhead(now)
}

// awaitsNearMeter reports whether a meter nearby is asked for tokens ahead of demand,
// which the waiting requests can use soon.
func (a *Account) awaitsNearMeter() bool {
	return slices.ContainsFunc(a.meters, func(m meterView) bool { return m.busy && !m.remote && !m.seed })
}

// awaitsMeter reports whether a meter that has not refused a request is asked for tokens
// ahead of demand.
func (a *Account) awaitsMeter(r *Request) bool {
	for i := range a.meters {
		if a.meters[i].busy && r.tried&(1<<i) == 0 {
			return true
		}
	}
	return false
}

// pick returns the meter to ask for a part of what a request needs, or -1.
func (a *Account) pick(now time.Duration, r *Request, part int64) int {
	if r.asks >= asksPerMeter*len(a.meters) {
		return -1
	}
	return a.first(func(ref MeterRef) bool {
		return a.usable(now, ref) && a.mayGrant(now, ref, part) && r.tried&(1<<ref.Index) == 0
	})
}

// mayGrant reports whether a meter is worth asking for an amount: it has not refused a
// request lately, or it refused a larger one.
func (a *Account) mayGrant(now time.Duration, ref MeterRef, amount int64) bool {
	m := &a.meters[ref.Index]
	if now >= m.askFrom || m.remote && m.refusals > overloadRefusals {
		return now >= m.askFrom
	}
	return m.level+a.config.ShareOf(a.limit, ref.Choice).Rate*(now-m.levelAt).Seconds() >= float64(amount)
}

// first returns the first meter in the order of asking for which accept returns true, or
// -1.
func (a *Account) first(accept func(MeterRef) bool) int {
	for _, group := range [][]MeterRef{a.near, a.remote} {
		for i := range group {
			if ref := group[(a.turn+i)%len(group)]; accept(ref) {
				return ref.Index
			}
		}
	}
	return -1
}

// asksPerMeter bounds the asks for one request, as a multiple of the number of meters.
const asksPerMeter = 2

// usable reports whether a meter can be asked at all.
func (a *Account) usable(now time.Duration, ref MeterRef) bool {
	m := &a.meters[ref.Index]
	return ref.Choice < a.config.MetersUsed(a.limit) && !m.busy && now >= m.failedUntil
}

// askForRequests returns an ask for least, which the first waiting request needs, for
// what the others need and for what is needed ahead.
func (a *Account) askForRequests(now time.Duration, meter int, least, ahead int64) ToSend {
	a.askingForRequests = true
	a.waiting[0].asks++
	amount := least + ahead
	for i, r := range a.waiting {
		r.inAsk = true
		if i > 0 {
			amount += r.need
		}
	}
	return a.send(now, meter, Ask{Amount: amount, Least: least}, true)
}

// askAhead returns an ask for tokens ahead of demand, or false if none is needed.
func (a *Account) askAhead(now time.Duration) (ToSend, bool) {
	if a.askingAhead || a.askingForRequests {
		return ToSend{}, false
	}
	ahead := a.pool.Ahead(now, now < a.scarceUntil)
	if ahead <= 0 {
		return ToSend{}, false
	}
	meter := a.first(func(ref MeterRef) bool {
		m := &a.meters[ref.Index]
		return a.usable(now, ref) && now >= m.askFrom && now >= m.aheadFrom
	})
	if meter < 0 {
		return ToSend{}, false
	}
	a.askingAhead = true
	return a.send(now, meter, Ask{Amount: ahead}, false), true
}

// send records an ask as in progress.
func (a *Account) send(now time.Duration, meter int, ask Ask, forRequests bool) ToSend {
	a.turn++
	if !a.meters[meter].seed {
		ask.Returned = a.pool.Unused(now, meter)
	}
	a.meters[meter].busy = true
	a.Counts.Calls++
	a.Counts.Asked += ask.Amount
	a.Counts.ReturnedLate += ask.Returned
	return ToSend{Ask: ask, Meter: meter, forRequests: forRequests, sentAt: now}
}

// received ends an ask.
func (a *Account) received(sent ToSend) {
	a.meters[sent.Meter].busy = false
	if sent.forRequests {
		a.askingForRequests = false
	} else {
		a.askingAhead = false
	}
}

// HandleGrant applies the response to an ask.
func (a *Account) HandleGrant(now time.Duration, sent ToSend, grant Grant) {
	a.received(sent)
	granted := min(max(grant.Granted, 0), sent.Amount)
	a.Counts.Granted += granted
	a.pool.Add(sent.sentAt, sent.Meter, granted)
	m := &a.meters[sent.Meter]
	m.failed = false
	if a.reserve == nil && !m.seed {
		a.reserve = NewReserve(now)
	}
	isRefused := granted < sent.Least
	m.level -= float64(granted)
	if !isRefused && sent.Least > 0 {
		m.refusals = max(m.refusals-1, 0)
	}
	a.recordTried(sent, isRefused)
	if granted == sent.Amount {
		return
	}
	wait := min(max(grant.Wait, minPause), maxWait)
	m.aheadFrom = now + min(wait, maxPause)
	rate := a.config.SeedShare(a.limit).Rate
	if !m.seed {
		a.scarceUntil, rate = now+scarceFor, a.config.ShareOf(a.limit, 0).Rate
	}
	if isRefused {
		m.emptyUntil = now + wait
		m.level, m.levelAt = float64(sent.Least)-rate*wait.Seconds(), now
		m.askFrom = now + min(max(wait, m.refusalPause()), maxPause)
		m.refusals = min(m.refusals+1, maxRefusals)
	}
}

// recordTried notes the meter in the requests for which it had too little. A seed counts
// after each ask, so that the next part of a large request is asked of another one.
func (a *Account) recordTried(sent ToSend, isRefused bool) {
	for i, r := range a.waiting {
		if r.inAsk && (i > 0 || isRefused || a.meters[sent.Meter].seed) {
			r.tried |= 1 << sent.Meter
		}
	}
}

// scarceFor is how long after a meter had too little fewer tokens are asked ahead: longer
// than the fluctuations of demand that buckets level out.
const scarceFor = 10 * time.Second

// Pauses before a meter that had too little is asked again.
const (
	minPause = 5 * time.Millisecond
	// maxPause bounds the time during which a raised limit has no effect.
	maxPause = 2 * time.Second
	// remotePause doubles with each refusal by a remote meter, up to maxRefusals, and
	// halves with each grant. In overload every meter has enough requests of its own
	// region, and most calls from others are in vain.
	remotePause = 50 * time.Millisecond
	maxRefusals = 6
	// overloadRefusals is the number of refusals above which a remote meter is in
	// overload: what it had at the last refusal has gone to others.
	overloadRefusals = 2
)

// refusalPause returns the least time before a meter that refused is asked again.
func (m *meterView) refusalPause() time.Duration {
	if !m.remote {
		return minPause
	}
	return remotePause << m.refusals
}

// failurePause is how long a meter is not asked after it could not be reached. Who sends
// the calls must not wait for an instance that is known not to respond: the pause saves
// processor time rather than waiting.
const failurePause = 100 * time.Millisecond

// HandleFailure records that an ask had no usable response.
func (a *Account) HandleFailure(now time.Duration, sent ToSend) {
	a.received(sent)
	a.Counts.Failures++
	m := &a.meters[sent.Meter]
	m.failed, m.failedUntil = true, now+failurePause
}

// impossibleRetryAfter is the RetryAfter of a request that needs more than the meters can
// hold.
const impossibleRetryAfter = time.Minute

// decideWithoutMeter decides the first waiting request if no meter is worth asking: those
// that respond have too little, or none is reachable.
func (a *Account) decideWithoutMeter(now time.Duration, head *Request, instances int) {
	if responding, empty := a.responding(now); responding {
		a.refuse(Result{RetryAfter: empty})
		return
	}
	if a.reserve != nil {
		if ticket, ok := a.reserve.Spend(now, a.config, a.limit, instances, head.need); ok {
			a.countSpent(ticket)
			a.decide(Result{Admitted: true, Ticket: ticket})
			return
		}
	}
	a.refuse(Result{Unreachable: true, RetryAfter: unreachableRetryAfter})
}

// unreachableRetryAfter is the RetryAfter of a request that is refused because no meter
// responds: a seed gains enough for a small request in that time.
const unreachableRetryAfter = 500 * time.Millisecond

// responding reports whether a meter other than those of seeds responds, and the time
// until one has enough for the last request that it refused.
func (a *Account) responding(now time.Duration) (responding bool, empty time.Duration) {
	used := a.config.MetersUsed(a.limit)
	empty = maxWait
	for _, group := range [][]MeterRef{a.near, a.remote} {
		for _, ref := range group {
			if m := &a.meters[ref.Index]; ref.Choice < used && !m.failed {
				responding, empty = true, min(empty, max(m.emptyUntil-now, 0))
			}
		}
	}
	return responding, empty
}

// refuse decides the first waiting request.
func (a *Account) refuse(r Result) {
	if r.Unreachable {
		a.Counts.Unreachable++
	} else {
		a.Counts.Refused++
	}
	a.decide(r)
}

// decide removes the first waiting request and stores its result.
func (a *Account) decide(result Result) {
	head := a.waiting[0]
	a.waiting = slices.Delete(a.waiting, 0, 1)
	head.Result = result
	head.notify()
}

// RefuseAll refuses every waiting request after an unexpected error.
func (a *Account) RefuseAll() {
	a.askingForRequests, a.askingAhead = false, false
	for i := range a.meters {
		a.meters[i].busy = false
	}
	for len(a.waiting) > 0 {
		a.refuse(Result{Unreachable: true})
	}
}
