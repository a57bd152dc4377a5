package ownership

import (
	"maps"
	"slices"
	"time"
)

// Machine is one instance's part in who holds which right. It is not safe for
// concurrent use.
type Machine struct {
	config   Config
	self     Peer
	sequence uint64
	claims   map[Right]*claim
	// order is the rights sorted, so that messages do not depend on map order.
	order []Right
	// sent is when each message that may still be answered was sent.
	sent    map[uint64]time.Duration
	peers   map[string]Peer
	fresh   time.Duration
	leaving bool
}

// NewMachine returns the machine of an instance that knows nothing yet; its
// clock must start at 0 with it.
func NewMachine(self Peer, config Config) *Machine {
	return &Machine{
		config: config,
		self:   self,
		claims: make(map[Right]*claim),
		sent:   make(map[uint64]time.Duration),
		peers:  make(map[string]Peer),
	}
}

// Held returns the grant of a right at now, or false where it is not held.
func (m *Machine) Held(now time.Duration, r Right) (Grant, bool) {
	c, known := m.claims[r]
	if !known || !c.holds(now) {
		return Grant{}, false
	}
	return c.grant, true
}

// Step applies an event at now and returns the actions that follow.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case Listed:
		m.listed(now, e)
	case Fresh:
		m.fresh = max(m.fresh, e.At)
	case Received:
		actions = m.received(now, e.Message)
	case Replied:
		m.replied(now, e.Reply)
	case Resumed:
		m.resumed(now)
	case Released:
		actions = m.released(now, e)
	case FenceSeen:
		m.fenceSeen(e)
	case Leave:
		m.leaving = true
	case Tick:
	}
	for _, r := range m.touched(event) {
		if c, known := m.claims[r]; known {
			actions = append(actions, m.advance(now, r, c)...)
		}
	}
	if _, tick := event.(Tick); tick {
		actions = append(actions, m.send(now)...)
	}
	return actions
}

// touched lists the rights that an event may change: those that a message names
// and all others for every other event.
func (m *Machine) touched(event Event) []Right {
	var rights []Right
	switch e := event.(type) {
	case Received:
		for _, ask := range e.Message.Asks {
			rights = append(rights, ask.Right)
		}
		for _, release := range e.Message.Releases {
			rights = append(rights, release.Right)
		}
	case Replied:
		for _, vote := range e.Reply.Votes {
			rights = append(rights, vote.Right)
		}
	default:
		rights = m.order
	}
	return rights
}

func (m *Machine) listed(now time.Duration, e Listed) {
	for r, spec := range e.Rights {
		c, known := m.claims[r]
		if !known {
			c = &claim{granted: make(map[string]time.Duration), settled: now + m.config.settle()}
			m.claims[r] = c
		}
		c.arbitrated = spec.Arbitrated
		alone := m.config.AloneTerm
		if spec.Arbitrated {
			alone = 0
		}
		if !known {
			c.settled += alone
		}
		if c.voters.change(now, spec.Voters, m.config.settle(), alone) {
			c.ownerHeard = max(now, c.settled)
		}
	}
	for r, c := range m.claims {
		if _, listed := e.Rights[r]; listed {
			continue
		}
		c.voters.change(now, nil, m.config.settle(), m.config.AloneTerm)
		c.voters.expire(now)
		if len(c.voters.sets) == 1 && !c.held && c.vote.free(now) {
			delete(m.claims, r)
		}
	}
	m.order = slices.Sorted(maps.Keys(m.claims))
}

// advance lets time act on one right: promises run out, votes are given to
// itself, and the right is acquired, kept or lost.
func (m *Machine) advance(now time.Duration, r Right, c *claim) []Action {
	c.voters.expire(now)
	if c.held || m.wants(now, c) {
		m.voteForSelf(now, c)
	}
	end := c.voters.until(m.self.Name, c.granted, m.aloneUntil(c))
	var actions []Action
	if c.held && now >= max(c.grant.Until, end) {
		c.held, c.handing = false, nil
		actions = append(actions, Lost{Right: r})
	}
	switch {
	case c.held:
		c.grant.Until = max(c.grant.Until, end)
	case now < end && m.wants(now, c):
		actions = append(actions, m.acquire(now, r, c, end))
	}
	return append(actions, m.beginHandOver(r, c)...)
}

