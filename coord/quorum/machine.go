package quorum

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// claim is one instance's part in one right.
type claim struct {
	vote ballot
	// granted is until when each member's vote for this instance counts.
	granted map[string]time.Duration
	clearAt time.Duration
	held    bool
	// until is the end of the lease as last computed.
	until   time.Duration
	fence   uint64
	highest uint64
}

// ballot is a voter's promise.
type ballot struct {
	to    string
	until time.Duration
	// formerEnd is when the last promise to another instance ended.
	formerEnd time.Duration
}

// Machine is one instance's part in the roster and in all rights. It is not
// safe for concurrent use. Its clock must count suspended time.
type Machine struct {
	config   Config
	roster   *roster
	rights   []string
	claims   map[string]*claim
	started  time.Duration
	seeds    []string
	sequence uint64
	sent     map[uint64]sentBeat
	released map[string]time.Duration
	settled  bool
	leaving  bool
	voting   bool
	// seedsAt is when the seeds that are no peers get the next beat.
	seedsAt time.Duration
	// spreadUntil is until when beats carry the roster.
	spreadUntil time.Duration
	// minFence is the lowest fencing number that may be taken, so that numbers
	// rise over a restart of all instances.
	minFence func() uint64
}

type sentBeat struct {
	at     time.Duration
	voters uint64
}

// NewMachine returns the machine of an instance that starts at now and knows
// its seeds only. minFence returns the lowest fencing number that a new right
// may take; numbers must be unique to this instance, see NextFence.
func NewMachine(now time.Duration, self Member, seeds, rights []string, config Config, minFence func() uint64) *Machine {
	m := &Machine{
		config: config, roster: newRoster(self, config), rights: slices.Clone(rights),
		claims: make(map[string]*claim), started: now, sent: make(map[uint64]sentBeat),
		released: make(map[string]time.Duration), minFence: minFence,
	}
	slices.Sort(m.rights)
	for _, right := range m.rights {
		m.claims[right] = &claim{granted: make(map[string]time.Duration), vote: ballot{formerEnd: now + config.promise()}}
	}
	m.spreadUntil = now + spreadFor
	m.AddSeeds(now, seeds)
	return m
}

// AddSeeds makes seeds the addresses that are tried in any case. Those that
// aren't members yet join the roster.
func (m *Machine) AddSeeds(now time.Duration, seeds []string) {
	m.seeds = m.seeds[:0]
	for _, s := range seeds {
		if s != m.roster.self.Address {
			m.seeds = append(m.seeds, s)
			m.roster.add(now, Member{Address: s})
		}
	}
}

// Held returns the fencing number of a right that is held and clear at now.
func (m *Machine) Held(now time.Duration, right string) (fence uint64, ok bool) {
	c := m.claims[right]
	if c == nil || !c.held || now >= c.until || now < c.clearAt {
		return 0, false
	}
	return c.fence, true
}

// HeldRights lists the rights held at now, clear or not.
func (m *Machine) HeldRights(now time.Duration) []string {
	var held []string
	for _, right := range m.rights {
		if c := m.claims[right]; c.held && now < c.until {
			held = append(held, right)
		}
	}
	return held
}

// Holder returns the address of the live instance that holds a right, as last
// heard; empty where none is known.
func (m *Machine) Holder(now time.Duration, right string) string {
	if c := m.claims[right]; c != nil && c.held && now < c.until {
		return m.roster.self.Address
	}
	for address, p := range m.roster.peers {
		if p.held[right] && m.roster.live(now, m.liveFor(), address) {
			return address
		}
	}
	return ""
}

// Settled tells whether this instance votes.
func (m *Machine) Settled() bool { return m.settled }

// Self returns this instance's own entry in the roster.
func (m *Machine) Self() Member { return m.roster.self }

// Members lists the roster, this instance included.
func (m *Machine) Members() []Member { return m.roster.members() }

