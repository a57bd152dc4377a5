package direct

import (
	"github.com/valyala/fasthttp"

	limits "github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/quota"
)

// enforcesQuotas reports whether quotas are enforced.
func (s Settings) enforcesQuotas() bool { return s.QuotaWindow > 0 }

// quotaRights returns the names of the rights to run quota meters; none if quotas are
// not enforced.
func (s Settings) quotaRights() []string {
	if !s.enforcesQuotas() {
		return nil
	}
	return quota.Rights()
}

// startQuota sets up quotas if they are enforced.
func (i *Instance) startQuota() {
	s := i.settings
	if !s.enforcesQuotas() {
		return
	}
	config := quota.Config{
		Bound: limits.Config{
			Window: s.QuotaWindow.Std(), Overage: s.QuotaOverage, Slack: s.QuotaSlack,
			Clusters: s.clusterCount(), MetersPerCluster: quota.MetersPerCluster,
		},
		Address: s.ControlAddress, Region: s.Region, Regions: s.clusterRegions(), Seeds: s.Seeds, TurnGap: s.OrderTurnGap.Std(), Now: now,
	}
	i.quotaServer = quota.NewServer(config, i.cluster, i.quotaLimit, i.gateway.configVersion)
	i.gateway.quota = quota.NewClient(config, i.cluster, i.quotaServer, i.instanceCount, i.gateway.reportPanic, func(organisation string, err error) {
		i.log.Warn(decision.QuotaCallFailed, err).Str(decision.FieldOrganisation, organisation).Send()
	})
}

// setQuotaSeeds changes the seeds that run a reserve meter.
func (i *Instance) setQuotaSeeds(seeds []string) {
	if i.quotaServer == nil {
		return
	}
	i.quotaServer.SetSeeds(seeds)
	i.gateway.quota.SetSeeds(seeds)
}

// quotaLimit returns the limit of an organisation in the configuration in force.
func (i *Instance) quotaLimit(organisation string) (limits.Limit, bool) {
	table := i.fleet.config.table()
	if table == nil {
		return limits.Limit{}, false
	}
	for n := range table.Config.Organisations {
		if o := &table.Config.Organisations[n]; o.Name == organisation {
			return quota.LimitOf(o)
		}
	}
	return limits.Limit{}, false
}

// TakeQuota implements cluster.Local.
func (i *Instance) TakeQuota(in *clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	if i.quotaServer == nil {
		return &clusterpb.TakeQuotaResponse{NotHeld: true}
	}
	return i.quotaServer.Take(in)
}

// Reasons of refusals by quota.
const (
	reasonOverQuota        = "the organisation is over its quota"
	reasonQuotaUnreachable = "no instance that counts the organisation's quota responds"
)

// takeQuota takes what a request counts against the quota of its organisation. It sends
// the response of a request that is not admitted and returns false.
func (g *gateway) takeQuota(ctx *fasthttp.RequestCtx, route *routing.Route, r *Request) (quota.Spending, bool) {
	spending, result := g.quota.Take(g.baseContext, r.Organisation, r.PromptTokens+r.OutputTokens, waitLimit(route, r))
	if result.Admitted {
		return spending, true
	}
	defer g.activeRequests.Add(-1)
	status, reason := fasthttp.StatusTooManyRequests, quotaReason(result)
	if result.Unreachable {
		status = fasthttp.StatusServiceUnavailable
	}
	g.metrics.countRefusal(reason)
	g.log.Line(decision.Refused).Str(decision.FieldRequest, r.ID).Str(decision.FieldRoute, route.Name).Str(decision.FieldOrganisation, r.Organisation.Name).
		Int(decision.FieldStatus, status).Str(decision.FieldReason, reason).Dur(decision.FieldRetryAfterMS, result.RetryAfter).Uint64(decision.FieldConfig, g.configVersion()).Send()
	setRetryAfter(ctx, max(result.RetryAfter, minRetryAfter))
	ctx.SetStatusCode(status)
	ctx.SetBodyString(reason + "\n")
	return spending, false
}

