package intake

import (
	"context"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHeldResponse guards against bytes of a response that are not counted, or stay
// counted once the caller has read them.
func TestHeldResponse(t *testing.T) {
	i := New(Config{Bytes: 1 << 20})
	var h Held
	var buffer []byte
	part, whole := []byte(strings.Repeat("0123456789", 400)), ""
	for len(whole) < 200<<10 {
		grown, room := h.Append(t.Context(), i, buffer, part)
		require.True(t, room)
		buffer, whole = grown, whole+string(part)
		if cap(buffer) > 2*SmallResponse {
			require.EqualValues(t, cap(buffer), i.State().Held)
		}
	}
	require.Equal(t, whole, string(buffer))
	require.Equal(t, buffer, h.Shrink(buffer), "not read yet")
	require.Positive(t, i.State().Held)
	require.Nil(t, h.Shrink(buffer[len(buffer):]))
	require.Zero(t, i.State().Held)

	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	_, room := h.Append(canceled, i, nil, make([]byte, 1<<20))
	require.False(t, room)
	require.Zero(t, i.State().Held)
	require.EqualValues(t, 1, i.Counts().NoRoom.Load())
}
