package peer

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// fetchLimit bounds the chunks of one answer, in bytes; an answer has at least
// one.
const fetchLimit = 256 << 10

// CompareTables implements peerpb.Peer.
func (s *Server) CompareTables(_ context.Context, in *peerpb.CompareTablesRequest) (*peerpb.CompareTablesResponse, error) {
	have := table.Stamp{Revision: in.Revision, Digest: in.Digest}
	s.fleet.PeerHolds(in.Instance, have)
	t := s.fleet.Table()
	if t == nil {
		return &peerpb.CompareTablesResponse{}, nil
	}
	out := &peerpb.CompareTablesResponse{Revision: t.Revision, Digest: t.Digest()}
	if t.Stamp().Above(have) {
		out.Manifest = t.Manifest().Encode()
	}
	return out, nil
}

// FetchChunks implements peerpb.Peer.
func (s *Server) FetchChunks(_ context.Context, in *peerpb.FetchChunksRequest) (*peerpb.FetchChunksResponse, error) {
	out := &peerpb.FetchChunksResponse{}
	t := s.fleet.Table()
	if t == nil {
		return out, nil
	}
	size := 0
	for _, digest := range in.Digests {
		data, found := t.Chunk(digest)
		if !found {
			continue
		}
		if size += len(data); size > fetchLimit && len(out.Chunks) > 0 {
			break
		}
		out.Chunks = append(out.Chunks, data)
	}
	return out, nil
}

// tablesTimeout bounds a call about tables.
const tablesTimeout = 2 * time.Second

func (e *Exchange) tablesClient(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, e.tables)
}

// CompareTables tells the peer at address which table is in force here. It
// returns what the peer has and, when that is above, its manifest.
func (e *Exchange) CompareTables(ctx context.Context, address string, have table.Stamp) (table.Stamp, []byte, error) {
	out, err := e.tablesClient(address).CompareTables(ctx, &peerpb.CompareTablesRequest{
		Instance: e.fleet.Self(),
		Revision: have.Revision,
		Digest:   have.Digest,
	})
	if err != nil {
		return table.Stamp{}, nil, oops.Code("compare_failed").Wrap(err)
	}
	return table.Stamp{Revision: out.Revision, Digest: out.Digest}, out.Manifest, nil
}

// FetchChunks returns some or all of the chunks from the peer at address.
func (e *Exchange) FetchChunks(ctx context.Context, address string, digests []string) ([][]byte, error) {
	out, err := e.tablesClient(address).FetchChunks(ctx, &peerpb.FetchChunksRequest{Digests: digests})
	if err != nil {
		return nil, oops.Code("fetch_failed").Wrap(err)
	}
	return out.Chunks, nil
}
