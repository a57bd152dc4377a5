package endpoint

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// noMemory is a call.Memory without room.
type noMemory struct{}

func (noMemory) Reserve(int) bool { return false }
func (noMemory) Release(int)      {}

// TestVerifyWithoutMemory guards against a completion that is passed on unchecked, or not
// at all, while there is no memory to hold it.
func TestVerifyWithoutMemory(t *testing.T) {
	adapter, err := table.ParseAdapterVersion("a@v1")
	require.NoError(t, err)
	long := strings.Repeat("x", 100<<10)
	for text, code := range map[string]string{
		`{"id":"1","n":{"model":"b@v1"},"model":"a@v1","text":"` + long + `"}`: "",
		`{"model":"b@v1","text":"` + long + `"}`:                               "adapter_mismatch",
		`{"text":"` + long + `","model":"a@v1"}`:                               "answer_without_memory",
		"[" + long:                                                             "answer_without_memory",
	} {
		r := &call.Response{Body: io.NopCloser(strings.NewReader(text))}
		err := VerifyCompletion(&call.Request{Adapter: adapter, Memory: noMemory{}}, r)
		if code != "" {
			var failed *call.Error
			require.ErrorAs(t, err, &failed)
			require.Equal(t, code, failed.Code)
			continue
		}
		require.NoError(t, err)
		body, err := io.ReadAll(r.Body)
		require.NoError(t, err)
		require.Equal(t, text, string(body))
	}
}
