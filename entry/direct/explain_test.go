package direct

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/quarantine"
	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/decision"
	"github.com/bulrushwick/bulrushwick/entry/explain"
)

// state returns what the handling of a request may change.
func (i *Instance) state() string {
	f := i.fleet
	text := fmt.Sprintf("%+v %d %+v %+v %+v", *f.demand.adapters, i.gateway.activeRequests.Load(), i.gateway.guard.detector.Update(0), f.residency.observations, f.usage.peers)
	text += fmt.Sprintf(" %d %d", len(f.organisations.outcomes), len(f.costs.model.Speeds.Services()))
	return text + contents(f.demand.budgets) + contents(f.conditions.byWorker) + contents(f.usage.own)
}

// contents returns what the pointers of a map point to, in the order of the keys.
func contents[V any](m map[string]*V) string {
	text := ""
	for _, key := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf(" %s %+v", key, *m[key])
	}
	return text
}

// quarantine puts a part of prompts in quarantine.
func (i *Instance) quarantine(at time.Duration, c quarantine.Config, part string) {
	i.gateway.guard.detector = quarantine.NewDetector(c)
	for n := range c.MinCrashes {
		i.gateway.guard.detector.RecordCrash(at+time.Duration(n)*time.Second, fmt.Sprint(n), quarantine.PartsOf([]string{part}))
	}
}

// TestAnExplanationLeavesTheStateUnchanged guards against an explanation that uses up a
// trial, a repeat or a probe, or that counts as a request.
func TestAnExplanationLeavesTheStateUnchanged(t *testing.T) {
	var log bytes.Buffer
	lines := decision.New(decision.DefaultConfig(), &log, "e0")
	i, err := New(DefaultSettings(), Ports{Codec: lengthCodec{}, Directory: &emptyDirectory{}}, lines)
	require.NoError(t, err)
	route := routing.Route{Name: "r", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}, {Service: "other", Weight: 3}}}
	config := &routing.Config{Version: 1, Routes: []routing.Route{route}, Services: map[string]routing.Service{
		"s": {Name: "s"}, "other": {Name: "other", Engine: &routing.Engine{AdapterSlots: 2, CacheTokens: 9999}},
	}}
	require.True(t, i.fleet.config.install(config, nil))
	for n, id := range []string{"w0", "w1", "w2"} {
		i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
			return r.Put(worker.Worker{ID: id, Service: "other", Slots: 4, Born: 1, Draining: n == 2, Models: []worker.ModelState{{Name: "m"}}}, revision.Decode(uint64(n+1)))
		})
	}
	at := now()
	i.fleet.demand.countRequest(at, "other", "a")
	i.fleet.conditions.recordResult(at, "w0", false)
	i.fleet.conditions.recordResponse(at, "w1", ResponseInfo{HoldOff: time.Minute})
	i.fleet.beginAttempt("w0", &Request{Adapter: "a", PromptTokens: 9}, 0, time.Second)
	i.fleet.residency.observe(at, "w0", "a", true)
	i.quarantine(at, quarantine.DefaultConfig(), "p")
	before := i.state()
	var e explain.Explanation
	for _, q := range []explain.Query{
		{Adapter: "a", Model: "m", PromptTokens: 5}, {Adapter: "b", Model: "m"}, {PromptParts: []string{"p"}}, {Path: "/", Wait: time.Millisecond}, {Model: "m", Adapter: "a"},
	} {
		q.Host, q.Path = "h", "/x"
		e, err = i.explain(q)
		require.NoError(t, err)
		require.Equal(t, "other", e.Service, "the one with the highest weight")
		require.Len(t, e.Candidates, 3)
	}
	require.Equal(t, before, i.state())
	require.Equal(t, "w0", e.Worker)
	require.Equal(t, []string{"", "asked for a pause", "draining"}, []string{e.Candidates[0].Excluded, e.Candidates[1].Excluded, e.Candidates[2].Excluded})
	e, err = i.explain(explain.Query{Host: "h", Path: "/", PromptParts: []string{"p"}})
	require.NoError(t, err)
	require.Equal(t, "a part of the prompt crashes workers", e.Refusal.Reason)
	due := quarantine.DefaultConfig()
	due.TrialAfter = -time.Minute
	i.quarantine(at, due, "p")
	before = i.state()
	e, err = i.explain(explain.Query{Host: "h", Path: "/", PromptParts: []string{"p"}})
	require.NoError(t, err)
	require.Nil(t, e.Refusal, "a trial is due")
	require.Equal(t, before, i.state())
	require.Equal(t, quarantine.Trial, i.gateway.guard.admit(quarantine.PartsOf([]string{"p"})))
	require.NotEqual(t, before, i.state())
	require.NoError(t, lines.Close())
	require.Empty(t, log.String())
}

