package quorum

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Beat returns the next beat and the addresses to send it to.
func (m *Machine) Beat(now time.Duration) (Beat, []string) {
	m.sequence++
	b := Beat{
		From: m.roster.self, Sequence: m.sequence, Settled: m.settled,
		Voters: m.roster.current().votersDigest, Roster: m.roster.current().rosterDigest, Held: m.HeldRights(now),
		Released: slices.Sorted(maps.Keys(m.released)),
	}
	if m.voting {
		b.Silent = m.roster.silentFor(now, m.config.RemoveAfter)
	}
	if now < m.spreadUntil {
		b.Members = m.roster.membersOf(m.roster.self)
	}
	for _, right := range m.rights {
		if c := m.claims[right]; c.held || m.wants(now, right, c) {
			b.Asks = append(b.Asks, Ask{Right: right, Fence: c.highest})
		}
	}
	m.sent[m.sequence] = sentBeat{at: now, voters: b.Voters}
	return b, m.targets(now)
}

// targets lists the voters, members that have left and still speak, which thus
// learn of it, and seeds, which may be back under another incarnation.
func (m *Machine) targets(now time.Duration) []string {
	names := make(map[string]bool)
	for address, p := range m.roster.peers {
		spoke := p.everHeard && now-p.heard <= m.config.LiveFor
		if m.roster.isVoter(address) || p.member.Left && spoke && m.roster.inScope(p.member) {
			names[address] = true
		}
	}
	if m.Size() <= m.config.MaxVoters && !m.config.OwnRegion || !m.settled || now >= m.seedsAt {
		m.seedsAt = now + m.config.SeedEvery
		for _, s := range m.seeds {
			names[s] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// Receive answers a beat.
func (m *Machine) Receive(now time.Duration, b Beat) (Reply, []Action) {
	p, actions := m.roster.heardFrom(now, b.From)
	for _, member := range b.Members {
		if member.Address != b.From.Address {
			actions = append(actions, m.roster.add(now, member)...)
		}
	}
	actions = append(actions, m.followRole(now)...)
	reply := Reply{Settled: m.settled, Sequence: b.Sequence, Held: m.HeldRights(now)}
	if p != nil && m.roster.inScope(b.From) {
		p.settled, p.held, p.silent = b.Settled, setOf(b.Held), setOf(b.Silent)
		for _, right := range b.Released {
			m.releasedBy(now, right, b.From.Address)
		}
		reply.Votes = m.votes(now, b)
	}
	m.spreadChanges(now, actions)
	view := m.roster.current()
	reply.From, reply.Voters, reply.Roster = m.roster.self, view.votersDigest, view.rosterDigest
	if reply.Roster != b.Roster {
		reply.Members = m.roster.membersOf(b.From)
	}
	return reply, actions
}

// spreadFor is how long beats carry the roster after a change, or after a peer
// had another one; a few beats.
const spreadFor = time.Second

func (m *Machine) spreadChanges(now time.Duration, actions []Action) {
	if len(actions) > 0 {
		m.spreadUntil = now + spreadFor
	}
}

func (m *Machine) votes(now time.Duration, b Beat) []Vote {
	votes := make([]Vote, 0, len(b.Asks))
	for _, ask := range b.Asks {
		vote := Vote{}
		if c := m.claims[ask.Right]; c != nil {
			c.highest = max(c.highest, ask.Fence)
			vote = m.cast(now, c, b.From.Address)
		}
		vote.Right = ask.Right
		votes = append(votes, vote)
	}
	return votes
}

// releasedBy frees the vote for a member that gave a right up.
func (m *Machine) releasedBy(now time.Duration, right, from string) {
	if c := m.claims[right]; c != nil && c.vote.to == from && now < c.vote.until {
		c.vote.until = now
	}
}

// Replied counts the votes of a reply from when they were asked for.
func (m *Machine) Replied(now time.Duration, r Reply) []Action {
	p, actions := m.roster.heardFrom(now, r.From)
	if p != nil && m.roster.inScope(r.From) {
		p.settled, p.held = r.Settled, setOf(r.Held)
	}
	for _, member := range r.Members {
		if member.Address != r.From.Address {
			actions = append(actions, m.roster.add(now, member)...)
		}
	}
	m.spreadChanges(now, actions)
	actions = append(actions, m.followRole(now)...)
	sent, known := m.sent[r.Sequence]
	voters := m.roster.current().votersDigest
	if r.Roster != m.roster.current().rosterDigest && m.roster.inScope(r.From) {
		m.spreadUntil = now + spreadFor
	}
	if p == nil || !known || r.Voters != voters || sent.voters != voters {
		return actions
	}
	for _, v := range r.Votes {
		c := m.claims[v.Right]
		if c == nil || m.leaving {
			continue
		}
		c.highest = max(c.highest, v.Fence)
		if v.Granted {
			c.granted[r.From.Address] = max(c.granted[r.From.Address], sent.at+m.config.Term)
			if !c.held {
				c.clearAt = max(c.clearAt, now+v.ClearAfter)
			}
		}
		actions = append(actions, m.advance(now, v.Right)...)
	}
	return actions
}

// preferred is the live, settled voter that should hold a right: one of the
// right's data centre first, then by rendezvous hashing.
func (m *Machine) preferred(now time.Duration, right string) string {
	dataCentre, _, _ := strings.Cut(right, "/")
	best, bestLocal, bestScore := "", false, uint64(0)
	consider := func(member Member) {
		local := member.DataCentre == dataCentre
		score := xxhash.Sum64String(right + "\x00" + member.Address)
		if best == "" || local && !bestLocal || local == bestLocal && score > bestScore {
			best, bestLocal, bestScore = member.Address, local, score
		}
	}
	consider(m.roster.self)
	for address, p := range m.roster.peers {
		if p.settled && m.roster.isVoter(address) && m.roster.live(now, m.config.LiveFor, address) {
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
