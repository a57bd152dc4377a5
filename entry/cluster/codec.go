package cluster

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quorum"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

func encodeMember(m quorum.Member) *clusterpb.Member {
	return &clusterpb.Member{
		Address: m.Address, DataCentre: m.DataCentre, Region: m.Region, Weak: m.Weak, Since: m.Since, Incarnation: m.Incarnation, Left: m.Left,
	}
}

func decodeMember(m *clusterpb.Member) quorum.Member {
	return quorum.Member{
		Address: m.GetAddress(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(), Weak: m.GetWeak(), Since: m.GetSince(),
		Incarnation: m.GetIncarnation(), Left: m.GetLeft(),
	}
}

func encodeMembers(members []quorum.Member) []*clusterpb.Member {
	encoded := make([]*clusterpb.Member, len(members))
	for i, m := range members {
		encoded[i] = encodeMember(m)
	}
	return encoded
}

func decodeMembers(members []*clusterpb.Member) []quorum.Member {
	decoded := make([]quorum.Member, len(members))
	for i, m := range members {
		decoded[i] = decodeMember(m)
	}
	return decoded
}

func encodeVoterSet(s quorum.VoterSet) *clusterpb.VoterSet {
	if s.Version == 0 {
		return nil
	}
	encoded := &clusterpb.VoterSet{Term: s.Term, Version: s.Version, Rushed: s.Rushed}
	for _, v := range s.Voters {
		encoded.Voters = append(encoded.Voters, &clusterpb.Voter{Address: v.Address, Incarnation: v.Incarnation})
	}
	return encoded
}

// decodeVoterSet sorts the voters, since lookups in a set rely on their order.
func decodeVoterSet(s *clusterpb.VoterSet) quorum.VoterSet {
	decoded := quorum.VoterSet{Term: s.GetTerm(), Version: s.GetVersion(), Rushed: s.GetRushed()}
	for _, v := range s.GetVoters() {
		decoded.Voters = append(decoded.Voters, quorum.Voter{Address: v.GetAddress(), Incarnation: v.GetIncarnation()})
	}
	slices.SortFunc(decoded.Voters, func(a, b quorum.Voter) int { return cmp.Compare(a.Address, b.Address) })
	return decoded
}

func encodeHeartbeat(b quorum.Heartbeat) *clusterpb.BeatRequest {
	request := &clusterpb.BeatRequest{
		From: encodeMember(b.From), Sequence: b.Sequence, Served: b.Served, VotersDigest: b.VotersDigest, Roster: b.MembersDigest,
		VoterSet: encodeVoterSet(b.VoterSet),
		Members:  encodeMembers(b.Members), Held: b.Held, Released: b.Released, Silent: b.Silent,
	}
	for _, ask := range b.VoteRequests {
		request.Asks = append(request.Asks, &clusterpb.Ask{Right: ask.Right, Fence: ask.Fence})
	}
	return request
}

func decodeHeartbeat(b *clusterpb.BeatRequest) quorum.Heartbeat {
	heartbeat := quorum.Heartbeat{
		From: decodeMember(b.GetFrom()), Sequence: b.GetSequence(), Served: b.GetServed(), VotersDigest: b.GetVotersDigest(), MembersDigest: b.GetRoster(),
		VoterSet: decodeVoterSet(b.GetVoterSet()),
		Members:  decodeMembers(b.GetMembers()), Held: b.GetHeld(), Released: b.GetReleased(), Silent: b.GetSilent(),
	}
	for _, ask := range b.GetAsks() {
		heartbeat.VoteRequests = append(heartbeat.VoteRequests, quorum.VoteRequest{Right: ask.GetRight(), Fence: ask.GetFence()})
	}
	return heartbeat
}

func encodeReply(r quorum.Reply) *clusterpb.BeatResponse {
	response := &clusterpb.BeatResponse{
		From: encodeMember(r.From), Sequence: r.Sequence, Served: r.Served, VotersDigest: r.VotersDigest, Roster: r.MembersDigest,
		VoterSet: encodeVoterSet(r.VoterSet),
		Members:  encodeMembers(r.Members), Held: r.Held,
	}
	for _, v := range r.Votes {
		response.Votes = append(response.Votes, &clusterpb.Vote{
			Right: v.Right, Granted: v.Granted, ClearAfterNs: int64(v.ClearAfter), Fence: v.Fence,
		})
	}
	return response
}

func decodeReply(r *clusterpb.BeatResponse) quorum.Reply {
	reply := quorum.Reply{
		From: decodeMember(r.GetFrom()), Sequence: r.GetSequence(), Served: r.GetServed(), VotersDigest: r.GetVotersDigest(), MembersDigest: r.GetRoster(),
		VoterSet: decodeVoterSet(r.GetVoterSet()),
		Members:  decodeMembers(r.GetMembers()), Held: r.GetHeld(),
	}
	for _, v := range r.GetVotes() {
		reply.Votes = append(reply.Votes, quorum.Vote{
			Right: v.GetRight(), Granted: v.GetGranted(), ClearAfter: time.Duration(v.GetClearAfterNs()), Fence: v.GetFence(),
		})
	}
	return reply
}
