package ownership

import (
	"maps"
	"slices"
	"time"
)

// Machine is one instance's state machine for all rights: it requests votes as
// a candidate and grants them as a voter. It is not safe for concurrent use.
type Machine struct {
	config   Config
	self     Peer
	sequence uint64
	claims   map[Right]*claim
	// sortedRights keeps messages independent of map order.
	sortedRights []Right
	// sentAt is when each message whose reply would still count was sent, by
	// sequence.
	sentAt map[uint64]time.Duration
	peers  map[string]Peer
	// listConfirmedAt is the last time at which the platform's list was known
	// to name this instance.
	listConfirmedAt time.Duration
	leaving         bool
}

// NewMachine returns the machine of an instance without memory of an earlier
// run. The clock passed to Step must start at 0 together with it.
func NewMachine(self Peer, config Config) *Machine {
	return &Machine{
		config: config,
		self:   self,
		claims: make(map[Right]*claim),
		sentAt: make(map[uint64]time.Duration),
		peers:  make(map[string]Peer),
	}
}

// Held returns the grant of a right at now, or false if the right is not held.
func (m *Machine) Held(now time.Duration, r Right) (Grant, bool) {
	c, known := m.claims[r]
	if !known || !c.isHeld(now) {
		return Grant{}, false
	}
	return c.grant, true
}

// Step applies an event at now, the time since the machine's start, and returns
// the actions that the caller must carry out.
func (m *Machine) Step(now time.Duration, event Event) []Action {
	var actions []Action
	switch e := event.(type) {
	case ListChanged:
		m.updateRights(now, e)
	case ListConfirmed:
		m.listConfirmedAt = max(m.listConfirmedAt, e.At)
	case Received:
		actions = m.handleMessage(now, e.Message)
	case Replied:
		m.handleReply(now, e.Reply)
	case Resumed:
		m.handleResume(now)
	case Released:
		actions = m.finishHandOver(now, e)
	case FenceSeen:
		m.recordFence(e)
	case Leave:
		m.leaving = true
	case Tick:
	}
	for _, r := range m.affectedRights(event) {
		if c, known := m.claims[r]; known {
			actions = append(actions, m.advance(now, r, c)...)
		}
	}
	if _, tick := event.(Tick); tick {
		actions = append(actions, m.dueMessages(now)...)
	}
	return actions
}

// affectedRights lists the rights that an event may change: those named in a
// message or reply, and all rights for any other event.
func (m *Machine) affectedRights(event Event) []Right {
	var rights []Right
	switch e := event.(type) {
	case Received:
		for _, request := range e.Message.VoteRequests {
			rights = append(rights, request.Right)
		}
		for _, release := range e.Message.Releases {
			rights = append(rights, release.Right)
		}
	case Replied:
		for _, vote := range e.Reply.Votes {
			rights = append(rights, vote.Right)
		}
	default:
		rights = m.sortedRights
	}
	return rights
}

func (m *Machine) updateRights(now time.Duration, e ListChanged) {
	for r, spec := range e.Rights {
		c, known := m.claims[r]
		if !known {
			c = &claim{voteExpiry: make(map[string]time.Duration), mayVoteFrom: now + m.config.formerVotesTTL()}
			m.claims[r] = c
		}
		c.endpointFencing = spec.EndpointFencing
		soloTTL := m.config.SoloTTL
		if spec.EndpointFencing {
			soloTTL = 0
		}
		if !known {
			c.mayVoteFrom += soloTTL
		}
		if c.voters.replace(now, spec.Voters, m.config.formerVotesTTL(), soloTTL) {
			c.ownerLastSeen = max(now, c.mayVoteFrom)
		}
	}
	for r, c := range m.claims {
		if _, listed := e.Rights[r]; listed {
			continue
		}
		c.voters.replace(now, nil, m.config.formerVotesTTL(), m.config.SoloTTL)
		c.voters.dropExpired(now)
		if len(c.voters.sets) == 1 && !c.held && c.promise.isExpired(now) {
			delete(m.claims, r)
		}
	}
	m.sortedRights = slices.Sorted(maps.Keys(m.claims))
}

