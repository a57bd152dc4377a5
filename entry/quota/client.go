package quota

import (
	"cmp"
	"context"
	"maps"
	"math"
	"math/rand/v2"
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

// Counts are the totals of an organisation at this instance.
type Counts struct {
	quota.Counts
	// Held is what can be spent now.
	Held int64
}

// account is the state of one organisation.
type account struct {
	name string
	mu   sync.Mutex
	*quota.Account
	// reported is the totals as of the last call of Client.Changed.
	reported quota.Counts
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
// called with the errors of calls, at most once a second for each meter.
func NewClient(config Config, peers Peers, local *Server, instances func() int, reportPanic recovery.Reporter, reportError func(organisation string, err error)) *Client {
	return &Client{
		config: config, finder: newMeterFinder(config, peers, local, reportPanic), instances: instances, reportPanic: reportPanic, reportError: reportError,
		accounts: make(map[string]*account),
	}
}

// SetSeeds changes the seeds.
func (c *Client) SetSeeds(seeds []string) { c.finder.setSeeds(seeds) }

// LimitOf returns the limit of an organisation, and false if it has none.
func LimitOf(o *routing.Organisation) (quota.Limit, bool) {
	if o == nil || o.Rate <= 0 {
		return quota.Limit{}, false
	}
	limit := quota.Limit{Rate: o.Rate, Burst: o.Burst, Largest: 1}
	if o.Unit == routing.QuotaTokens {
		limit.Largest = largestTokens
	}
	return limit, true
}

// largestTokens is the number of tokens that most requests don't exceed.
const largestTokens = 8000

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
	a.mu.Lock()
	now := c.config.Now()
	a.SetLimit(quotaLimit)
	ticket, ok := a.Take(now, need)
	if ok {
		c.sendAsks(a, now)
		a.mu.Unlock()
		return Spending{a, ticket}, Result{Admitted: true}
	}
	decided := make(chan struct{})
	request := a.Wait(need, func() { close(decided) })
	c.sendAsks(a, now)
	a.mu.Unlock()
	return c.await(ctx, a, request, decided, limit)
}

// await waits for the decision on a request.
func (c *Client) await(ctx context.Context, a *account, request *quota.Request, decided <-chan struct{}, limit time.Duration) (Spending, Result) {
	if limit <= 0 || limit > maxTakeWait {
		limit = maxTakeWait
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-decided:
	case <-ctx.Done():
	case <-timer.C:
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.Abandon(request) {
		return Spending{}, Result{Unreachable: true, RetryAfter: spread(0)}
	}
	r := request.Result
	if r.Admitted {
		return Spending{a, r.Ticket}, Result{Admitted: true}
	}
	return Spending{}, Result{Unreachable: r.Unreachable, RetryAfter: spread(r.RetryAfter)}
}

// Bounds of the random extension of a Retry-After.
const (
	// spreadShare is the largest extension as a fraction of the wait, and minSpread the
	// least range of the extension.
	spreadShare = 0.5
	minSpread   = 100 * time.Millisecond
)

// spread extends a wait at random, so that callers that were refused together do not
// return together.
func spread(wait time.Duration) time.Duration {
	extension := max(time.Duration(spreadShare*float64(wait)), minSpread)
	return wait + time.Duration(rand.Int64N(int64(extension)))
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
		a = &account{name: name, Account: quota.NewAccount(c.config.Bound, c.finder.refs(name), rand.IntN(MetersPerCluster))}
		c.accounts[name] = a
	}
	return a
}

// sendAsks starts a goroutine for each ask that an account needs. a.mu must be held.
func (c *Client) sendAsks(a *account, now time.Duration) {
	for {
		ask, needed := a.Next(now, c.instances())
		if !needed {
			return
		}
		go func() {
			if recovery.Run(c.reportPanic, "quota", func() { c.sendAsk(a, ask) }) {
				a.mu.Lock()
				defer a.mu.Unlock()
				a.RefuseAll()
			}
		}()
	}
}

// sendAsk asks a meter and applies the response.
func (c *Client) sendAsk(a *account, ask quota.ToSend) {
	response, err := c.finder.take(context.Background(), ask.Meter, a.name, []*clusterpb.QuotaAsk{
		{Organisation: a.name, Amount: uint64(ask.Amount), Least: uint64(ask.Least), Returned: uint64(ask.Returned)},
	})
	if err != nil && c.finder.mayReport(ask.Meter) {
		c.reportError(a.name, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := c.config.Now()
	if grants := response.GetGrants(); len(grants) == 1 && !grants[0].GetUnknown() {
		a.HandleGrant(now, ask, quota.Grant{Granted: boundedAmount(grants[0].GetGranted()), Wait: time.Duration(grants[0].GetWaitNs())})
	} else {
		a.HandleFailure(now, ask)
	}
	c.sendAsks(a, now)
}

// Return takes back the tokens of a request that has not run and never will.
func (c *Client) Return(s Spending) {
	if c == nil || s.account == nil {
		return
	}
	s.account.mu.Lock()
	defer s.account.mu.Unlock()
	s.account.Restore(c.config.Now(), s.ticket)
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
		counts := Counts{a.Counts, a.Held(c.config.Now())}
		a.mu.Unlock()
		f(a.name, counts)
	}
}

// Changed calls f with the totals of each organisation that had requests since the last
// call.
func (c *Client) Changed(f func(organisation string, counts Counts)) {
	for _, a := range c.all() {
		a.mu.Lock()
		counts := Counts{a.Counts, a.Held(c.config.Now())}
		changed := counts.Counts != a.reported
		a.reported = counts.Counts
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
