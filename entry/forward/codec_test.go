package forward

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

func sampleRequest() *call.Request {
	return &call.Request{
		ID: "r-1", Attempt: 2, Route: "orders", Worker: "silt-app-0", Method: "POST", Path: "/orders?x=1",
		ContentType: "text/plain", Body: []byte("piim"), Rank: table.Urgent, Caller: "shop",
		Adapter: table.AdapterVersion{Adapter: "tolk-1", Version: "v1"},
		Key:     "01890a5d-ac96-774b-bcce-b302099a8057", Home: "tln-a", Offset: 7, Stream: true,
		Deadline: time.Now().Add(time.Minute),
		Table:    table.Stamp{Revision: 3, Digest: "0123456789abcdef"}, Entry: "entry-0",
	}
}

func TestEncodeDecodeKeepsAllFields(t *testing.T) {
	var wire fasthttp.Request
	want := sampleRequest()
	encode(&wire, want)
	got, err := decode(&wire)
	require.NoError(t, err)
	got.Deadline = want.Deadline // sent as the remaining time
	require.Equal(t, want, got)
}

func FuzzDecode(f *testing.F) {
	var wire fasthttp.Request
	wire.SetRequestURI("http://127.0.0.1" + Path)
	encode(&wire, sampleRequest())
	var seed bytes.Buffer
	_, err := wire.WriteTo(&seed)
	require.NoError(f, err)
	f.Add(seed.Bytes())
	f.Add(bytes.Replace(seed.Bytes(), []byte("Bulrushwick-Attempt: 2"), []byte("Bulrushwick-Attempt: x"), 1))
	f.Add(bytes.Replace(seed.Bytes(), []byte("Bulrushwick-Attempt: 2"), []byte("Bulrushwick-Attempt: -1"), 1))
	f.Add(bytes.Replace(seed.Bytes(), []byte("Bulrushwick-Offset: 7"), []byte("Bulrushwick-Offset: -7"), 1))
	f.Fuzz(func(t *testing.T, input []byte) {
		var from fasthttp.Request
		if from.ReadLimitBody(bufio.NewReader(bytes.NewReader(input)), 1<<16) != nil {
			return
		}
		r, err := decode(&from)
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, r.Offset, 0)
		require.GreaterOrEqual(t, r.Attempt, 1)
		require.Less(t, r.Remaining(), 2*maxForwardedDeadline)
	})
}
