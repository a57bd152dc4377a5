package direct

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/routing"
)

// newTestCall returns a call that has the given time left.
func newTestCall(left time.Duration) *call {
	g := &gateway{fleet: newFleet(Settings{}), admission: defaultAdmission()}
	return &call{gateway: g, request: &Request{}, route: &routing.Route{TargetLatency: left}, arrivedAt: now(), deadline: now() + left}
}

// The cost that makes other workers preferred to suspect ones was taken for a wait, so
// that requests were refused while every worker of their service was idle.
func TestIdleSuspectsAreNotAReasonToRefuse(t *testing.T) {
	c := newTestCall(400 * time.Millisecond)
	idle := []balance.Candidate{{ID: "a", Usable: true, Suspect: true}, {ID: "b", Usable: true, Suspect: true}}
	choice, refusal := c.choose(balance.Request{}, idle)
	if refusal != nil {
		t.Fatalf("refused with %q, though both workers are idle", refusal.reason)
	}
	if choice.Candidate == nil || choice.Candidate.ID == "" {
		t.Fatal("no worker was chosen")
	}
}

// An idle suspect is better than a worker that would answer too late.
func TestASuspectTakesWhatOthersWouldAnswerTooLate(t *testing.T) {
	c := newTestCall(400 * time.Millisecond)
	candidates := []balance.Candidate{
		{ID: "full", Usable: true, BatchSize: 8, Running: 12},
		{ID: "suspect", Usable: true, BatchSize: 8, Suspect: true},
	}
	choice, refusal := c.choose(balance.Request{}, candidates)
	if refusal != nil || choice.Candidate.ID != "suspect" {
		t.Fatalf("got %+v, %+v", choice, refusal)
	}
}

// Where no worker can begin in time the request is still refused at once.
func TestARequestThatNoWorkerCanServeInTimeIsRefused(t *testing.T) {
	c := newTestCall(400 * time.Millisecond)
	if _, refusal := c.choose(balance.Request{}, []balance.Candidate{{ID: "full", Usable: true, BatchSize: 8, Running: 12, Suspect: true}}); refusal == nil {
		t.Fatal("not refused")
	}
}

var (
	emptyChoice = balance.Choice{}
	busyChoice  = balance.Choice{Wait: 700 * time.Millisecond, Contention: 650 * time.Millisecond}
)

// formerRefusal is the admission from before requests had organisations.
func formerRefusal(choice balance.Choice, timeLeft time.Duration) *failure {
	if choice.Estimate <= time.Duration(0.8*float64(timeLeft)) {
		return nil
	}
	return &failure{reason: "the estimated wait exceeds the time left", retryAfter: min(choice.Estimate/2, timeLeft/3)}
}

// Where a configuration has no organisations, a less urgent rank must not yield, and what was
// refused before must not have another Retry-After. Rejections of an urgent rank come first.
// Suspect workers are left out: for these admission differs on purpose.
func TestWithoutOrganisationsAdmissionIsAsBefore(t *testing.T) {
	const margin = 200 * time.Millisecond // the clock goes on between the two results
	random := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		left := time.Duration(500+random.IntN(4500)) * time.Millisecond
		c := newTestCall(left)
		c.fleet.config.install(tableOf().Config, nil)
		for range random.IntN(10) {
			c.recordOutcome(&failure{scarce: true})
		}
		c.route.Rank = random.IntN(4)
		for range random.IntN(10) {
			c.recordOutcome(nil)
		}
		var candidates []balance.Candidate
		for i := range 1 + random.IntN(5) {
			candidates = append(candidates, balance.Candidate{
				ID: strconv.Itoa(i), Usable: true, Running: random.IntN(12), BatchSize: 8, CacheCapacity: 12_000,
				WaitingTokens: random.IntN(60_000), CacheTokens: random.IntN(9000),
			})
		}
		request := balance.Request{Tokens: random.IntN(9000)}
		former, _ := c.fleet.balance.Pick(request, candidates)
		if limit := time.Duration(0.8 * float64(left)); former.Estimate > limit-margin && former.Estimate <= limit {
			continue
		}
		before := formerRefusal(former, left)
		choice, refusal := c.choose(request, candidates)
		require.Same(t, former.Candidate, choice.Candidate)
		require.Equal(t, before == nil, refusal == nil)
		if refusal != nil {
			require.Equal(t, before.reason, refusal.reason)
			require.InDelta(t, before.retryAfter, refusal.retryAfter, float64(margin))
		}
	}
}

// TestAnOrganisationAboveItsShareUsesIdleWorkers guards against refusals while workers are
// idle: the worker with the adapter is busy, and the adapter can be loaded elsewhere.
func TestAnOrganisationAboveItsShareUsesIdleWorkers(t *testing.T) {
	candidates := []balance.Candidate{
		{ID: "busy", Usable: true, Orderable: true, InScope: true, BatchSize: 64, Running: 20, WaitingTokens: 7200, CacheCapacity: 148000, Residency: balance.Resident},
		{ID: "idle", Usable: true, BatchSize: 64, CacheCapacity: 148000, FreeSlots: 3, Orderable: true, InScope: true},
	}
	request := balance.Request{Tokens: 2400}
	config := balance.DefaultConfig()
	var preferred balance.Choice
	for _, request.Adapter = range []string{"a", "b", "c", "d", "e"} { // one whose preferred worker is the busy one
		if preferred, _ = config.Pick(request, candidates); preferred.Candidate.ID == "busy" {
			break
		}
	}
	require.Equal(t, "busy", preferred.Candidate.ID)
	c := newTestCall(4 * time.Second)
	c.route.TargetLatency = time.Second
	c.fleet.config.install(tableOf("flood", "a", "b", "c").Config, nil)
	table := c.fleet.config.table()
	for name, work := range map[string]time.Duration{"flood": 30 * time.Second, "a": time.Second, "b": time.Second, "c": time.Second} {
		c.fleet.organisations.begin(table, &Request{Organisation: &routing.Organisation{Name: name}}, work)
	}
	c.request.Organisation = &routing.Organisation{Name: "flood"}
	require.NotNil(t, c.admission.refuse(c, preferred), "it is above its share, and the worker is busy")
	choice, refusal := c.choose(request, candidates)
	require.Nil(t, refusal)
	require.Equal(t, "idle", choice.Candidate.ID)
	require.Less(t, choice.Wait, time.Second, "that its preferred worker is another one is no wait")
}

// TestWaitingForAnAdapterTakesNoConnection guards against workers that are excluded as if
// their connections were used, while requests only wait there for an adapter.
func TestWaitingForAnAdapterTakesNoConnection(t *testing.T) {
	u := newUsage()
	waiting := u.begin("w", "a", 10, 20, 0, func() {})
	waiting.waitsForAdapter()
	require.Equal(t, 1, u.own["w"].running)
	require.Equal(t, 1, u.own["w"].withoutConnection)
	waiting.end()
	waiting.end()
	require.Zero(t, u.own["w"].running)
	require.Zero(t, u.own["w"].withoutConnection)
}
