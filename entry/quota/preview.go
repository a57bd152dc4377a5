package quota

import (
	"math"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/coord/routing"
)

// Preview is how Client.Take would decide on a request.
type Preview struct {
	// Held is what this instance can spend without a call to a meter.
	Held int64
	// Known is set if Result is known without a call. RetryAfter is one value of its
	// random range.
	Known  bool
	Result Result
}

// Preview returns how Take would decide on a request now. It calls no meter, takes nothing
// and counts no demand.
func (c *Client) Preview(o *routing.Organisation, tokens int) Preview {
	limit, limited := LimitOf(o)
	if c == nil || !limited {
		return Preview{Known: true, Result: Result{Admitted: true}}
	}
	need := int64(math.Ceil(o.QuotaCost(tokens)))
	if need <= 0 {
		return Preview{Known: true, Result: Result{Admitted: true}}
	}
	c.mu.RLock()
	a := c.accounts[o.Name]
	c.mu.RUnlock()
	if a == nil { // the organisation had no request here
		a = &account{Account: quota.NewAccount(c.config.Bound, c.finder.refs(o.Name), 0)}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := c.config.Now()
	result, known := a.Preview(now, limit, need)
	p := Preview{Held: a.Held(now), Known: known, Result: Result{Admitted: result.Admitted}}
	if known && !result.Admitted {
		p.Result.RetryAfter = spread(result.RetryAfter)
	}
	return p
}
