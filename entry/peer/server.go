package peer

import (
	"context"
	"encoding/json"

	"github.com/twitchtv/twirp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// Server answers the control calls of other instances.
type Server struct {
	fleet *fleet.Fleet
}

// NewServer returns a server over f.
func NewServer(f *fleet.Fleet) *Server { return &Server{fleet: f} }

// Heartbeat implements peerpb.Peer.
func (s *Server) Heartbeat(_ context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.fleet.Heard(in.Instance, in.Leaving)
	for _, w := range in.Workers {
		s.fleet.ReportResident(w.Worker, parseAdapters(w.Resident))
	}
	out := &peerpb.HeartbeatResponse{Leaving: s.fleet.Leaving()}
	if t := s.fleet.Table(); t != nil {
		out.Revision = t.Revision
	}
	return out, nil
}

// parseAdapters skips what is not adapter@version; a newer peer may send more.
func parseAdapters(names []string) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, 0, len(names))
	for _, name := range names {
		if adapter, err := table.ParseAdapterVersion(name); err == nil {
			adapters = append(adapters, adapter)
		}
	}
	return adapters
}

// FetchTables implements peerpb.Peer.
func (s *Server) FetchTables(_ context.Context, in *peerpb.FetchTablesRequest) (*peerpb.FetchTablesResponse, error) {
	t := s.fleet.Table()
	if t == nil || t.Revision <= in.HaveRevision {
		return &peerpb.FetchTablesResponse{}, nil
	}
	snapshot := t.Snapshot()
	manifest, err := json.Marshal(snapshot.Manifest)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	out := &peerpb.FetchTablesResponse{Revision: t.Revision, Manifest: manifest}
	for key, data := range snapshot.Chunks {
		out.Chunks = append(out.Chunks, &peerpb.TableChunk{Key: key, Data: data})
	}
	return out, nil
}
