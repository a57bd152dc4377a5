package peer

import (
	"context"

	"github.com/bulrushwick/bulrushwick/coord/gossip"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// Server handles the control calls of other instances. It is safe for concurrent
// use.
type Server struct {
	fleet   *fleet.Fleet
	records *Records
	voter   Voter
	lender  Lender
}

// NewServer returns a server over f that passes lease messages to voter.
func NewServer(f *fleet.Fleet, records *Records, voter Voter) *Server {
	return &Server{fleet: f, records: records, voter: voter}
}

// Heartbeat implements peerpb.Peer: it applies a peer's heartbeat and responds with
// this instance's state.
func (s *Server) Heartbeat(_ context.Context, in *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	s.fleet.RecordHeartbeat(in.Instance, in.Leaving)
	s.fleet.Receive(decodeReports(in.Reports))
	s.fleet.PeerHolds(in.Instance, table.Stamp{Revision: in.Revision, Digest: in.Digest})
	s.records.merge(in.Workers, in.Instance)
	position := gossip.Position(in.ReceiverPosition)
	if in.ReceiverEpoch != s.records.epoch {
		position = 0
	}
	var workers []*peerpb.WorkerSummary
	reached := position
	if !s.fleet.SendsTo(in.Instance) { // otherwise this instance's own heartbeats carry the records
		workers, reached = s.records.after(position, in.Instance)
	}
	out := &peerpb.HeartbeatResponse{
		Leaving:  s.fleet.Leaving(),
		Epoch:    s.records.epoch,
		Position: uint64(reached),
		Workers:  workers,
		Reports:  encodeReports(s.fleet.Reports()),
	}
	if t := s.fleet.Table(); t != nil {
		out.Revision, out.Digest = t.Revision, t.Digest()
	}
	return out, nil
}
