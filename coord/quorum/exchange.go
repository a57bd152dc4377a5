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
		From: m.members.self, Sequence: m.sequence, Served: m.hearsCoordinator(now),
		VotersDigest: m.voterSet.digest(), MembersDigest: m.members.currentView().membersDigest, Held: m.HeldRights(now),
		Released: slices.Sorted(maps.Keys(m.releasedAt)),
	}
	if m.voter {
		heartbeat.Silent = m.members.silentFor(now, m.config.RemoveAfter)
	}
	if now < m.sendMembersUntil {
		heartbeat.Members = m.members.clusterOf(m.members.self)
	}
	if now < m.sendVotersUntil {
		heartbeat.VoterSet = m.voterSet
	}
	for _, right := range m.rights {
		if state := m.states[right]; state.held || m.shouldRequest(now, right, state) {
			heartbeat.VoteRequests = append(heartbeat.VoteRequests, VoteRequest{Right: right, Fence: state.highestFence})
		}
	}
	m.sentHeartbeats[m.sequence] = sentHeartbeat{at: now, votersDigest: heartbeat.VotersDigest}
	return heartbeat, m.targets(now)
}

// targets returns the addresses to send a heartbeat to: the voters; in a small cluster,
// or without a coordinator, also the candidates, which may found one; members marked as
// left that still send messages, so that they learn of it and can refute it; and seeds,
// which may have restarted with another incarnation.
func (m *Machine) targets(now time.Duration) []string {
	addresses := make(map[string]bool)
	isSmall, isServed := m.Size() <= m.config.MaxVoters, m.isServed(now)
	if isSmall || !isServed {
		for _, candidate := range m.members.candidates() {
			addresses[candidate.Address] = true
		}
	}
	for address, p := range m.members.peers {
		recentlyHeard := p.everHeard && now-p.lastHeard <= m.config.LiveFor
		if m.members.isVoter(address) || p.member.Left && recentlyHeard && m.members.inCluster(p.member) {
			addresses[address] = true
		}
	}
	if isSmall && !m.config.OwnRegion || !isServed || now >= m.nextSeedHeartbeat {
		m.nextSeedHeartbeat = now + m.config.SeedEvery
		for _, s := range m.seeds {
			addresses[s] = true
		}
	}
	delete(addresses, m.members.self.Address)
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
	reply := Reply{Sequence: heartbeat.Sequence}
	if p != nil && m.members.inCluster(heartbeat.From) {
		actions = append(actions, m.adoptVoterSet(now, heartbeat.VoterSet)...)
		actions = append(actions, m.updateRole(now)...)
		p.heldRights, p.silentMembers = setOf(heartbeat.Held), setOf(heartbeat.Silent)
		m.observeService(now, p, heartbeat.Served)
		for _, right := range heartbeat.Released {
			m.endPromise(now, right, heartbeat.From.Address)
		}
		reply.Votes = m.castVotes(now, heartbeat)
	}
	m.announceChanges(now, actions)
	view := m.members.currentView()
	reply.From, reply.VotersDigest, reply.MembersDigest = m.members.self, m.voterSet.digest(), view.membersDigest
	reply.Held, reply.Served = m.HeldRights(now), m.hearsCoordinator(now)
	if reply.VotersDigest != heartbeat.VotersDigest && m.members.inCluster(heartbeat.From) {
		reply.VoterSet = m.voterSet
	}
	if reply.MembersDigest != heartbeat.MembersDigest {
		reply.Members = m.members.clusterOf(heartbeat.From)
	}
	return reply, actions
}

// sendMembersFor is how long heartbeats carry the member list, or the voter set, after a
// change, or after a peer had a different one; it covers a few heartbeats.
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
			vote = m.castVote(now, state, heartbeat.From)
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

// observeService records whether a peer is, or hears, a coordinator.
func (m *Machine) observeService(now time.Duration, p *peer, served bool) {
	if p.heldRights[coordinatorRight] || served {
		m.recordService(now)
	}
}

// HandleReply handles a reply. Its votes count from the time of the heartbeat that
// requested them. A voter that has a newer set sends it along, so that votes are never
// counted in a set older than that of their voter.
func (m *Machine) HandleReply(now time.Duration, reply Reply) []Action {
	p, actions := m.members.heardFrom(now, reply.From)
	for _, member := range reply.Members {
		if member.Address != reply.From.Address {
			actions = append(actions, m.members.merge(now, member)...)
		}
	}
	if p != nil && m.members.inCluster(reply.From) {
		p.heldRights = setOf(reply.Held)
		m.observeService(now, p, reply.Served)
		actions = append(actions, m.adoptVoterSet(now, reply.VoterSet)...)
	}
	m.announceChanges(now, actions)
	actions = append(actions, m.updateRole(now)...)
	sent, known := m.sentHeartbeats[reply.Sequence]
	digest := m.voterSet.digest()
	if m.members.inCluster(reply.From) && reply.MembersDigest != m.members.currentView().membersDigest {
		m.sendMembersUntil = now + sendMembersFor
	}
	if m.members.inCluster(reply.From) && reply.VotersDigest != digest {
		m.sendVotersUntil = now + sendMembersFor
	}
	if p == nil || !known || m.leaving {
		return actions
	}
	for _, vote := range reply.Votes {
		if vote.Right == coordinatorRight && reply.VotersDigest == digest && sent.votersDigest == digest {
			actions = append(actions, m.recordAcknowledgement(now, reply.From.Address, vote)...)
		}
		actions = append(actions, m.countVote(now, reply.From, vote, sent.at)...)
	}
	m.coordinate(now)
	return actions
}

// countVote records a vote that was requested at a time.
func (m *Machine) countVote(now time.Duration, from Member, vote Vote, requestedAt time.Duration) []Action {
	state := m.states[vote.Right]
	if state == nil {
		return nil
	}
	state.highestFence = max(state.highestFence, vote.Fence)
	if vote.Granted {
		voter := Voter{Address: from.Address, Incarnation: from.Incarnation}
		state.voteExpiry[voter] = max(state.voteExpiry[voter], requestedAt+m.config.LeaseTTL)
		if !state.held {
			state.clearAt = max(state.clearAt, now+vote.ClearAfter)
		}
	}
	return m.updateLease(now, vote.Right)
}

// preferredHolder returns the live voter that should hold a right. Voters
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
		if m.voterSet.contains(p.member) && m.members.isLive(now, m.config.LiveFor, address) {
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
