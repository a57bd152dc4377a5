package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/peer"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countingConn{Conn: conn, bytes: &c.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// exchangeWith serves a table on a counting listener and returns an exchange to
// query it with.
func exchangeWith(t testing.TB, chunk table.Chunk) (*peer.Exchange, *countingListener, *table.Table) {
	f := fleet.New("entry-0", "dc-a")
	snapshot, err := table.Split(1, chunk, table.DefaultSplitConfig("t/"))
	require.NoError(t, err)
	built, err := table.Build(snapshot)
	require.NoError(t, err)
	f.Offer(built)
	records := peer.NewRecords(f, nil)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &countingListener{Listener: inner}
	server := peer.NewControlServer(peerpb.NewPeerServer(peer.NewServer(f, records, nil)), time.Second)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	exchange, err := peer.NewExchange(peer.Config{HeartbeatEvery: time.Second, Concurrency: 1}, f, records, zerolog.Nop())
	require.NoError(t, err)
	return exchange, listener, built
}

func fullTable() table.Chunk {
	c := table.Chunk{Pools: []table.Pool{{Name: "models", Kind: table.Engine, Slots: 8, Batch: 16}}}
	for i := range 43_000 {
		c.Adapters = append(c.Adapters, table.Adapter{Name: fmt.Sprintf("adapter-%05d", i), Pool: "models", Versions: []string{"v1", "v2"}})
	}
	for i := range 7_500 {
		c.Pools[0].Endpoints = append(c.Pools[0].Endpoints, table.Endpoint{
			Name: fmt.Sprintf("worker-%04d", i), Address: fmt.Sprintf("10.%d.%d.1:8000", i/250, i%250), DataCentre: fmt.Sprintf("dc-%02d", i%12),
		})
	}
	return c
}

// TestChunksComeWholeAndBounded fetches a whole table from a peer: each response is
// within the size limit, and the assembled table equals the original.
func TestChunksComeWholeAndBounded(t *testing.T) {
	exchange, listener, built := exchangeWith(t, fullTable())
	address := listener.Addr().String()
	stamp, manifest, err := exchange.CompareTables(t.Context(), address, table.Stamp{})
	require.NoError(t, err)
	require.Equal(t, built.Stamp(), stamp)
	m, err := table.ParseManifest(manifest)
	require.NoError(t, err)
	a := table.NewAssembly(m, nil, nil)
	for len(a.Missing()) > 0 {
		var digests []string
		for _, ref := range a.Missing() {
			digests = append(digests, ref.Digest)
		}
		chunks, err := exchange.FetchChunks(t.Context(), address, digests)
		require.NoError(t, err)
		size := 0
		for _, data := range chunks {
			size += len(data)
			require.True(t, a.Add(data))
		}
		require.LessOrEqual(t, size, 256<<10)
		require.NotZero(t, size)
	}
	again, err := a.Build()
	require.NoError(t, err)
	require.Equal(t, built.Stamp(), again.Stamp())
	_, manifest, err = exchange.CompareTables(t.Context(), address, stamp)
	require.NoError(t, err)
	require.Empty(t, manifest, "a peer that has the same table sends no manifest")
}

// BenchmarkCalls reports the bytes of each kind of table call with 43,000 adapters
// and 7,500 endpoints, in both directions, without packet headers.
func BenchmarkCalls(b *testing.B) {
	exchange, listener, built := exchangeWith(b, fullTable())
	address := listener.Addr().String()
	index := built.Manifest().Chunks[1].Digest
	data, _ := built.Chunk(index)
	var parsed table.Chunk
	require.NoError(b, json.Unmarshal(data, &parsed))
	leaf := parsed.Chunks[0].Digest
	calls := map[string]func() error{
		"same table": func() error {
			_, _, err := exchange.CompareTables(context.Background(), address, built.Stamp())
			return err
		},
		"newer manifest": func() error {
			_, _, err := exchange.CompareTables(context.Background(), address, table.Stamp{})
			return err
		},
		"index chunk": func() error {
			_, err := exchange.FetchChunks(context.Background(), address, []string{index})
			return err
		},
		"leaf chunk": func() error {
			_, err := exchange.FetchChunks(context.Background(), address, []string{leaf})
			return err
		},
	}
	for name, call := range calls {
		b.Run(name, func(b *testing.B) {
			before := listener.bytes.Load()
			for b.Loop() {
				require.NoError(b, call())
			}
			b.ReportMetric(float64(listener.bytes.Load()-before)/float64(b.N), "B/call")
		})
	}
}