// Size counts the members of the cluster that have not left.
func (m *Machine) Size() int { return m.roster.current().size }

// Voters counts the voters of the cluster.
func (m *Machine) Voters() int { return len(m.roster.voters()) }

// IsVoter tells whether a member is a voter.
func (m *Machine) IsVoter(address string) bool { return m.roster.isVoter(address) }

// Voting tells whether this instance is a voter. Voters hear every member;
// the others hear the voters only.
func (m *Machine) Voting() bool { return m.roster.isVoter(m.roster.self.Address) }

// Follows tells whether a member of this cluster is no voter, and so hears the
// voters only.
func (m *Machine) Follows(address string) bool {
	p := m.roster.peers[address]
	return p != nil && m.roster.inScope(p.member) && !m.roster.isVoter(address)
}

// Interval is the time until the next beat.
func (m *Machine) Interval() time.Duration {
	if m.Voting() || m.config.FollowersPerSecond <= 0 {
		return m.config.BeatEvery
	}
	share := time.Duration(float64(m.Size()) / m.config.FollowersPerSecond * float64(time.Second))
	return max(m.config.BeatEvery, share)
}

// liveFor is how long a member counts as live after it was last heard.
func (m *Machine) liveFor() time.Duration { return max(m.config.LiveFor, followedBeats*m.Interval()) }

// followedBeats is the number of its own beats after which a follower takes a
// voter that answered none of them as lost.
const followedBeats = 3

// Live lists the addresses of the other voters that were heard lately.
func (m *Machine) Live(now time.Duration) []string {
	var names []string
	for _, address := range m.roster.voters() {
		if m.roster.live(now, m.liveFor(), address) {
			names = append(names, address)
		}
	}
	return names
}

// Leave releases every right; the roster says that this instance has left.
func (m *Machine) Leave(now time.Duration) []Action {
	m.leaving = true
	m.roster.self.Left = true
	m.roster.changed()
	m.spreadUntil = now + spreadFor
	var actions []Action
	for _, right := range m.rights {
		actions = append(actions, m.release(now, right)...)
	}
	return actions
}

func (m *Machine) release(now time.Duration, right string) []Action {
	c := m.claims[right]
	if !c.held {
		return nil
	}
	c.held = false
	clear(c.granted)
	m.released[right] = now
	if c.vote.to == m.roster.self.Address {
		c.vote.until = min(c.vote.until, now)
	}
	return []Action{Lost{Right: right}}
}

// Tick lets time pass: leases end, silent members are removed, and the
// instance may settle.
func (m *Machine) Tick(now time.Duration) []Action {
	m.settle(now)
	actions := m.roster.remove(now, m.config)
	m.spreadChanges(now, actions)
	actions = append(actions, m.followRole(now)...)
	for _, right := range m.rights {
		actions = append(actions, m.advance(now, right)...)
	}
	maps.DeleteFunc(m.sent, func(_ uint64, s sentBeat) bool { return now-s.at >= m.config.Term })
	maps.DeleteFunc(m.released, func(_ string, at time.Duration) bool { return now-at >= m.config.promise() })
	return actions
}

// settle decides whether this instance may vote. All that it may have promised
// before a restart must have run out, and it must know the roster: from a
// settled member, from every seed, or after a long wait.
func (m *Machine) settle(now time.Duration) {
	if m.settled || now < m.started+m.config.promise() {
		return
	}
	seeds, settledPeer := true, false
	for _, s := range m.seeds {
		seeds = seeds && m.roster.peers[s].everHeard
	}
	for _, p := range m.roster.peers {
		settledPeer = settledPeer || p.settled && m.roster.inScope(p.member)
	}
	m.settled = seeds || settledPeer || now >= m.started+m.config.SeedWait
}