// quotaReason returns the reason of a refusal.
func quotaReason(r quota.Result) string {
	if r.Unreachable {
		return reasonQuotaUnreachable
	}
	return reasonOverQuota
}

// renewQuota takes quota again if the request waited for its worker for so long that
// what it had taken expired. It returns a failure if there is none.
func (c *call) renewQuota() *failure {
	if c.mayHaveRun || c.resuming || !c.quota.Expired(c.spending) {
		return nil
	}
	c.quota.Return(c.spending)
	var result quota.Result
	c.spending, result = c.quota.Take(c.ctx, c.request.Organisation, c.request.PromptTokens+c.request.OutputTokens, c.timeLeft())
	if result.Admitted {
		return nil
	}
	return &failure{reason: quotaReason(result), retryAfter: result.RetryAfter}
}

// updateQuotaMetrics updates the metrics of quotas, and starts the meters whose right
// this instance has acquired.
func (i *Instance) updateQuotaMetrics() {
	if i.quotaServer == nil {
		return
	}
	i.quotaServer.Refresh()
	i.gateway.quota.Counts(func(organisation string, counts quota.Counts) {
		scope := i.metrics.tagged("organisation", organisation)
		for name, value := range map[string]int64{
			"quota_held": counts.Held, "quota_asked": counts.Asked, "quota_granted": counts.Granted, "quota_spent": counts.Spent,
			"quota_reserve": counts.Reserve, "quota_returned": counts.Returned, "quota_returned_late": counts.ReturnedLate,
			"quota_refused": counts.Refused, "quota_unreachable": counts.Unreachable, "quota_calls": counts.Calls, "quota_failures": counts.Failures,
		} {
			scope.Gauge(name).Update(float64(value))
		}
	})
	i.eachQuotaLevel(func(right, organisation string, level float64) {
		i.metrics.scope.Tagged(map[string]string{"right": right, "organisation": organisation}).Gauge("quota_meter_level").Update(level)
	})
}

// eachQuotaLevel calls f with the level of each bucket of the meters that run here.
func (i *Instance) eachQuotaLevel(f func(right, organisation string, level float64)) {
	table := i.fleet.config.table()
	if table == nil {
		return
	}
	names := make([]string, len(table.Config.Organisations))
	for n := range names {
		names[n] = table.Config.Organisations[n].Name
	}
	i.quotaServer.Levels(names, f)
}

// logQuota writes a line for each organisation whose quota was used since the last call,
// and one for each bucket of the meters that run here.
func (i *Instance) logQuota() {
	if i.quotaServer == nil {
		return
	}
	i.gateway.quota.Changed(func(organisation string, counts quota.Counts) {
		i.log.Line(decision.QuotaUsed).Str(decision.FieldOrganisation, organisation).Int64(decision.FieldQuotaHeld, counts.Held).
			Int64(decision.FieldQuotaAsked, counts.Asked).Int64(decision.FieldQuotaGranted, counts.Granted).Int64(decision.FieldQuotaSpent, counts.Spent).
			Int64(decision.FieldQuotaReserve, counts.Reserve).Int64(decision.FieldQuotaReturned, counts.Returned).Int64(decision.FieldQuotaReturnedLate, counts.ReturnedLate).
			Int64(decision.FieldQuotaRefused, counts.Refused).Int64(decision.FieldQuotaUnreachable, counts.Unreachable).
			Int64(decision.FieldQuotaCalls, counts.Calls).Int64(decision.FieldQuotaFailures, counts.Failures).Send()
	})
	i.eachQuotaLevel(func(right, organisation string, level float64) {
		i.log.Line(decision.QuotaMeter).Str(decision.FieldRight, right).Str(decision.FieldOrganisation, organisation).Int64(decision.FieldQuotaLevel, int64(level)).Send()
	})
}
