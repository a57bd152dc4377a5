package call

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// limitedMemory is a Memory with a limit. It fails the test if more is returned than taken.
type limitedMemory struct {
	t           *testing.T
	limit, used int
}

func (m *limitedMemory) Reserve(n int) bool {
	if m.used+n > m.limit {
		return false
	}
	m.used += n
	return true
}

func (m *limitedMemory) Release(n int) {
	m.used -= n
	require.GreaterOrEqual(m.t, m.used, 0)
}

// countedBody counts its calls of Close.
type countedBody struct {
	io.Reader
	closed int
}

func (b *countedBody) Close() error {
	b.closed++
	return nil
}

// TestReadWhole guards against bytes that are lost, repeated or not returned, with memory
// for the response, for a part of it and for none.
func TestReadWhole(t *testing.T) {
	for _, size := range []int{0, 1, smallWhole, smallWhole + 1, firstReserved, firstReserved + 1, 1 << 20} {
		for _, limit := range []int{0, firstReserved, 4 * firstReserved, 4 << 20} {
			text := bytes.Repeat([]byte("abc"), size/3+1)[:size]
			memory, source := &limitedMemory{t: t, limit: limit}, &countedBody{Reader: iotest.DataErrReader(bytes.NewReader(text))}
			r := &Response{Body: source}
			body, whole, err := r.ReadWhole(memory)
			require.NoError(t, err)
			require.Equal(t, whole, len(body) == size && source.closed == 1)
			require.True(t, bytes.HasPrefix(text, body))
			if limit == 4<<20 || size < smallWhole {
				require.True(t, whole)
			}
			all, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, text, all)
			require.NoError(t, r.Body.Close())
			require.NoError(t, r.Body.Close())
			require.Zero(t, memory.used)
		}
	}
}

// TestReadWholeTwice guards against a second copy of a response, and against a wrapper of
// the first one that is never closed.
func TestReadWholeTwice(t *testing.T) {
	memory := &limitedMemory{t: t, limit: 4 * firstReserved}
	text := strings.Repeat("x", firstReserved)
	r := &Response{Body: io.NopCloser(strings.NewReader(text))}
	_, whole, err := r.ReadWhole(memory)
	require.NoError(t, err)
	require.True(t, whole)
	used, wrapper := memory.used, &closingBody{ReadCloser: r.Body}
	r.Body = wrapper
	body, whole, err := r.ReadWhole(memory)
	require.NoError(t, err)
	require.True(t, whole)
	require.Equal(t, text, string(body))
	require.Equal(t, used, memory.used)
	require.True(t, wrapper.closed)
	require.NoError(t, r.Body.Close())
	require.Zero(t, memory.used)
}

// closingBody passes Close on and records it.
type closingBody struct {
	io.ReadCloser
	closed bool
}

func (b *closingBody) Close() error {
	b.closed = true
	return b.ReadCloser.Close()
}

// TestReadWholeFails guards against bytes that stay taken for a response that broke off or
// is too large.
func TestReadWholeFails(t *testing.T) {
	broken := errors.New("broken")
	for code, source := range map[string]io.Reader{
		"answer_cut":       io.MultiReader(strings.NewReader(strings.Repeat("x", 2*firstReserved)), iotest.ErrReader(broken)),
		"answer_too_large": io.LimitReader(endless{}, MaxWholeBytes+1),
	} {
		memory, body := &limitedMemory{t: t, limit: 4 * MaxWholeBytes}, &countedBody{Reader: source}
		_, _, err := (&Response{Body: body}).ReadWhole(memory)
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.Equal(t, code, failed.Code)
		require.Equal(t, 1, body.closed)
		require.Zero(t, memory.used)
	}
}

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }
