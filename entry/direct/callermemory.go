package direct

import (
	"cmp"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/intake"
)

const megabyte = 1 << 20

// intakeConfig returns the bounds on callers' memory.
func (i *Instance) intakeConfig() intake.Config {
	s := i.settings
	return intake.Config{
		Bytes:         cmp.Or(int64(s.CallerBudgetMB)*megabyte, intake.BudgetOf(s.MemoryLimitMB)),
		Connections:   cmp.Or(s.MaxCallerConnections, intake.ConnectionsOf(s.MemoryLimitMB)),
		BodyTimeout:   s.BodyTimeout.Std(),
		HeaderTimeout: i.callerHeaderTimeout,
	}
}

// callerHeaderTimeout returns the time in which a header must arrive; 0 while no
// configuration is in force.
func (i *Instance) callerHeaderTimeout() time.Duration {
	table := i.fleet.config.table()
	if table == nil {
		return 0
	}
	return table.Config.Limits.HeaderTimeout
}

// readBody reads the body of a routed request, or refuses it. A request whose body is
// being read does not hold up a stop.
func (g *gateway) readBody(ctx *fasthttp.RequestCtx, table *routing.Table, r *Request) bool {
	body, refusal := func() ([]byte, *intake.Refusal) {
		g.activeRequests.Add(-1)
		defer g.activeRequests.Add(1)
		return g.intake.ReadBody(ctx, table.Config.Limits.MaxBodyBytes)
	}()
	if refusal == nil && g.closed.Load() {
		refusal = &intake.Refusal{Status: fasthttp.StatusServiceUnavailable, Reason: "the instance is starting or stopping", RetryAfter: unavailableRetryAfter}
	}
	if refusal != nil {
		ctx.SetConnectionClose() // the rest of the body is not read
		g.refuseEarly(ctx, refusal.Status, refusal.Reason)
		if refusal.RetryAfter > 0 {
			setRetryAfter(ctx, refusal.RetryAfter)
		}
		return false
	}
	if body != nil {
		r.Body = body
	}
	return true
}

// updateMemoryGauges sets the gauges of callers' memory.
func (i *Instance) updateMemoryGauges() {
	state, counts := i.gateway.intake.State(), i.gateway.intake.Counts()
	for name, value := range map[string]float64{
		"caller_budget_bytes":           float64(state.Limit),
		"caller_held_bytes":             float64(state.Held),
		"worker_bodies_most_bytes":      float64(i.fleet.bodies.most()),
		"caller_bodies_arriving":        float64(state.Readers),
		"caller_connections":            float64(state.Connections),
		"caller_bodies_too_long":        float64(counts.TooLong.Load()),
		"caller_bodies_without_room":    float64(counts.NoRoom.Load()),
		"caller_connections_evicted":    float64(counts.Evicted.Load()),
		"caller_connections_over_limit": float64(counts.TooMany.Load()),
		"caller_headers_too_slow":       float64(counts.SlowHeaders.Load()),
	} {
		i.metrics.setGauge(name, value)
	}
}
