package intake

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/bytebudget"
)

// Refusal is why a body was not read. The request has not run.
type Refusal struct {
	Status int
	Reason string
	// Code is the short, stable name of the cause.
	Code string
	// RetryAfter is set with 503.
	RetryAfter time.Duration
}

// Sizes of the buffer of a body.
const (
	// firstBuffer is the size of the first buffer for a body of unknown length.
	firstBuffer = 4 << 10
	// wholeBuffer is the size up to which a body of known length gets its buffer at once.
	// Longer ones are given more as they arrive, so that an announced length takes nothing.
	wholeBuffer = 64 << 10
)

// Waits for bytes.
const (
	// patience is how long a reader waits before bodies that still make progress are
	// given up for it.
	patience = 200 * time.Millisecond
	// maxWait is how long a reader waits altogether.
	maxWait = 2 * time.Second
	// retryAfter is the Retry-After of a request that found no room.
	retryAfter = 500 * time.Millisecond
)

// ReadBody reads the body of a request of a server with StreamRequestBody. limit is the
// largest size in bytes; 0 is no limit. After a refusal the connection must be closed.
func (i *Intake) ReadBody(ctx *fasthttp.RequestCtx, limit int) ([]byte, *Refusal) {
	conn := of(ctx.Conn())
	if !ctx.Request.IsBodyStream() || conn == nil {
		if conn != nil {
			conn.enter(phaseServing)
		}
		return nil, nil
	}
	length := ctx.Request.Header.ContentLength()
	if length == 0 {
		conn.enter(phaseServing)
		return nil, nil
	}
	if limit > 0 && length > limit {
		conn.refused.Store(true)
		return nil, i.tooLong()
	}
	if conn.phase.Load() != phaseBody || ctx.Request.MayContinue() { // the idle time began with the interim response
		conn.enter(phaseBody)
		_ = conn.Conn.SetReadDeadline(time.Now().Add(i.config.BodyTimeout)) // the read reports a closed connection
	}
	r := &reader{Intake: i, conn: conn, source: ctx.RequestBodyStream(), length: length, limit: limit}
	i.mu.Lock()
	i.budget.Begin(&conn.account, i.now())
	i.mu.Unlock()
	body, refusal := r.read()
	i.mu.Lock()
	kept := i.budget.Read(&conn.account)
	i.mu.Unlock()
	if refusal == nil && !kept {
		refusal = disconnected
	}
	if refusal == nil {
		conn.enter(phaseServing)
	} else {
		conn.refused.Store(refusal.Status != fasthttp.StatusBadRequest)
	}
	return body, refusal
}

// SmallResponse is the size up to which a response may be held without a reservation: it
// is covered by the memory of a connection.
const SmallResponse = 8 << 10

