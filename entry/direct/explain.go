package direct

import (
	"cmp"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/explain"
)

// metricsHandler serves the metrics address.
func (i *Instance) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", i.metrics.handler())
	mux.Handle("GET "+explain.Path, explain.NewHandler(i.explain))
	return mux
}

// explain returns what the instance would do with a request now. It takes the steps of
// gateway.handle and call.prepareWorker up to the choice of a worker, and changes nothing:
// it counts no demand, begins no trial, takes no quota, sends nothing and logs
// nothing. Sums of what peers reported and learned factors that are due are computed anew, as
// the next request would do.
func (i *Instance) explain(q explain.Query) (explain.Explanation, error) {
	g, e := i.gateway, explain.Explanation{Instance: i.settings.Instance, ConfigVersion: i.gateway.configVersion()}
	table := g.servingTable()
	if table == nil || g.closed.Load() {
		e.Refusal = earlyRefusal(fasthttp.StatusServiceUnavailable, "the instance is starting or stopping", unavailableRetryAfter)
		return e, nil
	}
	organisation, err := organisationNamed(table, q.Organisation)
	if err != nil {
		return e, err
	}
	route := table.Match(q.Host, q.Path)
	if route == nil {
		e.Refusal = earlyRefusal(fasthttp.StatusNotFound, "no route for this host and path", 0)
		return e, nil
	}
	request := &Request{
		ID: cmp.Or(q.RequestID, sampleRequestID(route)), Host: q.Host, Path: q.Path, Model: q.Model, Adapter: q.Adapter, Organisation: organisation,
		PromptTokens: q.PromptTokens, OutputTokens: q.OutputTokens, OutputHint: q.OutputHint, PromptParts: q.PromptParts, PartTokens: q.PartTokens, Wait: q.Wait,
	}
	c := g.routedCall(table, route, request, now())
	c.adapterDemand = g.fleet.demand.recentRequests(c.arrivedAt, request.Adapter) * float64(g.loader.instanceCount())
	describeRequest(&e, c)
	if refusal := g.refuseIdentity(table, route, request); refusal != nil {
		e.Refusal = earlyRefusal(refusal.status, refusal.reason, refusal.retryAfter)
		return e, nil
	}
	i.explainPlacement(&e, c)
	return e, nil
}

// organisationNamed returns the organisation with a name; nil if the name is empty.
func organisationNamed(table *routing.Table, name string) (*routing.Organisation, error) {
	if name == "" {
		return nil, nil //nolint:nilnil // a request without an organisation
	}
	all := table.Config.Organisations
	n := slices.IndexFunc(all, func(o routing.Organisation) bool { return o.Name == name })
	if n < 0 {
		return nil, errors.New("no organisation has this name")
	}
	return &all[n], nil
}

// maxSampleIDs is the number of request IDs among which sampleRequestID searches.
const maxSampleIDs = 1000

// sampleRequestID returns a request ID that selects the service with the highest weight.
func sampleRequestID(route *routing.Route) string {
	if len(route.Targets) < 2 {
		return "explained"
	}
	heaviest := slices.MaxFunc(route.Targets, func(a, b routing.Target) int { return cmp.Compare(a.Weight, b.Weight) })
	id := []byte("explained-000")
	for n := range maxSampleIDs {
		id[10], id[11], id[12] = byte('0'+n/100), byte('0'+n/10%10), byte('0'+n%10)
		if route.Service(string(id)) == heaviest.Service {
			break
		}
	}
	return string(id)
}

// describeRequest adds what does not depend on workers.
func describeRequest(e *explain.Explanation, c *call) {
	e.Route, e.Service, e.Rank, e.Left, e.Demand = c.route.Name, c.service.Name, c.rank(), explain.ToMilliseconds(c.timeLeft()), c.adapterDemand
	if len(c.route.Targets) > 1 {
		for _, t := range c.route.Targets {
			e.Targets = append(e.Targets, explain.Target{Service: t.Service, Weight: t.Weight})
		}
	}
	if o := c.request.Organisation; o != nil {
		e.Organisation = &explain.Organisation{Name: o.Name, Quota: c.describeQuota(o)}
	}
}

// describeQuota returns the quota of an organisation; nil if it has no limit.
func (c *call) describeQuota(o *routing.Organisation) *explain.Quota {
	if o.Rate <= 0 {
		return nil
	}
	tokens := c.request.PromptTokens + c.request.OutputTokens
	described := &explain.Quota{Unit: "requests", RatePerS: o.Rate, Burst: o.Burst, Cost: o.QuotaCost(tokens), Decision: explain.QuotaNotEnforced}
	if o.Unit == routing.QuotaTokens {
		described.Unit = "tokens"
	}
	if c.quota == nil {
		return described
	}
	preview := c.quota.Preview(o, tokens)
	described.Held = &preview.Held
	switch {
	case !preview.Known:
		described.Decision = explain.QuotaUnknown
	case preview.Result.Admitted:
		described.Decision = explain.QuotaAdmitted
	default:
		described.Decision = explain.QuotaRefused
		described.RetryAfter = explain.ToMilliseconds(max(preview.Result.RetryAfter, minRetryAfter))
	}
	return described
}

