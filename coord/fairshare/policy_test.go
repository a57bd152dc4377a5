package fairshare_test

import (
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
