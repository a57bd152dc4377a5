package direct

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// lengthCodec decodes a document to a configuration whose version is the
// document's length.
type lengthCodec struct{ Codec }

func (lengthCodec) DecodeConfig(document []byte) (*routing.Config, error) {
	return &routing.Config{Version: uint64(len(document))}, nil
}

// TestAConfigurationTravelsCompressed guards against sending configurations to
// peers uncompressed: tens of instances fetch a large one at once, and whole
// copies kept slow links busy for seconds.
func TestAConfigurationTravelsCompressed(t *testing.T) {
	instance := func() *Instance {
		i, err := New(DefaultSettings(), Ports{Codec: lengthCodec{}, Directory: &emptyDirectory{}},
			decision.New(decision.DefaultConfig(), io.Discard, "e0"))
		require.NoError(t, err)
		return i
	}
	var document strings.Builder
	for n := range 3000 {
		fmt.Fprintf(&document, `{"name":"r-%d","hostname":"h%d.example","prefix":"/p%d/","routeType":"streaming","timeoutMs":3000},`, n, n%7, n)
	}
	from, to := instance(), instance()
	from.Config([]byte(document.String()), 0)
	state := from.State(&clusterpb.FetchStateRequest{})
	require.Less(t, len(state.GetConfig()), document.Len()/5)
	to.acceptCompressedConfig(state.GetConfig(), "peer")
	version, got := to.fleet.config.version(), to.fleet.config.document
	require.EqualValues(t, document.Len(), version)
	require.Equal(t, document.String(), string(got))
	to.acceptCompressedConfig([]byte("no gzip"), "peer")
	require.Equal(t, version, to.gateway.configVersion(), "an unreadable document changes nothing")
}