func (m *Machine) acquire(now time.Duration, r Right, c *claim, end time.Duration) Action {
	c.highest = nextFence(c.highest, m.config.Ordinal)
	c.held = true
	c.grant = Grant{Since: now, Until: end, Fence: c.highest}
	c.outgoing = nil
	acquired := Acquired{Right: r, Grant: c.grant}
	if c.incoming != nil && now < c.incoming.until {
		acquired.Handed, acquired.State = true, c.incoming.state
	}
	c.incoming = nil
	return acquired
}

// wants tells whether this instance should hold the right: the owner always,
// the successor while it holds and when the owner has been silent for so long
// that every promise to it has run out.
func (m *Machine) wants(now time.Duration, c *claim) bool {
	current := c.voters.current()
	if m.leaving || !current.has(m.self.Name) || now < c.settled {
		return false
	}
	if c.held || current.names[0] == m.self.Name {
		return c.handing == nil
	}
	if c.incoming != nil && now < c.incoming.until {
		return true
	}
	return current.names[1] == m.self.Name && now-c.ownerHeard > m.config.promise()
}

func (m *Machine) voteForSelf(now time.Duration, c *claim) {
	if c.vote.to != m.self && !c.vote.free(now) {
		return
	}
	c.vote = ballot{to: m.self, until: now + m.config.Term}
	c.granted[m.self.Name] = c.vote.until
}

// aloneUntil is how long the right may be held without another voter's word.
func (m *Machine) aloneUntil(c *claim) time.Duration {
	if c.arbitrated {
		return forever
	}
	return m.fresh + m.config.AloneTerm
}

// beginHandOver starts to give a held right up when this instance leaves or is
// no longer among the voters.
func (m *Machine) beginHandOver(r Right, c *claim) []Action {
	current := c.voters.current()
	stays := current.has(m.self.Name) && !m.leaving
	if !c.held || c.handing != nil || stays || len(current.names) == 0 {
		return nil
	}
	to, known := m.peers[current.names[0]]
	if !known || to.Name == m.self.Name {
		return nil
	}
	c.handing = &to
	return []Action{HandOver{Right: r, To: to}}
}

// resumed distrusts every vote that was counted before the pause.
func (m *Machine) resumed(now time.Duration) {
	clear(m.sent)
	for _, c := range m.claims {
		clear(c.granted)
		c.grant.Until = min(c.grant.Until, now)
		if c.vote.to == m.self {
			c.vote = ballot{}
		}
		c.incoming = nil
	}
	m.fresh = min(m.fresh, now-m.config.AloneTerm)
}

func (m *Machine) fenceSeen(e FenceSeen) {
	c, known := m.claims[e.Right]
	if !known {
		return
	}
	c.highest = max(c.highest, e.Number)
	if c.held && c.highest > c.grant.Fence {
		c.highest = nextFence(c.highest, m.config.Ordinal)
		c.grant.Fence = c.highest
	}
}

// HeldCount returns the number of rights that are held at now.
func (m *Machine) HeldCount(now time.Duration) int {
	held := 0
	for _, c := range m.claims {
		if c.holds(now) {
			held++
		}
	}
	return held
}

// Settled tells whether every right that this instance owns by the list is held,
// or could have been.
func (m *Machine) Settled(now time.Duration) bool {
	for _, c := range m.claims {
		names := c.voters.current().names
		owner := len(names) > 0 && names[0] == m.self.Name
		if owner && !c.holds(now) && now < c.settled+m.config.promise() {
			return false
		}
	}
	return true
}
