package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// rightState is this instance's state for one right, both as a voter and as a
// holder or candidate.
type rightState struct {
	promise votePromise
	// voteExpiry is the time until which each voter's vote for this instance
	// counts.
	voteExpiry map[Voter]time.Duration
	// clearAt is the earliest time at which this instance may send orders.
	clearAt time.Duration
	held    bool
	// heldUntil is when this instance last released or lost the right.
	heldUntil time.Duration
	// leaseExpiry is the end of the lease as last computed.
	leaseExpiry  time.Duration
	fence        uint64 // fencing token of the lease
	highestFence uint64 // highest fencing token seen
}

// votePromise is a voter's promise to vote for no other instance than candidate
// before expiresAt.
type votePromise struct {
	candidate string
	expiresAt time.Duration
	// formerExpiry is the end of the last promise to another instance.
	formerExpiry time.Duration
}

// Machine is the state machine of one instance: its member list and its state for
// every right. It does no I/O and is not safe for concurrent use. The times passed
// to it are readings of one clock that must also advance while the host is
// suspended.
type Machine struct {
	config         Config
	members        *memberList
	rights         []string
	states         map[string]*rightState // by right
	started        time.Duration
	seeds          []string
	sequence       uint64
	sentHeartbeats map[uint64]sentHeartbeat // by sequence
	releasedAt     map[string]time.Duration // by right
	leaving        bool
	voter          bool // the role as of the last updateRole
	voterSet       VoterSet
	voterSetAt     time.Duration // when voterSet was installed
	coordinator    coordinator
	// lastServed is when this instance last heard of a coordinator, valid if
	// everServed is set.
	lastServed time.Duration
	everServed bool
	// nextSeedHeartbeat is when to send the next heartbeat to seeds that are not
	// peers.
	nextSeedHeartbeat time.Duration
	// sendMembersUntil and sendVotersUntil are the times until which heartbeats carry
	// the member list and the voter set.
	sendMembersUntil, sendVotersUntil time.Duration
	// minFence returns the lowest fencing token that may be used, so that tokens
	// also increase across a restart of all instances.
	minFence func() uint64
	// quietSince tells since when no orders of other instances were seen.
	quietSince func() (since time.Duration, known bool)
}

// sentHeartbeat is kept for each heartbeat whose reply may still carry valid votes.
type sentHeartbeat struct {
	at           time.Duration
	votersDigest uint64
}

// NewMachine returns the machine of an instance that starts at now and knows only
// its seeds. minFence returns the lowest fencing token that a newly acquired right
// may use. It must return values of Fence with an ordinal that no other instance
// has, and they must increase across restarts.
//
// quietSince returns the time since which workers have received no orders of other
// instances, or false if that is not known. Only an instance that might found a
// cluster uses it; see WatchesOrders. If it is nil, workers are assumed to be quiet.
func NewMachine(now time.Duration, self Member, seeds, rights []string, config Config, minFence func() uint64, quietSince func() (time.Duration, bool)) *Machine {
	m := &Machine{
		config: config, members: newMemberList(self, config), rights: append(slices.Clone(rights), coordinatorRight),
		states: make(map[string]*rightState), started: now, sentHeartbeats: make(map[uint64]sentHeartbeat),
		releasedAt: make(map[string]time.Duration), minFence: minFence, quietSince: quietSince,
	}
	slices.Sort(m.rights)
	for _, right := range m.rights {
		m.states[right] = &rightState{voteExpiry: make(map[Voter]time.Duration), promise: votePromise{formerExpiry: now + config.promiseTTL()}}
	}
	m.sendMembersUntil = now + sendMembersFor
	m.SetSeeds(now, seeds)
	return m
}

// SetSeeds replaces the seeds: addresses that receive heartbeats even if they are
// not peers. Seeds that are not members yet are added to the member list.
func (m *Machine) SetSeeds(now time.Duration, seeds []string) {
	m.seeds = m.seeds[:0]
	for _, s := range seeds {
		if s != m.members.self.Address {
			m.seeds = append(m.seeds, s)
			m.members.merge(now, Member{Address: s})
		}
	}
}