// An explanation must tell what admission judges: the wait without the cost that only makes
// other workers preferred, and the share of the organisation.
func TestAnExplanationTellsWhatAdmissionJudges(t *testing.T) {
	i, err := New(DefaultSettings(), Ports{Codec: lengthCodec{}, Directory: &emptyDirectory{}}, decision.New(decision.DefaultConfig(), &bytes.Buffer{}, "e0"))
	require.NoError(t, err)
	config := &routing.Config{
		Version: 1, Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Timeout: 3 * time.Second, TargetLatency: time.Second, Targets: []routing.Target{{Service: "s", Weight: 1}}}},
		Services:      map[string]routing.Service{"s": {Name: "s", Engine: &routing.Engine{AdapterSlots: 2, CacheTokens: 99_999, BatchSize: 4}}},
		Organisations: []routing.Organisation{{Name: "heavy", Rate: 9, Burst: 3, Unit: routing.QuotaTokens}, {Name: "light", Rate: 9}},
	}
	require.True(t, i.fleet.config.install(config, nil))
	i.fleet.changeWorkers(func(r *worker.Registry) []worker.Event {
		return r.Put(worker.Worker{ID: "w0", Service: "s", Slots: 4, Born: 1, Models: []worker.ModelState{{Name: "m"}}}, revision.Decode(1))
	})
	table := i.fleet.config.table()
	i.ConfigConfirmed(0)
	i.fleet.organisations.begin(table, &Request{Organisation: &config.Organisations[0]}, 9*time.Second)
	i.fleet.organisations.begin(table, &Request{Organisation: &config.Organisations[1]}, time.Second)
	for range 4 {
		i.fleet.beginAttempt("w0", &Request{PromptTokens: 100}, 0, time.Second)
	}
	for range 5 {
		i.fleet.conditions.recordResult(now(), "w0", false)
	}
	before := i.state()
	ask := func(organisation string) explain.Explanation {
		e, err := i.explain(explain.Query{Host: "h", Path: "/", Model: "m", PromptTokens: 100, Organisation: organisation})
		require.NoError(t, err)
		return e
	}
	heavy, light := ask("heavy"), ask("light")
	require.Equal(t, refusalReasons[fairshare.AboveShare], heavy.Refusal.Reason)
	require.Positive(t, heavy.Refusal.RetryAfter)
	require.True(t, heavy.Admission.AboveShare)
	require.Greater(t, *heavy.Admission.ShareClass, *light.Admission.ShareClass)
	require.Equal(t, &explain.Quota{Unit: "tokens", RatePerS: 9, Burst: 3, Cost: 100, Decision: explain.QuotaNotEnforced}, heavy.Organisation.Quota)
	require.Nil(t, light.Refusal)
	require.Less(t, *light.Admission.ShareRatio, 1.0)
	require.True(t, light.Candidates[0].Suspect)
	suspicion := explain.ToMilliseconds(i.fleet.balance.SuspectCost)
	require.InDelta(t, float64(light.Candidates[0].Estimate-suspicion), float64(light.Admission.Wait), 0.01)
	require.Equal(t, light.Candidates[0].Wait, light.Admission.Wait)
	require.Positive(t, light.Admission.Contention)
	require.Equal(t, before, i.state())
}
