package quorum

import (
	"slices"
	"time"
)

// coordinatorRight is the right to propose sets of voters. Its fencing token is the
// term of the sets that its holder proposes.
const coordinatorRight = "coordinator"

// minStayingVoters is the number of voters that stay below which joining members are
// added before others are removed, and without a wait.
const minStayingVoters = 3

// coordinator is the state of the holder of the coordinator right. The changes follow
// the single-server membership changes of Raft (Ongaro, "Consensus: Bridging Theory
// and Practice", section 4.1, with the correction of 2015): a coordinator first has the
// set that it found confirmed in its own term, and proposes one change at a time.
type coordinator struct {
	// acknowledged holds the voters that have the current set and know the term.
	acknowledged map[string]bool
	// isAgreed is set once a quorum of the current set has acknowledged it.
	isAgreed bool
	agreedAt time.Duration
}

// reset begins to count acknowledgements, of another set or in another term.
func (c *coordinator) reset() { c.acknowledged, c.isAgreed = make(map[string]bool), false }

// recordAcknowledgement records that a voter replied with the current set, and with a
// vote for the coordinator. A reply that knows a higher term ends the coordinator's.
func (m *Machine) recordAcknowledgement(now time.Duration, voter string, vote Vote) []Action {
	state := m.states[coordinatorRight]
	if !state.held {
		return nil
	}
	if vote.Fence > state.fence {
		return m.release(now, coordinatorRight)
	}
	if vote.Granted && vote.Fence == state.fence {
		m.coordinator.acknowledged[voter] = true
	}
	return nil
}

// coordinate proposes the next set of voters if this instance is the coordinator and a
// quorum has agreed to the current set.
func (m *Machine) coordinate(now time.Duration) {
	state := m.states[coordinatorRight]
	if !state.held || now >= state.leaseExpiry {
		return
	}
	c := &m.coordinator
	if !c.isAgreed {
		c.acknowledged[m.members.self.Address] = true
		if countIn(m.voterSet, c.acknowledged) < m.voterSet.quorum() {
			return
		}
		c.isAgreed, c.agreedAt = true, now
	}
	if m.voterSet.Term != state.fence {
		confirmed := m.voterSet
		confirmed.Term = state.fence
		m.propose(now, confirmed)
		return
	}
	if next, found := m.nextVoterSet(now); found {
		next.Rushed = now-c.agreedAt < m.config.promiseTTL()
		m.propose(now, next)
	}
}

// propose replaces the set of voters, and sends it with the next heartbeats.
func (m *Machine) propose(now time.Duration, set VoterSet) {
	m.installVoterSet(now, set)
	m.coordinator.reset()
}

// nextVoterSet returns the current set with one change towards the candidates: a
// member that joined is added, or a voter that left, restarted or was displaced is
// removed. A single change waits until votes from before the last one have expired.
func (m *Machine) nextVoterSet(now time.Duration) (VoterSet, bool) {
	joining, staying, removable := m.pendingChanges(now)
	mayWait := len(removable) < 2 && (len(staying) >= minStayingVoters || len(joining) == 0)
	if mayWait && now-m.coordinator.agreedAt < m.config.promiseTTL() {
		return VoterSet{}, false
	}
	var next VoterSet
	hasRoom := m.config.MaxVoters <= 0 || len(m.voterSet.Voters) < m.config.MaxVoters
	switch {
	case len(joining) > 0 && hasRoom && (len(removable) == 0 || len(staying) < minStayingVoters):
		next = m.voterSet.with(joining[0])
	case len(removable) > 0 && len(m.voterSet.Voters) > 1:
		next = m.voterSet.without(removable[0])
	default:
		return VoterSet{}, false
	}
	return next, m.countHeard(now, next) >= next.quorum()
}

// pendingChanges compares the voters with the candidates. A candidate joins once an
// earlier incarnation of it is no voter any more. removable lists voters that are silent
// before those that still respond.
func (m *Machine) pendingChanges(now time.Duration) (joining []Member, staying, removable []string) {
	candidates := m.members.candidates()
	for _, member := range candidates {
		if _, isVoter := m.voterSet.find(member.Address); !isVoter && (member.Address == m.members.self.Address || m.members.isLive(now, m.liveFor(), member.Address)) {
			joining = append(joining, member)
		}
	}
	var responding []string
	for _, v := range m.voterSet.Voters {
		isCandidate := slices.ContainsFunc(candidates, func(c Member) bool { return c.Address == v.Address && c.Incarnation == v.Incarnation })
		switch {
		case isCandidate:
			staying = append(staying, v.Address)
		case m.isHeard(now, v):
			responding = append(responding, v.Address)
		default:
			removable = append(removable, v.Address)
		}
	}
	return joining, staying, append(removable, responding...)
}

// isHeard reports whether a voter sends messages, also if it is leaving.
func (m *Machine) isHeard(now time.Duration, v Voter) bool {
	if v.Address == m.members.self.Address {
		return v.Incarnation == m.members.self.Incarnation
	}
	p := m.members.peers[v.Address]
	return p != nil && p.everHeard && p.member.Incarnation == v.Incarnation && now-p.lastHeard <= m.liveFor()
}

// countHeard counts the voters of a set that send messages.
func (m *Machine) countHeard(now time.Duration, set VoterSet) int {
	count := 0
	for _, v := range set.Voters {
		if m.isHeard(now, v) {
			count++
		}
	}
	return count
}

// countIn counts the voters of a set that are among the addresses.
func countIn(set VoterSet, addresses map[string]bool) int {
	count := 0
	for _, v := range set.Voters {
		if addresses[v.Address] {
			count++
		}
	}
	return count
}

// adoptVoterSet takes over a set that another instance sent, if it is newer. A message
// without a set has one without voters.
func (m *Machine) adoptVoterSet(now time.Duration, set VoterSet) []Action {
	if len(set.Voters) == 0 || !set.isNewerThan(m.voterSet) {
		return nil
	}
	m.installVoterSet(now, set)
	return append(m.release(now, coordinatorRight), m.updateRole(now)...)
}

// installVoterSet replaces the set of voters.
func (m *Machine) installVoterSet(now time.Duration, set VoterSet) {
	m.voterSet, m.voterSetAt = set, now
	m.members.setVoters(set)
	m.sendVotersUntil = now + sendMembersFor
	if set.Rushed {
		m.assumePromises(now)
	}
}

// assumePromises makes this instance assume that it has just promised every right to
// another instance, so that a new holder waits.
func (m *Machine) assumePromises(now time.Duration) {
	for _, state := range m.states {
		state.promise.formerExpiry = max(state.promise.formerExpiry, now+m.config.promiseTTL())
	}
}