// explainPlacement adds the candidates, and the worker that would be chosen or why the
// request would be refused. The random term of learned costs is left out.
func (i *Instance) explainPlacement(e *explain.Explanation, c *call) {
	p := c.placement(now())
	p.request.Seed = 0
	choice, refusal := c.choose(p.request, p.candidates)
	if choice.Candidate != nil {
		e.Admission = c.describeAdmission(choice)
	}
	e.ExpectedTokens, e.Candidates = p.request.OutputTokens, i.describeCandidates(c, p)
	switch quarantined, stopping := quarantineFailure(c.guard.preview(c.parts)), c.checkStopping(); {
	case stopping != nil:
		refusal = stopping
	case quarantined != nil:
		refusal = quarantined
	}
	if o := e.Organisation; o != nil && o.Quota != nil && o.Quota.Decision == explain.QuotaRefused {
		e.Refusal = &explain.Refusal{Status: fasthttp.StatusTooManyRequests, Reason: reasonOverQuota, RetryAfter: o.Quota.RetryAfter}
		return
	}
	if refusal != nil {
		e.Refusal = earlyRefusal(fasthttp.StatusServiceUnavailable, refusal.reason, refusal.statedRetryAfter())
		return
	}
	e.Worker = choice.Candidate.ID
	if p.request.Adapter != "" && choice.Candidate.Residency != balance.Resident {
		e.Load = &explain.Load{OrderedBy: i.holderOf(e.Worker), MaxWait: explain.ToMilliseconds(c.loadWaitLimit(choice))}
	}
}

// describeAdmission returns what admission judges of a request at the worker chosen for it.
func (c *call) describeAdmission(choice balance.Choice) *explain.Admission {
	r := c.shareRequest(choice)
	described := &explain.Admission{
		Worker: choice.Candidate.ID, Wait: explain.ToMilliseconds(r.Wait), Contention: explain.ToMilliseconds(r.Contention), Left: explain.ToMilliseconds(r.Left),
		Target: explain.ToMilliseconds(r.Target), TargetLeft: explain.ToMilliseconds(r.TargetLeft), Work: explain.ToMilliseconds(c.expectedWork()),
	}
	if r.HasOrganisation {
		class, ratio := fairshare.ShareClass(r), r.Ratio
		described.ShareRatio, described.ShareClass, described.AboveShare = &ratio, &class, r.AboveShare()
	}
	return described
}

// holderOf returns the control address of the instance that orders a worker, or "".
func (i *Instance) holderOf(id string) string {
	w, known := i.fleet.workers.find(id)
	if !known {
		return ""
	}
	return i.cluster.Holder(rightOf(&w))
}

// describeCandidates returns the candidates in the order of their estimates, those that
// are excluded last.
func (i *Instance) describeCandidates(c *call, p placement) []explain.Candidate {
	evaluations := c.fleet.balance.Evaluate(p.request, p.candidates)
	slices.SortStableFunc(evaluations, func(a, b balance.Evaluation) int {
		if (a.Exclusion == balance.Eligible) != (b.Exclusion == balance.Eligible) {
			return cmp.Compare(a.Exclusion, b.Exclusion)
		}
		return cmp.Compare(a.Score, b.Score)
	})
	described := make([]explain.Candidate, len(evaluations))
	for n, evaluation := range evaluations {
		described[n] = describeCandidate(evaluation, p.request)
		if w, known := i.fleet.workers.find(evaluation.Candidate.ID); known {
			described[n].DataCentre, described[n].OlderEra = w.DataCentre, i.fleet.workers.isFromOlderEra(w.ID)
		}
	}
	return described
}

var residencyNames = map[balance.Residency]string{balance.Absent: "absent", balance.Loading: "loading", balance.Resident: "resident"}

func describeCandidate(evaluation balance.Evaluation, r balance.Request) explain.Candidate {
	w := evaluation.Candidate
	described := explain.Candidate{
		Worker: w.ID, Excluded: evaluation.Exclusion.String(), Estimate: explain.ToMilliseconds(evaluation.Score), Terms: []explain.Term{},
		Wait: explain.ToMilliseconds(evaluation.Wait), PromptFactor: w.PromptFactor, StepFactor: w.StepFactor, LoadFactor: w.LoadFactor, KeptTokens: w.KeptTokens, RemainingTokens: w.RemainingTokens,
		HoldOff: explain.ToMilliseconds(w.HoldOff), Position: evaluation.Position, Running: w.Running, BatchSize: w.BatchSize, WaitingTokens: w.WaitingTokens,
		CacheTokens: w.CacheTokens, CacheCapacity: w.CacheCapacity, FreeSlots: w.FreeSlots, IdleSlots: w.IdleSlots, Pace: w.Pace, Suspect: w.Suspect,
	}
	if r.Adapter != "" {
		described.Residency = residencyNames[w.Residency]
	}
	for term, value := range evaluation.Terms {
		if value != 0 {
			described.Terms = append(described.Terms, explain.Term{Name: balance.Term(term).String(), Time: explain.ToMilliseconds(value)})
		}
	}
	return described
}

func earlyRefusal(status int, reason string, retryAfter time.Duration) *explain.Refusal {
	return &explain.Refusal{Status: status, Reason: reason, RetryAfter: explain.ToMilliseconds(retryAfter)}
}