// followRole takes up or gives up the part of a voter. What a new voter may not
// know is that another voter of the former set was bound to a holder, so it takes
// itself as bound for as long. Only voters hear what all members use, so one that
// is no voter any more holds nothing.
func (m *Machine) followRole(now time.Duration) []Action {
	if voting := m.Voting(); voting == m.voting {
		return nil
	}
	m.voting = !m.voting
	var actions []Action
	for _, right := range m.rights {
		if m.voting {
			c := m.claims[right]
			c.vote.formerEnd = max(c.vote.formerEnd, now+m.config.promise())
			continue
		}
		actions = append(actions, m.release(now, right)...)
	}
	if m.voting {
		m.roster.learnAnew(now)
	}
	return actions
}

// advance recounts one right's votes.
func (m *Machine) advance(now time.Duration, right string) []Action {
	c := m.claims[right]
	if !m.wants(now, right, c) && !c.held {
		return nil
	}
	m.voteForSelf(now, c)
	end := m.leaseEnd(c)
	if c.held {
		if c.until = max(c.until, end); now < c.until {
			return nil
		}
		c.held = false
		return []Action{Lost{Right: right}}
	}
	if now >= end {
		return nil
	}
	c.held, c.until = true, end
	c.fence = max(c.highest+1, m.minFence())
	c.fence = m.unique(c.fence)
	c.highest = c.fence
	return []Action{Acquired{Right: right, Fence: c.fence, ClearAt: c.clearAt}}
}

// unique raises a fencing number until its low bits are this instance's.
func (m *Machine) unique(fence uint64) uint64 {
	ordinal := m.minFence() & fenceOrdinalMask
	next := fence&^uint64(fenceOrdinalMask) | ordinal
	if next < fence {
		next += fenceOrdinalMask + 1
	}
	return next
}

// fenceOrdinalMask covers the bits of a fencing number that tell instances apart.
const fenceOrdinalMask = 1<<24 - 1

// Fence builds a fencing number from a counter and the instance's ordinal.
func Fence(counter uint64, ordinal uint32) uint64 {
	return counter<<24 | uint64(ordinal)&fenceOrdinalMask
}

// leaseEnd is until when enough voters have voted for this instance.
func (m *Machine) leaseEnd(c *claim) time.Duration {
	voters := m.roster.voters()
	ends := make([]time.Duration, 0, len(voters))
	for _, v := range voters {
		ends = append(ends, c.granted[v])
	}
	required := m.roster.required()
	if len(ends) < required {
		return 0
	}
	slices.SortFunc(ends, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return ends[required-1]
}

// wants tells whether this instance should ask for a right: where no live
// member holds it and this instance is the preferred one among the live.
func (m *Machine) wants(now time.Duration, right string, c *claim) bool {
	if m.leaving || !m.settled || !m.voting {
		return false
	}
	if c.held {
		return true
	}
	for address, p := range m.roster.peers {
		if p.held[right] && m.roster.live(now, m.config.LiveFor, address) {
			return false
		}
	}
	return m.preferred(now, right) == m.roster.self.Address
}

func (m *Machine) voteForSelf(now time.Duration, c *claim) {
	self := m.roster.self.Address
	v := m.cast(now, c, self)
	if v.Granted {
		c.granted[self] = now + m.config.Term
		c.clearAt = max(c.clearAt, now+v.ClearAfter)
	}
}

// cast votes for an instance where no promise to another stands against it.
func (m *Machine) cast(now time.Duration, c *claim, to string) Vote {
	if !m.settled || !m.voting || c.vote.to != to && now < c.vote.until {
		return Vote{Fence: c.highest}
	}
	if c.vote.to != to {
		c.vote.formerEnd = max(c.vote.formerEnd, c.vote.until)
	}
	c.vote.to, c.vote.until = to, now+m.config.promise()
	clearAfter := max(0, c.vote.formerEnd+m.config.TurnGap-now)
	return Vote{Granted: true, ClearAfter: clearAfter, Fence: c.highest}
}