// advance brings one right up to date with now: it drops voter sets that are no
// longer required, votes for itself, and acquires, renews or loses the right.
func (m *Machine) advance(now time.Duration, r Right, c *claim) []Action {
	c.voters.dropExpired(now)
	if c.held || m.shouldHold(now, c) {
		m.voteForSelf(now, c)
	}
	expiry := c.voters.voteExpiry(m.self.Name, c.voteExpiry, m.soloExpiry(c))
	var actions []Action
	if c.held && now >= max(c.grant.Until, expiry) {
		c.held, c.recipient = false, nil
		actions = append(actions, Lost{Right: r})
	}
	switch {
	case c.held:
		c.grant.Until = max(c.grant.Until, expiry)
	case now < expiry && m.shouldHold(now, c):
		actions = append(actions, m.acquire(now, r, c, expiry))
	}
	return append(actions, m.handOverIfRemoved(r, c)...)
}

func (m *Machine) acquire(now time.Duration, r Right, c *claim, expiry time.Duration) Action {
	c.highestFence = nextFence(c.highestFence, m.config.Ordinal)
	c.held = true
	c.grant = Grant{Since: now, Until: expiry, Fence: c.highestFence}
	c.outgoing = nil
	acquired := Acquired{Right: r, Grant: c.grant}
	if c.incoming != nil && now < c.incoming.expiresAt {
		acquired.Handed, acquired.State = true, c.incoming.state
	}
	c.incoming = nil
	return acquired
}

// shouldHold reports whether this instance should hold the right: the owner and
// the current holder, unless they are handing it over; the recipient of a
// release; and the successor once the owner has been silent for so long that
// every promise to it has expired.
func (m *Machine) shouldHold(now time.Duration, c *claim) bool {
	current := c.voters.current()
	if m.leaving || !current.contains(m.self.Name) || now < c.mayVoteFrom {
		return false
	}
	if c.held || current.names[0] == m.self.Name {
		return c.recipient == nil
	}
	if c.incoming != nil && now < c.incoming.expiresAt {
		return true
	}
	return current.names[1] == m.self.Name && now-c.ownerLastSeen > m.config.promiseTTL()
}

func (m *Machine) voteForSelf(now time.Duration, c *claim) {
	if c.promise.to != m.self && !c.promise.isExpired(now) {
		return
	}
	c.promise = promise{to: m.self, expiresAt: now + m.config.TTL}
	c.voteExpiry[m.self.Name] = c.promise.expiresAt
}

// soloExpiry returns until when the right may be held without another voter.
func (m *Machine) soloExpiry(c *claim) time.Duration {
	if c.endpointFencing {
		return forever
	}
	return m.listConfirmedAt + m.config.SoloTTL
}

// handOverIfRemoved starts a hand-over of a held right when this instance is
// leaving or is no longer among the voters.
func (m *Machine) handOverIfRemoved(r Right, c *claim) []Action {
	current := c.voters.current()
	stays := current.contains(m.self.Name) && !m.leaving
	if !c.held || c.recipient != nil || stays || len(current.names) == 0 {
		return nil
	}
	to, known := m.peers[current.names[0]]
	if !known || to.Name == m.self.Name {
		return nil
	}
	c.recipient = &to
	return []Action{HandOver{Right: r, To: to}}
}

// handleResume discards every vote that was counted before the pause.
func (m *Machine) handleResume(now time.Duration) {
	clear(m.sentAt)
	for _, c := range m.claims {
		clear(c.voteExpiry)
		c.grant.Until = min(c.grant.Until, now)
		if c.promise.to == m.self {
			c.promise = promise{}
		}
		c.incoming = nil
	}
	m.listConfirmedAt = min(m.listConfirmedAt, now-m.config.SoloTTL)
}

// recordFence notes a fencing token that an endpoint has seen. A holder with a
// lower one replaces its own by a higher one.
func (m *Machine) recordFence(e FenceSeen) {
	c, known := m.claims[e.Right]
	if !known {
		return
	}
	c.highestFence = max(c.highestFence, e.Fence)
	if c.held && c.highestFence > c.grant.Fence {
		c.highestFence = nextFence(c.highestFence, m.config.Ordinal)
		c.grant.Fence = c.highestFence
	}
}

// HeldCount returns the number of rights held at now.
func (m *Machine) HeldCount(now time.Duration) int {
	held := 0
	for _, c := range m.claims {
		if c.isHeld(now) {
			held++
		}
	}
	return held
}

// Settled reports whether every right that this instance owns by the list is
// held, or had enough time to be acquired.
func (m *Machine) Settled(now time.Duration) bool {
	for _, c := range m.claims {
		names := c.voters.current().names
		owner := len(names) > 0 && names[0] == m.self.Name
		if owner && !c.isHeld(now) && now < c.mayVoteFrom+m.config.promiseTTL() {
			return false
		}
	}
	return true
}
