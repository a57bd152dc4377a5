package attempt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// lastAttemptRule is a broken retry rule that considers only the last attempt.
// It reports NotRun although an earlier attempt may have run.
type lastAttemptRule struct {
	idempotent bool
	attempt    int
}

func (l *lastAttemptRule) Step(_ time.Duration, event LifecycleEvent) []LifecycleAction {
	e, failed := event.(Failed)
	if _, started := event.(Started); started || failed && l.attempt < 3 && e.Failure.MayRetry(l.idempotent) {
		l.attempt++
		return []LifecycleAction{Try{Attempt: l.attempt}}
	}
	if failed {
		return []LifecycleAction{Report{Outcome: e.Failure.Outcome()}}
	}
	return []LifecycleAction{Report{Outcome: Served}}
}

// alwaysRetryRule is a broken retry rule that retries even if the endpoint may
// have received the request.
type alwaysRetryRule struct{ attempt int }

func (l *alwaysRetryRule) Step(_ time.Duration, event LifecycleEvent) []LifecycleAction {
	if _, ended := event.(Completed); ended {
		return []LifecycleAction{Report{Outcome: Served}}
	}
	if l.attempt == 3 {
		return []LifecycleAction{Report{Outcome: Unknown}}
	}
	l.attempt++
	return []LifecycleAction{Try{Attempt: l.attempt}}
}

type stepper interface {
	Step(now time.Duration, event LifecycleEvent) []LifecycleAction
}

// lifecycleViolation feeds random events to a state machine and returns the first
// invariant that it violates, or "".
func lifecycleViolation(t *rapid.T, idempotent bool, life stepper) string {
	ran := 0      // attempts that an endpoint ran
	passed := 0   // events that the caller has
	attempt := 0  // the current attempt
	finished := 0 // number of Report and Abort actions
	actions := life.Step(0, Started{})
	for now := time.Duration(0); now < 20; now++ {
		for _, action := range actions {
			switch a := action.(type) {
			case Try:
				attempt = a.Attempt
				if ran > 0 && !idempotent {
					return "a further attempt after one that ran"
				}
				if a.Offset != passed && a.Offset != 0 {
					return "resumed at another offset"
				}
			case Report:
				finished++
				if a.Outcome == NotRun && ran > 0 {
					return "not-run, but it ran"
				}
			case Abort:
				finished++
			}
		}
		if finished > 0 {
			break
		}
		eventAttempt := attempt - rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "late")
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0: // the request was not sent
			actions = life.Step(now, Failed{Attempt: eventAttempt})
		case 1: // the request was sent and ran, but no response came
			if eventAttempt == attempt {
				ran++
			}
			actions = life.Step(now, Failed{Attempt: eventAttempt, Failure: Failure{Sent: true}, Resumable: true})
		case 2:
			actions = life.Step(now, Completed{Attempt: eventAttempt})
		case 3:
			if _, isLife := life.(*Lifecycle); isLife && eventAttempt == attempt {
				passed++
				ran++
			}
			actions = life.Step(now, Delivered{Attempt: eventAttempt, Offset: passed})
			if eventAttempt != attempt && len(actions) == 0 {
				return "a late response was delivered"
			}
		}
	}
	if finished > 1 {
		return "ended twice"
	}
	return ""
}

func TestLifeKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		life := NewLifecycle(DefaultLifecycleConfig(), NewBudget(DefaultBudgetConfig()), idempotent, 15)
		require.Empty(t, lifecycleViolation(t, idempotent, life))
	})
}

// TestBrokenRetryRulesAreDetected runs the same check on two broken rules.
func TestBrokenRetryRulesAreDetected(t *testing.T) {
	found := make(map[string]bool)
	rapid.Check(t, func(t *rapid.T) {
		found[lifecycleViolation(t, true, &lastAttemptRule{idempotent: true})] = true
		found[lifecycleViolation(t, false, &alwaysRetryRule{})] = true
	})
	require.True(t, found["not-run, but it ran"])
	require.True(t, found["a further attempt after one that ran"])
}

func TestBudgetBoundsExtraCalls(t *testing.T) {
	config := DefaultBudgetConfig()
	budget := NewBudget(config)
	const calls = 10_000
	retries := 0
	for range calls {
		budget.Deposit()
		if budget.TryWithdraw() { // every call fails
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), config.Ratio*calls+config.Reserve)
	require.Greater(t, retries, calls/20, "retries continue within the budget")
}

func TestStreamIsResumedOrAborted(t *testing.T) {
	life := NewLifecycle(DefaultLifecycleConfig(), NewBudget(DefaultBudgetConfig()), true, time.Minute)
	lost := Failure{Sent: true}
	require.Equal(t, []LifecycleAction{Try{Attempt: 1}}, life.Step(0, Started{}))
	require.Empty(t, life.Step(1, Delivered{Attempt: 1, Offset: 5}))
	require.Equal(t, []LifecycleAction{Try{Attempt: 2, Offset: 5}}, life.Step(2, Failed{Attempt: 1, Failure: lost, Resumable: true}))
	require.Equal(t, []LifecycleAction{Discard{Attempt: 1}}, life.Step(3, Delivered{Attempt: 1, Offset: 6}))
	require.Empty(t, life.Step(4, Delivered{Attempt: 2, Offset: 6}))
	require.Equal(t, []LifecycleAction{Abort{}}, life.Step(5, Failed{Attempt: 2, Failure: lost}))
}
