package call

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// Sizes of the buffer of a response that is read whole, in bytes.
const (
	// MaxWholeBytes bounds the response.
	MaxWholeBytes = 8 << 20
	// smallWhole is the size up to which a response is held without a reservation. It is
	// covered by the memory of a connection.
	smallWhole = 8 << 10
	// firstReserved is the size of the first buffer that is reserved.
	firstReserved = 64 << 10
)

// Memory counts the bytes of responses that are held whole. It must be safe for
// concurrent use.
type Memory interface {
	// Reserve takes n bytes and reports whether it could.
	Reserve(n int) bool
	// Release returns n bytes.
	Release(n int)
}

// held is a body that was read whole. Close returns its bytes.
type held struct {
	bytes.Reader
	body    []byte
	release func()
}

// newHeld returns a body whose reserved bytes Close returns to memory.
func newHeld(body []byte, memory Memory, reserved int) *held {
	h := &held{body: body, release: sync.OnceFunc(func() {
		if reserved > 0 {
			memory.Release(reserved)
		}
	})}
	h.Reset(body)
	return h
}

// Close implements io.Closer.
func (h *held) Close() error {
	h.release()
	return nil
}

// take returns a body with the same bytes, which it owns from then on.
func (h *held) take() *held {
	taken := &held{body: h.body, release: h.release}
	taken.Reset(h.body)
	h.release = func() {}
	return taken
}

// started is a body of which the first bytes were read ahead.
type started struct {
	io.Reader
	source io.Closer
	first  *held
}

// Close implements io.Closer.
func (s *started) Close() error {
	_ = s.first.Close() // never fails
	return s.source.Close()
}

// ReadWhole reads the body, so that none of one that broke off is passed on, and closes
// its source. If memory has no room for all of it, whole is false, body is what was read
// so far, and the rest is read from the source as Body is read. In both cases Body has
// all bytes afterwards. memory may be nil, which counts nothing.
//
// The error is an *Error, and Body is closed; that of the body stays as it is.
func (r *Response) ReadWhole(memory Memory) (body []byte, whole bool, err error) {
	if r.whole != nil { // a wrapper of Body may have more to release than the bytes
		taken := r.whole.take()
		err = r.Body.Close()
		r.Body, r.whole = taken, taken
		if err != nil {
			_ = taken.Close() // never fails
			return nil, false, bodyError(err)
		}
		return taken.body, true, nil
	}
	w := wholeReader{source: r.Body, memory: memory, body: make([]byte, 0, smallWhole)}
	whole, err = w.read()
	h := newHeld(w.body, memory, w.reserved)
	if err == nil && !whole {
		r.Body = &started{Reader: io.MultiReader(h, r.Body), source: r.Body, first: h}
		return w.body, false, nil
	}
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		_ = h.Close() // never fails
		return nil, false, bodyError(err)
	}
	r.Body, r.whole = h, h
	return w.body, true, nil
}

// wholeReader reads one body into a buffer that it reserves.
type wholeReader struct {
	source   io.Reader
	memory   Memory
	body     []byte
	reserved int
}

// errTooLarge is returned for a body above MaxWholeBytes.
var errTooLarge = fmt.Errorf("answer is above %d bytes", MaxWholeBytes)

// read reads to the end and returns true, or until there is no memory.
func (w *wholeReader) read() (whole bool, err error) {
	for {
		if len(w.body) == cap(w.body) && !w.grow() {
			return false, nil
		}
		n, err := w.source.Read(w.body[len(w.body):cap(w.body)])
		w.body = w.body[:len(w.body)+n]
		switch {
		case len(w.body) > MaxWholeBytes:
			return false, errTooLarge
		case errors.Is(err, io.EOF):
			return true, nil
		case err != nil:
			return false, err
		}
	}
}

// grow moves the body to a buffer of twice the size, and reports whether there was memory
// for it. Both are held until the move is done.
func (w *wholeReader) grow() bool {
	size := min(max(2*cap(w.body), firstReserved), MaxWholeBytes+1)
	if w.memory != nil {
		if !w.memory.Reserve(size) {
			return false
		}
	}
	w.body = append(make([]byte, 0, size), w.body...)
	if w.memory != nil {
		if w.reserved > 0 {
			w.memory.Release(w.reserved)
		}
		w.reserved = size
	}
	return true
}

// bodyError returns the error for a body that could not be read whole.
func bodyError(err error) error {
	var failed *Error
	switch {
	case errors.As(err, &failed):
		return failed
	case errors.Is(err, errTooLarge):
		return UnusableError("answer_too_large", err)
	}
	return UnusableError("answer_cut", err)
}

// NoMemoryError returns the error for a response that must be held whole and for which
// there is no memory.
func NoMemoryError() *Error {
	return UnusableError("answer_without_memory", errors.New("no memory for the answer"))
}

// UnusableError returns the error for a response that arrived but can't be passed on.
func UnusableError(code string, err error) *Error {
	return &Error{Failure: attempt.Failure{Sent: true}, Status: http.StatusGatewayTimeout, Code: code, Err: err}
}
