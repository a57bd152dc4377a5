package peer

import (
	"context"
	"time"

	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// fetchByteLimit bounds the chunks of one FetchChunks response, in bytes. A response
// has at least one chunk, also if that one is larger.
const fetchByteLimit = 256 << 10

// CompareTables implements peerpb.Peer: it responds with the table in force and, when
// that supersedes the peer's, its manifest.
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

// FetchChunks implements peerpb.Peer: it returns the requested chunks that it has,
// in the order of the request, up to fetchByteLimit.
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
		if size += len(data); size > fetchByteLimit && len(out.Chunks) > 0 {
			break
		}
		out.Chunks = append(out.Chunks, data)
	}
	return out, nil
}

// tablesTimeout bounds a CompareTables or FetchChunks call.
const tablesTimeout = 2 * time.Second

func (e *Exchange) tablesClient(address string) peerpb.Peer {
	return peerpb.NewPeerProtobufClient("http://"+address, e.tablesHTTP)
}

// CompareTables sends the stamp of the table in force here to the peer at address.
// It returns the stamp of the peer's table and, when that supersedes the own one,
// its manifest.
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

// FetchChunks requests chunks from the peer at address. The response may hold only
// some of them: those that the peer has, up to a size limit.
func (e *Exchange) FetchChunks(ctx context.Context, address string, digests []string) ([][]byte, error) {
	out, err := e.tablesClient(address).FetchChunks(ctx, &peerpb.FetchChunksRequest{Digests: digests})
	if err != nil {
		return nil, oops.Code("fetch_failed").Wrap(err)
	}
	return out.Chunks, nil
}
