package quota

import (
	"cmp"
	"context"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// Result is the decision on a request.
type Result struct {
	Admitted bool
	// Unreachable is set if a request is not admitted because no meter responds; else
	// it is over the quota.
	Unreachable bool
	// RetryAfter is when to try again, if the request is not admitted.
	RetryAfter time.Duration
}

// Spending is the tokens that a request has taken. The zero value is none.
type Spending struct {
	account *account
	ticket  quota.Ticket
}

// Counts are totals of an organisation at this instance. All but Refused, Unreachable,
// Calls and Failures are in the organisation's unit.
type Counts struct {
	// Held is what can be spent now.
	Held int64
	// Asked and Granted are what was asked of meters and granted by them, Spent is what
	// requests took, and Reserve the part of it that no meter granted.
	Asked, Granted, Spent, Reserve int64
	// Returned is what requests that did not run gave back, ReturnedLate the tokens that
	// expired and were returned to meters.
	Returned, ReturnedLate int64
	// Refused and Unreachable count requests over the quota, and those that were
	// refused because no meter responded.
	Refused, Unreachable int64
	// Calls counts calls to meters, Failures those without a usable response.
	Calls, Failures int64
}

// Client takes quota for the requests of one instance. It is safe for concurrent use.
type Client struct {
	config Config
	finder *meterFinder
	// instances returns the number of instances over all clusters.
	instances   func() int
	reportPanic recovery.Reporter
	reportError func(organisation string, err error)

	mu       sync.RWMutex
	accounts map[string]*account
}

// NewClient returns a client. local runs the meters of this instance. reportError is
// called with the error of each call that fails.
func NewClient(config Config, peers Peers, local *Server, instances func() int, reportPanic recovery.Reporter, reportError func(organisation string, err error)) *Client {
	return &Client{
		config: config, finder: newMeterFinder(config, peers, local), instances: instances, reportPanic: reportPanic, reportError: reportError,
		accounts: make(map[string]*account),
	}
}

// LimitOf returns the limit of an organisation, and false if it has none.
func LimitOf(o *routing.Organisation) (quota.Limit, bool) {
	if o == nil || o.Rate <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: o.Rate, Burst: o.Burst}, true
}

// Take takes what a request with a number of tokens, or 0 if unknown, counts against the
// quota of its organisation, which may be nil. Requests without a limit are admitted
// without a call. The call returns within limit, if that is above zero.
func (c *Client) Take(ctx context.Context, o *routing.Organisation, tokens int, limit time.Duration) (Spending, Result) {
	quotaLimit, limited := LimitOf(o)
	if c == nil || !limited {
		return Spending{}, Result{Admitted: true}
	}
	need := int64(math.Ceil(o.QuotaCost(tokens)))
	if need <= 0 {
		return Spending{}, Result{Admitted: true}
	}
	a := c.account(o.Name)
	now := c.config.Now()
	a.mu.Lock()
	a.limit = quotaLimit
	a.pool.RecordDemand(now, need)
	if len(a.waiting) == 0 {
		if ticket, ok := a.pool.Spend(now, need); ok {
			a.counts.Spent += need
			c.startAsking(a, now)
			a.mu.Unlock()
			return Spending{a, ticket}, Result{Admitted: true}
		}
	}
	w := &waiter{need: need, done: make(chan outcome, 1)}
	a.waiting = append(a.waiting, w)
	c.startAsking(a, now)
	a.mu.Unlock()
	return c.await(ctx, a, w, limit)
}

