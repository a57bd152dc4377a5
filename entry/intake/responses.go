package intake

import (
	"context"

	"github.com/bulrushwick/bulrushwick/coord/bytebudget"
)

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

// Held is the memory of one response of which a part is held until the caller has read it.
// The zero value holds nothing. It must be used by one goroutine at a time.
type Held struct {
	responses *Responses
	bytes     int
}

// Append appends data to buffer, whose bytes are those held. A buffer above SmallResponse
// is reserved; without room, Append waits for some time, which holds the worker back, and
// then returns false.
func (h *Held) Append(ctx context.Context, i *Intake, buffer, data []byte) ([]byte, bool) {
	needed := len(buffer) + len(data)
	if needed <= cap(buffer) || needed <= SmallResponse {
		return append(buffer, data...), true
	}
	if h.responses == nil {
		h.responses = i.Responses()
	}
	size := max(2*needed, firstHeld)
	if !h.responses.await(ctx, size) {
		return buffer, false
	}
	grown := append(make([]byte, 0, size), buffer...)
	h.Release() // the former buffer
	h.bytes = size
	return append(grown, data...), true
}

// firstHeld is the size of the first buffer that is reserved.
const firstHeld = 32 << 10

// Shrink returns buffer, or a new one in place of a reserved one of which all has been
// read.
func (h *Held) Shrink(buffer []byte) []byte {
	if len(buffer) > 0 || h.bytes == 0 {
		return buffer
	}
	h.Release()
	return nil
}

// Release returns the bytes held.
func (h *Held) Release() {
	if h.bytes > 0 {
		h.responses.Release(h.bytes)
		h.bytes = 0
	}
}

// await takes n bytes, and waits for them if they are short. It reports whether it could.
func (r *Responses) await(ctx context.Context, n int) bool {
	i := r.intake
	i.mu.Lock()
	defer i.mu.Unlock()
	i.waiters++
	defer func() { i.waiters-- }()
	for began := i.now(); !i.budget.ReserveResponse(&r.account, int64(n)); {
		if ctx.Err() != nil || i.now()-began > maxWait {
			i.counts.NoRoom.Add(1)
			return false
		}
		i.await()
	}
	return true
}
