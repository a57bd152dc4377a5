package intake

import "github.com/bulrushwick/bulrushwick/coord/bytebudget"

// Responses counts the bytes of responses in the budget of an intake, apart from the
// connections: a response may be held for longer than the connection of its caller. It is
// safe for concurrent use.
type Responses struct {
	intake *Intake
	// account is guarded by the intake's mutex.
	account bytebudget.Account
}

// Responses returns a new count.
func (i *Intake) Responses() *Responses { return &Responses{intake: i} }

// Reserve takes n bytes and reports whether it could.
func (r *Responses) Reserve(n int) bool {
	r.intake.mu.Lock()
	defer r.intake.mu.Unlock()
	return r.intake.budget.ReserveResponse(&r.account, int64(n))
}

// Release returns n bytes.
func (r *Responses) Release(n int) {
	r.intake.mu.Lock()
	defer r.intake.mu.Unlock()
	r.intake.budget.Release(&r.account, int64(n))
	r.intake.wake()
}
