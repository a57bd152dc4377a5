package peer

import (
	"context"

	"github.com/samber/oops"
	"github.com/twitchtv/twirp"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/peer/peerpb"
)

// Voter handles the lease messages of other instances. It must be safe for
// concurrent use.
type Voter interface {
	Receive(message ownership.Message) ownership.Reply
}

// Lease implements peerpb.Peer: it passes a lease message to the voter.
func (s *Server) Lease(_ context.Context, in *peerpb.LeaseRequest) (*peerpb.LeaseResponse, error) {
	if in.Instance == "" || in.Incarnation == "" {
		return nil, twirp.RequiredArgumentError("instance")
	}
	reply := s.voter.Receive(decodeLease(in))
	out := &peerpb.LeaseResponse{Instance: reply.From.Name, Incarnation: reply.From.Incarnation}
	for _, vote := range reply.Votes {
		out.Votes = append(out.Votes, &peerpb.LeaseVote{Granted: vote.Granted, Fence: vote.Fence})
	}
	return out, nil
}

// Lease sends a lease message to a peer; it implements lease.Sender. A response
// must have one vote for each vote request, in the same order.
func (e *Exchange) Lease(ctx context.Context, to member.Instance, message ownership.Message) (ownership.Reply, error) {
	out, err := e.linkTo(to.ControlAddress).client.Lease(ctx, encodeLease(message))
	if err != nil {
		return ownership.Reply{}, oops.Code("lease_failed").With("peer", to.Name).Wrap(err)
	}
	if len(out.Votes) != len(message.VoteRequests) {
		return ownership.Reply{}, oops.Code("lease_malformed").With("peer", to.Name).Errorf("%d votes for %d vote requests", len(out.Votes), len(message.VoteRequests))
	}
	reply := ownership.Reply{
		From:     ownership.Peer{Name: out.Instance, Incarnation: out.Incarnation},
		Sequence: message.Sequence,
	}
	for i, vote := range out.Votes {
		reply.Votes = append(reply.Votes, ownership.Vote{Right: message.VoteRequests[i].Right, Granted: vote.Granted, Fence: vote.Fence})
	}
	for _, release := range message.Releases {
		reply.Released = append(reply.Released, release.Right)
	}
	return reply, nil
}

func encodeLease(message ownership.Message) *peerpb.LeaseRequest {
	in := &peerpb.LeaseRequest{
		Instance:    message.From.Name,
		Incarnation: message.From.Incarnation,
		Sequence:    message.Sequence,
	}
	for _, request := range message.VoteRequests {
		in.Asks = append(in.Asks, &peerpb.LeaseAsk{Right: string(request.Right), Fence: request.Fence})
	}
	for _, r := range message.Releases {
		in.Releases = append(in.Releases, &peerpb.LeaseRelease{
			Right: string(r.Right), Sequence: r.Sequence,
			To: r.To.Name, ToIncarnation: r.To.Incarnation,
			Fence: r.Fence, State: r.State,
		})
	}
	return in
}

func decodeLease(in *peerpb.LeaseRequest) ownership.Message {
	message := ownership.Message{
		From:     ownership.Peer{Name: in.Instance, Incarnation: in.Incarnation},
		Sequence: in.Sequence,
	}
	for _, request := range in.Asks {
		message.VoteRequests = append(message.VoteRequests, ownership.VoteRequest{Right: ownership.Right(request.Right), Fence: request.Fence})
	}
	for _, r := range in.Releases {
		message.Releases = append(message.Releases, ownership.Release{
			Right: ownership.Right(r.Right), Sequence: r.Sequence,
			To:    ownership.Peer{Name: r.To, Incarnation: r.ToIncarnation},
			Fence: r.Fence, State: r.State,
		})
	}
	return message
}
