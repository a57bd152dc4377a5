package quorum

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// NextHeartbeat returns the next heartbeat and the addresses to send it to.
func (m *Machine) NextHeartbeat(now time.Duration) (Heartbeat, []string) {
	m.sequence++
	heartbeat := Heartbeat{
		From: m.members.self, Sequence: m.sequence, Settled: m.settled,
		VotersDigest: m.members.currentView().votersDigest, MembersDigest: m.members.currentView().membersDigest, Held: m.HeldRights(now),
		Released: slices.Sorted(maps.Keys(m.releasedAt)),
	}
	if m.voter {
		heartbeat.Silent = m.members.silentFor(now, m.config.RemoveAfter)
	}
	if now < m.sendMembersUntil {
		heartbeat.Members = m.members.clusterOf(m.members.self)
	}
	for _, right := range m.rights {
		if state := m.states[right]; state.held || m.shouldRequest(now, right, state) {
			heartbeat.VoteRequests = append(heartbeat.VoteRequests, VoteRequest{Right: right, Fence: state.highestFence})
		}
	}
	m.sentHeartbeats[m.sequence] = sentHeartbeat{at: now, votersDigest: heartbeat.VotersDigest}
	return heartbeat, m.targets(now)
}

// targets returns the addresses to send a heartbeat to: the voters; members marked
// as left that still send messages, so that they learn of it and can refute it; and
// seeds, which may have restarted with another incarnation.
func (m *Machine) targets(now time.Duration) []string {
	addresses := make(map[string]bool)
	for address, p := range m.members.peers {
		recentlyHeard := p.everHeard && now-p.lastHeard <= m.config.LiveFor
		if m.members.isVoter(address) || p.member.Left && recentlyHeard && m.members.inCluster(p.member) {
			addresses[address] = true
		}
	}
	if m.Size() <= m.config.MaxVoters && !m.config.OwnRegion || !m.settled || now >= m.nextSeedHeartbeat {
		m.nextSeedHeartbeat = now + m.config.SeedEvery
		for _, s := range m.seeds {
			addresses[s] = true
		}
	}
	return slices.Sorted(maps.Keys(addresses))
}

// HandleHeartbeat handles a heartbeat and returns the reply to it.
func (m *Machine) HandleHeartbeat(now time.Duration, heartbeat Heartbeat) (Reply, []Action) {
	p, actions := m.members.heardFrom(now, heartbeat.From)
	for _, member := range heartbeat.Members {
		if member.Address != heartbeat.From.Address {
			actions = append(actions, m.members.merge(now, member)...)
		}
	}
	actions = append(actions, m.updateRole(now)...)
	reply := Reply{Settled: m.settled, Sequence: heartbeat.Sequence, Held: m.HeldRights(now)}
	if p != nil && m.members.inCluster(heartbeat.From) {
		p.settled, p.heldRights, p.silentMembers = heartbeat.Settled, setOf(heartbeat.Held), setOf(heartbeat.Silent)
		for _, right := range heartbeat.Released {
			m.endPromise(now, right, heartbeat.From.Address)
		}
		reply.Votes = m.castVotes(now, heartbeat)
	}
	m.announceChanges(now, actions)
	view := m.members.currentView()
	reply.From, reply.VotersDigest, reply.MembersDigest = m.members.self, view.votersDigest, view.membersDigest
	if reply.MembersDigest != heartbeat.MembersDigest {
		reply.Members = m.members.clusterOf(heartbeat.From)
	}
	return reply, actions
}

// sendMembersFor is how long heartbeats carry the member list after a change, or
// after a peer had a different list; it covers a few heartbeats.
const sendMembersFor = time.Second

// announceChanges adds the member list to the next heartbeats if there were changes.
func (m *Machine) announceChanges(now time.Duration, actions []Action) {
	if len(actions) > 0 {
		m.sendMembersUntil = now + sendMembersFor
	}
}

// castVotes returns a vote for each of the sender's requests.
func (m *Machine) castVotes(now time.Duration, heartbeat Heartbeat) []Vote {
	votes := make([]Vote, 0, len(heartbeat.VoteRequests))
	for _, request := range heartbeat.VoteRequests {
		vote := Vote{}
		if state := m.states[request.Right]; state != nil {
			state.highestFence = max(state.highestFence, request.Fence)
			vote = m.castVote(now, state, heartbeat.From.Address)
		}
		vote.Right = request.Right
		votes = append(votes, vote)
	}
	return votes
}

// endPromise ends the promise to a member that has released a right.
func (m *Machine) endPromise(now time.Duration, right, from string) {
	if state := m.states[right]; state != nil && state.promise.candidate == from && now < state.promise.expiresAt {
		state.promise.expiresAt = now
	}
}

// HandleReply handles a reply. Its votes count from the time of the heartbeat that
// requested them, and only if both sides have the same set of voters.
func (m *Machine) HandleReply(now time.Duration, reply Reply) []Action {
	p, actions := m.members.heardFrom(now, reply.From)
	if p != nil && m.members.inCluster(reply.From) {
		p.settled, p.heldRights = reply.Settled, setOf(reply.Held)
	}
	for _, member := range reply.Members {
		if member.Address != reply.From.Address {
			actions = append(actions, m.members.merge(now, member)...)
		}
	}
	m.announceChanges(now, actions)
	actions = append(actions, m.updateRole(now)...)
	sent, known := m.sentHeartbeats[reply.Sequence]
	voters := m.members.currentView().votersDigest
	if reply.MembersDigest != m.members.currentView().membersDigest && m.members.inCluster(reply.From) {
		m.sendMembersUntil = now + sendMembersFor
	}
	if p == nil || !known || reply.VotersDigest != voters || sent.votersDigest != voters {
		return actions
	}
	for _, vote := range reply.Votes {
		state := m.states[vote.Right]
		if state == nil || m.leaving {
			continue
		}
		state.highestFence = max(state.highestFence, vote.Fence)
		if vote.Granted {
			state.voteExpiry[reply.From.Address] = max(state.voteExpiry[reply.From.Address], sent.at+m.config.LeaseTTL)
			if !state.held {
				state.clearAt = max(state.clearAt, now+vote.ClearAfter)
			}
		}
		actions = append(actions, m.updateLease(now, vote.Right)...)
	}
	return actions
}

// preferredHolder returns the live, settled voter that should hold a right. Voters
// in the right's data centre come first; rendezvous hashing decides among them.
func (m *Machine) preferredHolder(now time.Duration, right string) string {
	dataCentre, _, _ := strings.Cut(right, "/")
	best, bestLocal, bestScore := "", false, uint64(0)
	consider := func(member Member) {
		local := member.DataCentre == dataCentre
		score := xxhash.Sum64String(right + "\x00" + member.Address)
		if best == "" || local && !bestLocal || local == bestLocal && score > bestScore {
			best, bestLocal, bestScore = member.Address, local, score
		}
	}
	consider(m.members.self)
	for address, p := range m.members.peers {
		if p.settled && m.members.isVoter(address) && m.members.isLive(now, m.config.LiveFor, address) {
			consider(p.member)
		}
	}
	return best
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, n := range names {
		set[n] = true
	}
	return set
}