// ReserveResponse takes n bytes for a response that is held whole until the caller has
// read it, and reports whether it could.
func (i *Intake) ReserveResponse(ctx *fasthttp.RequestCtx, n int) bool {
	conn := of(ctx.Conn())
	if conn == nil {
		return true
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.budget.ReserveResponse(&conn.account, int64(n))
}

// ReturnResponse returns n of the bytes that ReserveResponse has taken.
func (i *Intake) ReturnResponse(ctx *fasthttp.RequestCtx, n int) {
	conn := of(ctx.Conn())
	if conn == nil {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Release(&conn.account, int64(n))
	i.wake()
}

var disconnected = &Refusal{Status: fasthttp.StatusBadRequest, Code: "body_broken", Reason: "the body broke off"}

func (i *Intake) tooLong() *Refusal {
	i.counts.TooLong.Add(1)
	return &Refusal{Status: fasthttp.StatusRequestEntityTooLarge, Code: "body_too_large", Reason: "the body is over the limit"}
}

// reader reads one body. It is used by one goroutine.
type reader struct {
	*Intake
	conn   *Conn
	source io.Reader
	// length is the announced length, or negative for chunks.
	length, limit int
	body          []byte
	// uncounted is the number of bytes that were read and not recorded as progress.
	uncounted int
}

func (r *reader) read() ([]byte, *Refusal) {
	first := firstBuffer
	if r.length > 0 {
		first = min(r.length, wholeBuffer)
	}
	if refusal := r.grow(first); refusal != nil {
		return nil, refusal
	}
	for {
		if len(r.body) == cap(r.body) && len(r.body) != r.length {
			if refusal := r.grow(r.nextSize()); refusal != nil {
				return nil, refusal
			}
		}
		n, err := r.source.Read(r.body[len(r.body):cap(r.body)])
		r.body = r.body[:len(r.body)+n]
		r.receive(n)
		switch {
		case r.limit > 0 && len(r.body) > r.limit:
			return nil, r.tooLong()
		case len(r.body) == r.length || errors.Is(err, io.EOF) && r.length < 0:
			return r.body, nil
		case err != nil:
			return nil, refusalOf(err)
		}
	}
}

// nextSize returns the size of the next buffer: twice the last one, and no more than is
// needed to find a body too long.
func (r *reader) nextSize() int {
	size := 2 * cap(r.body)
	if r.length > 0 {
		return min(size, r.length)
	}
	if r.limit > 0 {
		return min(size, r.limit+1)
	}
	return size
}

// receive records progress, but not for every byte of a body in small chunks. Small bodies
// are complete before it matters.
func (r *reader) receive(n int) {
	if r.uncounted += n; r.uncounted < firstBuffer {
		return
	}
	n, r.uncounted = r.uncounted, 0
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Receive(&r.conn.account, n, r.now())
}

// grow moves the body to a larger buffer. Both are held until the move is done.
func (r *reader) grow(size int) *Refusal {
	if !r.budget.Fits(int64(size)) {
		return r.noRoom()
	}
	if refusal := r.reserve(int64(size)); refusal != nil {
		return refusal
	}
	former := cap(r.body)
	body := make([]byte, len(r.body), size)
	copy(body, r.body)
	r.body = body
	// The capacity is exactly size, so that the bytes held are those counted.
	if former > 0 {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.budget.Release(&r.conn.account, int64(former))
		r.wake()
	}
	return nil
}

func (i *Intake) noRoom() *Refusal {
	i.counts.NoRoom.Add(1)
	return &Refusal{Status: fasthttp.StatusServiceUnavailable, Code: "no_memory", Reason: "no memory for the body", RetryAfter: retryAfter}
}

// reserve takes n bytes, waits for them if they are short, and closes connections that
// make less progress if waiting does not help.
func (r *reader) reserve(n int64) *Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	account := &r.conn.account
	if r.budget.Reserve(account, n) {
		return nil
	}
	began := r.now()
	r.budget.Wait(account, began)
	defer func() { r.budget.Resume(account, r.now()) }()
	r.waiters++
	defer func() { r.waiters-- }()
	for {
		now := r.now()
		if now-began > maxWait || account.Evicted() {
			return r.noRoom()
		}
		victim := r.budget.Evict(account, n, now-began < patience, now)
		if victim == account {
			return r.noRoom()
		}
		if victim != nil {
			r.evict(victim)
		}
		r.await()
		if r.budget.Reserve(account, n) {
			return nil
		}
	}
}

// evict closes the connection of an account. r.mu must be held.
func (i *Intake) evict(victim *bytebudget.Account) {
	i.counts.Evicted.Add(1)
	victim.Owner.(*Conn).reset()
	i.wake() // the victim may itself wait for bytes
}

// await waits until bytes are released, or for a part of the patience. i.mu must be held;
// it is free meanwhile.
func (i *Intake) await() {
	released := i.released
	i.mu.Unlock()
	timer := time.NewTimer(patience / 4)
	select {
	case <-released:
	case <-timer.C:
	}
	timer.Stop()
	i.mu.Lock()
}

// LeaveUnread records that a request is refused before its body has been read. What still
// arrives of the body is dropped for a short time when the connection is closed, since the
// caller would lose the response otherwise.
func LeaveUnread(ctx *fasthttp.RequestCtx) {
	conn := of(ctx.Conn())
	if conn != nil && ctx.Request.IsBodyStream() && conn.phase.Load() != phaseServing {
		conn.refused.Store(true)
	}
}

// refusalOf returns the refusal of a body that could not be read.
func refusalOf(err error) *Refusal {
	var networkErr net.Error
	if errors.As(err, &networkErr) && networkErr.Timeout() {
		return &Refusal{Status: fasthttp.StatusRequestTimeout, Code: "request_too_slow", Reason: "the body did not arrive in time"}
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		return disconnected
	}
	return &Refusal{Status: fasthttp.StatusBadRequest, Code: "malformed_body", Reason: "the body is malformed"}
}
