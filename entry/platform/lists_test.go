package platform_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/platform"
)

const instances = `[
  {"name": "a", "dataCentre": "dc", "peerAddress": "127.0.0.1:1", "controlAddress": "127.0.0.1:2", "state": "live", "zone": 1},
  {"name": "b", "dataCentre": "dc", "peerAddress": "host:1", "controlAddress": "127.0.0.1:2", "state": "leavin"}
]`

func TestListsKeepWhatCanBeUsed(t *testing.T) {
	list, findings := platform.ParseInstances([]byte(instances))
	require.Len(t, list, 1)
	require.EqualError(t, findings, `2:117: [0].zone: unknown field
3:37: [1].peerAddress: "host:1" is not an IP address and port
3:95: [1].state: "leavin" is not live or leaving; did you mean "leaving"?`)
	none, findings := platform.ParseInstances([]byte(`{"name": "a"}`))
	require.Nil(t, none)
	require.NotEmpty(t, findings)
}

func FuzzInstances(f *testing.F) {
	f.Add([]byte(instances))
	f.Add([]byte(`[null, {}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, findings := platform.ParseInstances(data)
		for _, i := range list {
			require.NotEmpty(t, i.Name)
		}
		require.False(t, list == nil && len(findings) == 0)
	})
}

func FuzzEndpoints(f *testing.F) {
	f.Add([]byte(`[{"name": "w-0", "state": "leaving"}, {"name": "", "state": "x"}]`))
	f.Add([]byte(`[{"name": "w-0", "name": "w-1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, findings := platform.ParseEndpoints(data)
		for _, e := range list {
			require.NotEmpty(t, e.Name)
		}
		require.False(t, list == nil && len(findings) == 0)
	})
}
