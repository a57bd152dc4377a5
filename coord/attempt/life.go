package attempt

import "time"

// LifeConfig bounds one request's attempts.
type LifeConfig struct {
	// MaxAttempts bounds the attempts, resumes included. Default: 3.
	MaxAttempts int
}

// DefaultLifeConfig returns the bounds for one request.
func DefaultLifeConfig() LifeConfig { return LifeConfig{MaxAttempts: 3} }

// LifeEvent is an input of a Life.
type LifeEvent interface{ lifeEvent() }

// Started begins the first attempt.
type Started struct{}

// Passed says that a part of an attempt's answer was passed on to the caller,
// who now holds the first Offset events of the stream.
type Passed struct {
	Attempt int
	Offset  int
}

// Failed says that an attempt failed.
type Failed struct {
	Attempt int
	Failure Failure
	// Final says that a further attempt would fail alike, as when the system
	// refuses work.
	Final bool
	// Resumable says that the part that was passed on can be continued.
	Resumable bool
}

// Ended says that an attempt's answer is complete and was passed on.
type Ended struct{ Attempt int }

func (Started) lifeEvent() {}
func (Passed) lifeEvent()  {}
func (Failed) lifeEvent()  {}
func (Ended) lifeEvent()   {}

// LifeAction is an output of a Life.
type LifeAction interface{ lifeAction() }

// Try orders an attempt. Its answer starts at Offset.
type Try struct {
	Attempt int
	Offset  int
}

// Discard says that an event belongs to an attempt that is no longer the
// current one: nothing of it may reach the caller.
type Discard struct{ Attempt int }

// Tell ends the request with an outcome.
type Tell struct{ Outcome Outcome }

// Cut ends an answer whose beginning has been passed on, so that the caller
// can't take it for complete.
type Cut struct{}

func (Try) lifeAction()     {}
func (Discard) lifeAction() {}
func (Tell) lifeAction()    {}
func (Cut) lifeAction()     {}

// Life follows one request through its attempts.
//
// Invariants: a request that is not idempotent has no attempt after one that
// may have run; not-run is told only when every attempt is proved not to have
// run; exactly one Tell or Cut ends the request.
type Life struct {
	config     LifeConfig
	budget     *Budget
	idempotent bool
	deadline   time.Duration
	attempt    int
	offset     int
	passed     bool
	mayHaveRun bool
	over       bool
}

// NewLife returns the life of a request that must end by deadline. Lives of
// one instance share a budget.
func NewLife(config LifeConfig, budget *Budget, idempotent bool, deadline time.Duration) *Life {
	return &Life{config: config, budget: budget, idempotent: idempotent, deadline: deadline}
}

// Step applies an event at now, on the clock of the deadline.
func (l *Life) Step(now time.Duration, event LifeEvent) []LifeAction {
	switch e := event.(type) {
	case Started:
		if l.attempt > 0 {
			return nil
		}
		l.budget.Call()
		return l.try()
	case Passed:
		if !l.current(e.Attempt) || e.Offset < l.offset {
			return []LifeAction{Discard{Attempt: e.Attempt}}
		}
		l.passed = true
		l.offset = e.Offset
	case Failed:
		if !l.current(e.Attempt) {
			return []LifeAction{Discard{Attempt: e.Attempt}}
		}
		return l.fail(now, e)
	case Ended:
		if !l.current(e.Attempt) {
			return []LifeAction{Discard(e)}
		}
		l.over = true
		return []LifeAction{Tell{Outcome: Served}}
	}
	return nil
}

func (l *Life) current(attempt int) bool { return !l.over && attempt == l.attempt }

func (l *Life) try() []LifeAction {
	l.attempt++
	return []LifeAction{Try{Attempt: l.attempt, Offset: l.offset}}
}

func (l *Life) fail(now time.Duration, e Failed) []LifeAction {
	if e.Failure.Outcome() != NotRun {
		l.mayHaveRun = true
	}
	if l.mayTry(now, e) {
		return l.try()
	}
	l.over = true
	switch {
	case l.passed:
		return []LifeAction{Cut{}}
	case l.mayHaveRun:
		return []LifeAction{Tell{Outcome: Unknown}}
	default:
		return []LifeAction{Tell{Outcome: NotRun}}
	}
}

// mayTry is the retry rule. A retry after a proved not-run adds no work to an
// endpoint and needs no budget.
func (l *Life) mayTry(now time.Duration, e Failed) bool {
	switch {
	case l.attempt >= l.config.MaxAttempts, now >= l.deadline, e.Final:
		return false
	case l.mayHaveRun && !l.idempotent:
		return false
	case l.passed && !e.Resumable:
		return false
	case e.Failure.Outcome() == NotRun:
		return true
	}
	return l.budget.Retry()
}
