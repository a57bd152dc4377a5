package fairshare_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bulrushwick/bulrushwick/coord/fairshare"
	"github.com/bulrushwick/bulrushwick/coord/routing"
)

// drawRequest draws a request that is not too late.
func drawRequest(t *rapid.T) fairshare.Request {
	r := fairshare.Request{
		HasOrganisation: true, Ratio: rapid.Float64Range(0, 50).Draw(t, "ratio"), Rank: rapid.IntRange(0, 4).Draw(t, "rank"),
		Wait: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "wait")), Target: 2 * time.Second,
		Left: 10 * time.Second, FullTime: 10 * time.Second, TargetLeft: time.Duration(rapid.Int64Range(-int64(time.Second), int64(2*time.Second)).Draw(t, "left")),
	}
	r.Contention = time.Duration(rapid.Int64Range(0, int64(r.Wait)).Draw(t, "contention"))
	return r
}

// A request of an organisation within its share must not be rejected for the use of others,
// one without contention must not be rejected at all, and lower use must not turn an
// admission into a rejection, or no organisation could get out of it.
func TestOnlyUseAboveTheShareIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, r := fairshare.DefaultPolicy(), drawRequest(t)
		verdict := policy.Decide(0, r, &fairshare.Outcomes{})
		if verdict != fairshare.Admitted && (!r.AboveShare() || r.Contention == 0) {
			t.Fatalf("%+v got %d", r, verdict)
		}
		lower := r
		lower.Ratio = rapid.Float64Range(0, r.Ratio).Draw(t, "lower")
		if verdict == fairshare.Admitted && policy.Decide(0, lower, &fairshare.Outcomes{}) != fairshare.Admitted {
			t.Fatalf("%+v is rejected with a ratio of %v", r, lower.Ratio)
		}
		started := r
		started.Started = true
		if policy.Decide(0, started, &fairshare.Outcomes{}) != fairshare.Admitted {
			t.Fatalf("a request that was sent before is rejected: %+v", started)
		}
	})
}

// A Retry-After of 0 lets callers return at once and be rejected again; one that is much too
// long loses the request.
func TestRetryAfterIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy, r := fairshare.DefaultPolicy(), drawRequest(t)
		verdict := fairshare.Verdict(rapid.IntRange(1, 3).Draw(t, "verdict"))
		after := policy.RetryAfter(r, verdict, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if after < 50*time.Millisecond || after > 12500*time.Millisecond {
			t.Fatalf("%v for %+v", after, r)
		}
	})
}

// Priorities of ranks must not overlap, or a flood of one rank would delay a more urgent one.
func TestEnginePrioritiesOfRanksDoNotOverlap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, other := drawRequest(t), drawRequest(t)
		if r.Rank < other.Rank && other.Rank <= 2 && fairshare.EnginePriority(r) >= fairshare.EnginePriority(other) {
			t.Fatalf("%+v is not before %+v", r, other)
		}
		if p := fairshare.EnginePriority(r); p < 0 || p > 9 {
			t.Fatalf("priority %d", p)
		}
	})
}

// Quotas in requests and in tokens were compared by their bare numbers, so that an
// organisation with a quota in requests had almost no weight.
func TestWeightsOfBothUnitsCompare(t *testing.T) {
	weights := fairshare.Weights([]routing.Organisation{
		{Name: "requests", Rate: 10}, {Name: "tokens", Unit: routing.QuotaTokens, Rate: 10_000}, {Name: "none"},
	})
	if weights["requests"] != 1 || weights["tokens"] != 1 || weights["none"] != 0 {
		t.Fatal(weights)
	}
}

// One request far larger than the usual must not keep a small organisation out for long.
func TestALargeRequestIsForgottenWithinSeconds(t *testing.T) {
	ledger := fairshare.NewLedger()
	ratio := func(at time.Duration) float64 {
		uses := ledger.Uses(at)
		uses["others"] = fairshare.Use{Recent: 10 * time.Second}
		return fairshare.NewShares(uses, nil).Ratio("small")
	}
	large := fairshare.Work(100_000, 4000, 64)
	ledger.Begin(0, "small", 10*large)
	if ratio(0) <= 1.25 {
		t.Fatal("the request does not count")
	}
	ledger.End("small", 10*large)
	if got := ratio(5 * time.Second); got > 1.25 {
		t.Fatalf("still at %v times its share", got)
	}
}

// Where a configuration has no organisations the rules for them must not change which
// requests are admitted, nor their place in an engine's queue: a less urgent rank yielded
// there as well. The expected results are the rules from before this package.
func TestWithoutOrganisationsOnlyTheWaitDecides(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	upTo := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit))) }
	policy := fairshare.DefaultPolicy()
	for range 20_000 {
		r := fairshare.Request{
			Ratio: random.Float64() * 10, Rank: random.IntN(6) - 1, Wait: upTo(5 * time.Second), Left: upTo(7*time.Second) - time.Second,
			FullTime: 6 * time.Second, Target: upTo(3 * time.Second), TargetLeft: upTo(3*time.Second) - time.Second, Started: random.IntN(4) == 0,
		}
		r.Contention = time.Duration(random.Float64() * float64(r.Wait))
		outcomes := &fairshare.Outcomes{}
		for range random.IntN(40) {
			outcomes.Record(0, random.IntN(4), random.IntN(2) == 0)
		}
		want := fairshare.Admitted
		if r.Wait > time.Duration(0.8*float64(r.Left)) {
			want = fairshare.TooLate
		}
		if got := policy.Decide(0, r, outcomes); got != want {
			t.Fatalf("%+v got %d, before %d", r, got, want)
		}
		if got, before := fairshare.EnginePriority(r), min(r.Rank, 2)*3+1; got != before {
			t.Fatalf("rank %d has priority %d, before %d", r.Rank, got, before)
		}
		if class, wait := fairshare.ShareClass(r), policy.LoadWait(r, r.Wait, time.Second); class != 0 || wait != r.Wait {
			t.Fatalf("%+v has class %d and waits %v", r, class, wait)
		}
	}
}