// Held returns the fencing token of a right if this instance may send orders under
// it at now: it holds the right and the wait after a former holder is over.
func (m *Machine) Held(now time.Duration, right string) (fence uint64, ok bool) {
	state := m.states[right]
	if state == nil || !state.held || now >= state.leaseExpiry || now < state.clearAt {
		return 0, false
	}
	return state.fence, true
}

// HeldRights returns the rights that this instance holds at now, including those
// under which it must not send orders yet.
func (m *Machine) HeldRights(now time.Duration) []string {
	var held []string
	for _, right := range m.rights {
		if state := m.states[right]; state.held && now < state.leaseExpiry {
			held = append(held, right)
		}
	}
	return held
}

// Holder returns the address of the live instance that holds a right according to
// its last message, which may be this instance, or "" if none is known.
func (m *Machine) Holder(now time.Duration, right string) string {
	if state := m.states[right]; state != nil && state.held && now < state.leaseExpiry {
		return m.members.self.Address
	}
	for address, p := range m.members.peers {
		if p.heldRights[right] && m.members.isLive(now, m.liveFor(), address) {
			return address
		}
	}
	return ""
}

// Self returns this instance's own entry in the member list.
func (m *Machine) Self() Member { return m.members.self }

// Members returns the member list, including this instance and members that have
// left.
func (m *Machine) Members() []Member { return m.members.all() }

// Size returns the number of members of the cluster that have not left.
func (m *Machine) Size() int { return m.members.currentView().size }

// Voters returns the number of voters of the cluster.
func (m *Machine) Voters() int { return len(m.members.voters()) }

// IsVoter reports whether the member with this address is a voter.
func (m *Machine) IsVoter(address string) bool { return m.members.isVoter(address) }

// Voting reports whether this instance is a voter. Voters receive heartbeats from
// every member, followers exchange them only with voters.
func (m *Machine) Voting() bool { return m.voterSet.contains(m.members.self) }

// IsHub reports whether all other members send heartbeats to this instance: it is a
// voter, or a candidate while no voters are known.
func (m *Machine) IsHub() bool {
	if m.voterSet.isKnown() {
		return m.Voting()
	}
	return slices.Contains(m.hubs(), m.members.self.Address)
}

// hubs returns the addresses of the members that all others send heartbeats to.
func (m *Machine) hubs() []string {
	if m.voterSet.isKnown() {
		return m.members.voters()
	}
	return m.candidateAddresses()
}

// IsFollower reports whether an address belongs to a follower: a member of this
// cluster that is not a voter and exchanges heartbeats only with voters.
func (m *Machine) IsFollower(address string) bool {
	p := m.members.peers[address]
	return p != nil && m.members.inCluster(p.member) && !m.members.isVoter(address)
}

// Interval returns the time between two heartbeats of this instance.
func (m *Machine) Interval() time.Duration {
	if m.IsHub() || m.config.FollowersPerSecond <= 0 {
		return m.config.HeartbeatEvery
	}
	followerInterval := time.Duration(float64(m.Size()) / m.config.FollowersPerSecond * float64(time.Second))
	return max(m.config.HeartbeatEvery, followerInterval)
}

// liveFor returns how long a member counts as live after it was last heard from.
func (m *Machine) liveFor() time.Duration {
	return max(m.config.LiveFor, followerHeartbeats*m.Interval())
}

// followerHeartbeats is the number of a follower's heartbeats without any response
// after which the follower considers a voter lost.
const followerHeartbeats = 3

