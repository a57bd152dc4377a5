package keys

import (
	"bytes"
	"io"
	"sync/atomic"
)

// shared is the body of a run's response, which several sends are answered with. The bytes
// held for it are returned with the last of them. A nil shared holds nothing.
type shared struct {
	body    io.Closer
	holders atomic.Int64
}

// newShared returns a body with one holder.
func newShared(body io.Closer) *shared {
	s := &shared{body: body}
	s.holders.Store(1)
	return s
}

// acquire adds a holder. The caller must hold the body.
func (s *shared) acquire() {
	if s != nil {
		s.holders.Add(1)
	}
}

// release removes a holder.
func (s *shared) release() {
	if s != nil && s.holders.Add(-1) == 0 {
		_ = s.body.Close() // it was read whole
	}
}

// sharedBody is the response body of one send.
type sharedBody struct {
	*bytes.Reader
	release func()
}

// Close implements io.Closer.
func (b *sharedBody) Close() error {
	b.release()
	return nil
}