// await waits for the result of a request.
func (c *Client) await(ctx context.Context, a *account, w *waiter, limit time.Duration) (Spending, Result) {
	select {
	case o := <-w.done:
		return Spending{a, o.ticket}, o.result
	default: // it takes a call
	}
	if limit <= 0 || limit > maxTakeWait {
		limit = maxTakeWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case o := <-w.done:
		return Spending{a, o.ticket}, o.result
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.abandon(w) {
		a.counts.Unreachable++
		return Spending{}, Result{Unreachable: true, RetryAfter: spread(0)}
	}
	o := <-w.done
	return Spending{a, o.ticket}, o.result
}

// account returns the account of an organisation.
func (c *Client) account(name string) *account {
	c.mu.RLock()
	a := c.accounts[name]
	c.mu.RUnlock()
	if a != nil {
		return a
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if a = c.accounts[name]; a == nil {
		a = &account{name: name, order: c.finder.order(name), pool: quota.NewPool(c.config.Bound), meters: make([]meterState, len(c.finder.meters))}
		c.accounts[name] = a
	}
	return a
}

// startAsking resolves what it can and starts a goroutine for the calls that are needed.
// a.mu must be held.
func (c *Client) startAsking(a *account, now time.Duration) {
	if a.asking {
		return
	}
	next, needed := a.settle(c, now)
	if !needed {
		return
	}
	a.asking = true
	go func() {
		if recovery.Run(c.reportPanic, "quota", func() { c.askUntilSettled(a, next) }) {
			c.stopAsking(a)
		}
	}()
}

// askUntilSettled asks meters until the account needs no call. Only one call of an
// account is in progress at a time; requests that arrive meanwhile share its response.
func (c *Client) askUntilSettled(a *account, next ask) {
	for needed := true; needed; {
		sentAt := c.config.Now()
		response, err := c.finder.take(context.Background(), next.meter, []*clusterpb.QuotaAsk{
			{Organisation: a.name, Amount: uint64(next.amount), Least: uint64(next.least), Returned: uint64(next.returned)},
		})
		if err != nil {
			c.reportError(a.name, err)
		}
		next, needed = c.applyResponse(a, sentAt, next, response)
	}
}

// applyResponse applies the response to an ask, which is nil if there was none, and
// returns the next ask, or false if none is needed.
func (c *Client) applyResponse(a *account, sentAt time.Duration, sent ask, response *clusterpb.TakeQuotaResponse) (ask, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := c.config.Now()
	a.counts.Calls++
	a.counts.Asked += sent.amount
	a.counts.ReturnedLate += sent.returned
	if grants := response.GetGrants(); len(grants) == 1 && !grants[0].GetUnknown() {
		a.applyGrant(now, sentAt, sent, boundedAmount(grants[0].GetGranted()), time.Duration(grants[0].GetWaitNs()))
	} else {
		a.counts.Failures++
		a.applyFailure(now, sent.meter)
	}
	next, needed := a.settle(c, now)
	a.asking = needed
	return next, needed
}

// stopAsking refuses what waits after a panic.
func (c *Client) stopAsking(a *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asking = false
	for len(a.waiting) > 0 {
		a.refuse(Result{Unreachable: true, RetryAfter: spread(0)})
	}
}

// Return takes back the tokens of a request that has not run and never will.
func (c *Client) Return(s Spending) {
	if c == nil || s.account == nil {
		return
	}
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	s.account.counts.Returned += s.ticket.Amount()
	s.account.pool.Restore(c.config.Now(), s.ticket)
}

// Expired reports whether the tokens of a request have expired, so that it may not start
// any more.
func (c *Client) Expired(s Spending) bool {
	return c != nil && s.account != nil && c.config.Now() >= s.ticket.Expires()
}

// Counts calls f with the totals of each organisation that had requests.
func (c *Client) Counts(f func(organisation string, counts Counts)) {
	for _, a := range c.all() {
		a.mu.Lock()
		counts := a.total(c.config.Now())
		a.mu.Unlock()
		f(a.name, counts)
	}
}

// Changed calls f with the totals of each organisation that had requests since the last
// call.
func (c *Client) Changed(f func(organisation string, counts Counts)) {
	for _, a := range c.all() {
		a.mu.Lock()
		counts, changed := a.total(c.config.Now()), a.counts != a.reported
		a.reported = a.counts
		a.mu.Unlock()
		if changed {
			f(a.name, counts)
		}
	}
}

func (c *Client) all() []*account {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return slices.SortedFunc(maps.Values(c.accounts), func(a, b *account) int { return cmp.Compare(a.name, b.name) })
}
