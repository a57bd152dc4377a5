package attempt

import "time"

// LifecycleConfig limits the attempts of one request.
type LifecycleConfig struct {
	// MaxAttempts is the maximum number of attempts, resumes included. Default: 3.
	MaxAttempts int
}

// DefaultLifecycleConfig returns the default limits for one request.
func DefaultLifecycleConfig() LifecycleConfig { return LifecycleConfig{MaxAttempts: 3} }

// LifecycleEvent is an input to a Lifecycle.
type LifecycleEvent interface{ lifecycleEvent() }

// Started begins the first attempt.
type Started struct{}

// Delivered reports that a part of an attempt's response was delivered to the
// caller, which now has the first Offset events of the stream.
type Delivered struct {
	Attempt int
	Offset  int
}

// Failed reports that an attempt failed.
type Failed struct {
	Attempt int
	Failure Failure
	// Permanent is set if a further attempt would fail in the same way, for example
	// because the system rejects new work.
	Permanent bool
	// Resumable is set if a further attempt can continue the response after the
	// part that was delivered.
	Resumable bool
}

// Completed reports that an attempt's complete response was delivered.
type Completed struct{ Attempt int }

func (Started) lifecycleEvent()   {}
func (Delivered) lifecycleEvent() {}
func (Failed) lifecycleEvent()    {}
func (Completed) lifecycleEvent() {}

// LifecycleAction is an output of a Lifecycle.
type LifecycleAction interface{ lifecycleAction() }

// Try starts an attempt whose response begins at Offset.
type Try struct {
	Attempt int
	Offset  int
}

// Discard reports that an event belongs to an attempt that is no longer current;
// nothing of that attempt may reach the caller.
type Discard struct{ Attempt int }

// Report ends the request and reports its outcome to the caller.
type Report struct{ Outcome Outcome }

// Abort aborts a partly delivered response in a way that the caller can't mistake
// for a complete one.
type Abort struct{}

func (Try) lifecycleAction()     {}
func (Discard) lifecycleAction() {}
func (Report) lifecycleAction()  {}
func (Abort) lifecycleAction()   {}

// Lifecycle is the state machine of one request and its attempts. It is not safe
// for concurrent use.
//
// Invariants: a request that is not idempotent is not attempted again after an
// attempt that may have run; NotRun is reported only if no attempt can have run;
// exactly one Report or Abort ends the request.
type Lifecycle struct {
	config     LifecycleConfig
	budget     *Budget
	idempotent bool
	deadline   time.Duration
	attempt    int
	offset     int
	delivered  bool
	mayHaveRun bool
	ended      bool
}

// NewLifecycle returns the state machine of a request that is not retried at or
// after deadline. All requests of one instance share a budget.
func NewLifecycle(config LifecycleConfig, budget *Budget, idempotent bool, deadline time.Duration) *Lifecycle {
	return &Lifecycle{config: config, budget: budget, idempotent: idempotent, deadline: deadline}
}

// Step applies an event and returns the resulting actions. now is on the same
// clock as the deadline.
func (l *Lifecycle) Step(now time.Duration, event LifecycleEvent) []LifecycleAction {
	switch e := event.(type) {
	case Started:
		if l.attempt > 0 {
			return nil
		}
		l.budget.Deposit()
		return l.startAttempt()
	case Delivered:
		if !l.isCurrent(e.Attempt) || e.Offset < l.offset {
			return []LifecycleAction{Discard{Attempt: e.Attempt}}
		}
		l.delivered = true
		l.offset = e.Offset
	case Failed:
		if !l.isCurrent(e.Attempt) {
			return []LifecycleAction{Discard{Attempt: e.Attempt}}
		}
		return l.handleFailure(now, e)
	case Completed:
		if !l.isCurrent(e.Attempt) {
			return []LifecycleAction{Discard(e)}
		}
		l.ended = true
		return []LifecycleAction{Report{Outcome: Served}}
	}
	return nil
}

func (l *Lifecycle) isCurrent(attempt int) bool { return !l.ended && attempt == l.attempt }

func (l *Lifecycle) startAttempt() []LifecycleAction {
	l.attempt++
	return []LifecycleAction{Try{Attempt: l.attempt, Offset: l.offset}}
}

func (l *Lifecycle) handleFailure(now time.Duration, e Failed) []LifecycleAction {
	if e.Failure.Outcome() != NotRun {
		l.mayHaveRun = true
	}
	if l.canRetry(now, e) {
		return l.startAttempt()
	}
	l.ended = true
	switch {
	case l.delivered:
		return []LifecycleAction{Abort{}}
	case l.mayHaveRun:
		return []LifecycleAction{Report{Outcome: Unknown}}
	default:
		return []LifecycleAction{Report{Outcome: NotRun}}
	}
}

// canRetry reports whether a further attempt is allowed, and takes it from the
// budget. A retry after an attempt that did not run adds no work to an endpoint
// and needs no budget.
func (l *Lifecycle) canRetry(now time.Duration, e Failed) bool {
	switch {
	case l.attempt >= l.config.MaxAttempts, now >= l.deadline, e.Permanent:
		return false
	case l.mayHaveRun && !l.idempotent:
		return false
	case l.delivered && !e.Resumable:
		return false
	case e.Failure.Outcome() == NotRun:
		return true
	}
	return l.budget.TryWithdraw()
}