// LiveHubs returns the addresses of the other hubs that are live; see IsHub.
func (m *Machine) LiveHubs(now time.Duration) []string {
	var addresses []string
	for _, address := range m.hubs() {
		if m.members.isLive(now, m.liveFor(), address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Leave releases every right and marks this instance as left in the member list.
func (m *Machine) Leave(now time.Duration) []Action {
	m.leaving = true
	m.members.self.Left = true
	m.members.invalidateView()
	m.sendMembersUntil = now + sendMembersFor
	var actions []Action
	for _, right := range m.rights {
		actions = append(actions, m.release(now, right)...)
	}
	return actions
}

// release gives up a right if this instance holds it, and frees its own vote.
func (m *Machine) release(now time.Duration, right string) []Action {
	state := m.states[right]
	if !state.held {
		return nil
	}
	state.held, state.heldUntil = false, now
	clear(state.voteExpiry)
	m.releasedAt[right] = now
	if state.promise.candidate == m.members.self.Address {
		state.promise.expiresAt = min(state.promise.expiresAt, now)
	}
	return []Action{Lost{Right: right}}
}

// Tick applies the effects of time: leases expire, silent members are removed, and
// the set of voters is changed or founded. Call it periodically.
func (m *Machine) Tick(now time.Duration) []Action {
	if m.hearsCoordinator(now) {
		m.recordService(now)
	}
	m.found(now)
	m.coordinate(now)
	actions := m.members.removeSilent(now, m.config)
	m.announceChanges(now, actions)
	actions = append(actions, m.updateRole(now)...)
	for _, right := range m.rights {
		actions = append(actions, m.updateLease(now, right)...)
	}
	maps.DeleteFunc(m.sentHeartbeats, func(_ uint64, s sentHeartbeat) bool { return now-s.at >= m.config.LeaseTTL })
	maps.DeleteFunc(m.releasedAt, func(_ string, at time.Duration) bool { return now-at >= m.config.promiseTTL() })
	return actions
}

// updateRole handles a change between voter and follower. A new voter cannot know
// whether the voter that it replaces had promised its vote to a holder, so it
// considers itself bound by such a promise for its full duration. Only voters
// receive the state of all members, so an instance that is no longer a voter
// releases all its rights.
func (m *Machine) updateRole(now time.Duration) []Action {
	if voter := m.Voting(); voter == m.voter {
		return nil
	}
	m.voter = !m.voter
	var actions []Action
	if m.voter {
		m.members.resetSilence(now)
		// The founders of a cluster have seen for Config.TurnGap that nobody sends orders.
		if m.voterSet.Version > 1 {
			m.assumePromises(now)
		}
		return nil
	}
	for _, right := range m.rights {
		actions = append(actions, m.release(now, right)...)
	}
	return actions
}

// updateLease recounts the votes for a right, and acquires, extends or loses its
// lease accordingly.
func (m *Machine) updateLease(now time.Duration, right string) []Action {
	state := m.states[right]
	if !m.shouldRequest(now, right, state) && !state.held {
		return nil
	}
	m.voteForSelf(now, state)
	end := m.quorumExpiry(state)
	if state.held {
		if state.leaseExpiry = max(state.leaseExpiry, end); now < state.leaseExpiry {
			return nil
		}
		state.held, state.heldUntil = false, now
		return []Action{Lost{Right: right}}
	}
	if now >= end {
		return nil
	}
	state.held, state.leaseExpiry = true, end
	state.fence = max(state.highestFence+1, m.minFence())
	if right == coordinatorRight {
		state.fence = max(state.fence, m.voterSet.Term+1)
		m.coordinator.reset()
	}
	state.fence = m.withOwnOrdinal(state.fence)
	state.highestFence = state.fence
	return []Action{Acquired{Right: right, Fence: state.fence, ClearAt: state.clearAt}}
}

// withOwnOrdinal returns the lowest fencing token that is not below fence and whose
// low bits are this instance's ordinal.
func (m *Machine) withOwnOrdinal(fence uint64) uint64 {
	ordinal := m.minFence() & fenceOrdinalMask
	next := fence&^uint64(fenceOrdinalMask) | ordinal
	if next < fence {
		next += fenceOrdinalMask + 1
	}
	return next
}

// withdrawOwnVote takes back this instance's vote for itself while it does not hold the
// right. Only its last tenure binds the next holder then.
func (m *Machine) withdrawOwnVote(state *rightState) {
	self := m.members.self
	if state.held || state.promise.candidate != self.Address {
		return
	}
	delete(state.voteExpiry, Voter{Address: self.Address, Incarnation: self.Incarnation})
	state.promise.candidate, state.promise.expiresAt = "", min(state.promise.expiresAt, state.heldUntil)
}

// fenceOrdinalMask selects the bits of a fencing token that hold the ordinal of the
// instance, which makes tokens of different instances distinct.
const fenceOrdinalMask = 1<<24 - 1

// Fence returns the fencing token for a counter and the low 24 bits of an
// instance's ordinal.
func Fence(counter uint64, ordinal uint32) uint64 {
	return counter<<24 | uint64(ordinal)&fenceOrdinalMask
}

// quorumExpiry returns the time until which the votes of a quorum for this instance
// count.
func (m *Machine) quorumExpiry(state *rightState) time.Duration {
	if !m.voterSet.isKnown() {
		return 0
	}
	expiries := make([]time.Duration, 0, len(m.voterSet.Voters))
	for _, voter := range m.voterSet.Voters {
		expiries = append(expiries, state.voteExpiry[voter])
	}
	slices.SortFunc(expiries, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return expiries[m.voterSet.quorum()-1]
}

// requestWhileUnserved is how long after the last sign of a coordinator rights are
// requested, in durations of a promise: long enough to replace a coordinator. Without a
// quorum, votes would only delay the holders that a new cluster chooses.
const requestWhileUnserved = 2

// shouldRequest reports whether this instance should request votes for a right: it
// already holds the right, or no live member holds it and this instance is the
// preferred holder among the live ones.
func (m *Machine) shouldRequest(now time.Duration, right string, state *rightState) bool {
	if m.leaving || !m.voter {
		return false
	}
	if state.held {
		return true
	}
	if right != coordinatorRight && (!m.everServed || now-m.lastServed > requestWhileUnserved*m.config.promiseTTL()) {
		return false
	}
	for address, p := range m.members.peers {
		if p.heldRights[right] && m.members.isLive(now, m.config.LiveFor, address) {
			return false
		}
	}
	return m.preferredHolder(now, right) == m.members.self.Address
}

// voteForSelf casts this instance's own vote for itself.
func (m *Machine) voteForSelf(now time.Duration, state *rightState) {
	self := m.members.self
	vote := m.castVote(now, state, self)
	if vote.Granted {
		state.voteExpiry[Voter{Address: self.Address, Incarnation: self.Incarnation}] = now + m.config.LeaseTTL
		if !state.held {
			state.clearAt = max(state.clearAt, now+vote.ClearAfter)
		}
	}
}

// castVote votes for a candidate, which must be a voter, unless a promise to another
// instance is still in force. An instance that leaves votes while it is a voter.
func (m *Machine) castVote(now time.Duration, state *rightState, from Member) Vote {
	candidate := from.Address
	if !m.voter || !m.voterSet.contains(from) {
		return Vote{Fence: state.highestFence}
	}
	if candidate != m.members.self.Address {
		m.withdrawOwnVote(state)
	}
	if state.promise.candidate != candidate && now < state.promise.expiresAt {
		return Vote{Fence: state.highestFence}
	}
	if state.promise.candidate != candidate {
		state.promise.formerExpiry = max(state.promise.formerExpiry, state.promise.expiresAt)
	}
	state.promise.candidate, state.promise.expiresAt = candidate, now+m.config.promiseTTL()
	clearAfter := max(0, state.promise.formerExpiry+m.config.TurnGap-now)
	return Vote{Granted: true, ClearAfter: clearAfter, Fence: state.highestFence}
}
