package ownership

import (
	"maps"
	"slices"
	"time"
)

// dueMessages returns one message for each peer to request votes from or to
// send a release to.
func (m *Machine) dueMessages(now time.Duration) []Action {
	m.dropStaleMessages(now)
	messages := make(map[string]*Message)
	messageTo := func(name string) *Message {
		if messages[name] == nil {
			messages[name] = &Message{From: m.self}
		}
		return messages[name]
	}
	for _, r := range m.sortedRights {
		c := m.claims[r]
		if m.shouldHold(now, c) || c.held {
			for _, name := range m.voteTargets(now, c) {
				messageTo(name).VoteRequests = append(messageTo(name).VoteRequests, VoteRequest{Right: r, Fence: c.highestFence})
			}
		}
		if c.outgoing != nil && now >= c.outgoing.expiresAt {
			c.outgoing = nil
		}
		if c.outgoing != nil {
			for name := range c.outgoing.unacknowledged {
				messageTo(name).Releases = append(messageTo(name).Releases, c.outgoing.release)
			}
		}
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		actions = append(actions, m.sendTo(now, name, *messages[name]))
	}
	return actions
}

// voteTargets lists the voters to request votes from. A holder whose successor
// responds does not ask the third voter, which halves the messages.
func (m *Machine) voteTargets(now time.Duration, c *claim) []string {
	current := c.voters.current()
	if c.held && len(c.voters.sets) == 1 && len(current.names) == 3 && current.names[0] == m.self.Name {
		successor := current.names[1]
		if c.voteExpiry[successor]-now > m.config.TTL/2 {
			return []string{successor}
		}
	}
	return c.voters.others(m.self.Name)
}

func (m *Machine) sendTo(now time.Duration, to string, message Message) Action {
	m.sequence++
	message.Sequence = m.sequence
	m.sentAt[m.sequence] = now
	return Send{To: to, Message: message}
}

// dropStaleMessages forgets the messages whose replies would arrive too late to
// count.
func (m *Machine) dropStaleMessages(now time.Duration) {
	maps.DeleteFunc(m.sentAt, func(_ uint64, at time.Duration) bool { return now-at >= m.config.TTL })
}

// handleReply counts the granted votes, each valid from when it was requested.
func (m *Machine) handleReply(now time.Duration, reply Reply) {
	m.peers[reply.From.Name] = reply.From
	m.confirmReleases(reply)
	requestedAt, known := m.sentAt[reply.Sequence]
	if !known {
		return
	}
	delete(m.sentAt, reply.Sequence)
	for _, vote := range reply.Votes {
		c, listed := m.claims[vote.Right]
		if !listed {
			continue
		}
		c.highestFence = max(c.highestFence, vote.Fence)
		if !vote.Granted || reply.Sequence <= c.releasedThrough {
			continue
		}
		c.voteExpiry[reply.From.Name] = max(c.voteExpiry[reply.From.Name], requestedAt+m.config.TTL)
	}
	m.dropStaleMessages(now)
}

func (m *Machine) confirmReleases(reply Reply) {
	for _, r := range reply.Released {
		if c, known := m.claims[r]; known && c.outgoing != nil && c.outgoing.release.Sequence <= reply.Sequence {
			delete(c.outgoing.unacknowledged, reply.From.Name)
		}
	}
}

// handleMessage processes a peer's message and returns the reply to it.
func (m *Machine) handleMessage(now time.Duration, message Message) []Action {
	m.peers[message.From.Name] = message.From
	reply := Reply{From: m.self, Sequence: message.Sequence}
	var actions []Action
	for _, release := range message.Releases {
		reply.Released = append(reply.Released, release.Right)
		if c, known := m.claims[release.Right]; known {
			actions = append(actions, m.acceptRelease(now, message.From, c, release)...)
		}
	}
	for _, request := range message.VoteRequests {
		vote := Vote{Right: request.Right}
		if c, known := m.claims[request.Right]; known {
			c.highestFence = max(c.highestFence, request.Fence)
			actions = append(actions, m.handOverToOwner(now, message.From, request.Right, c)...)
			vote.Granted = m.castVote(now, message, c)
			vote.Fence = c.highestFence
		}
		reply.Votes = append(reply.Votes, vote)
	}
	return append(actions, Respond{Reply: reply})
}

// castVote votes for the sender unless a promise to another candidate is still
// valid. It votes only if the current list names both the sender and this
// instance: a vote under a former list would outlast the time during which
// others still require that list's voters.
// An owner also displaces this instance's vote for itself, as long as this
// instance does not hold the right.
func (m *Machine) castVote(now time.Duration, message Message, c *claim) bool {
	from := message.From
	current := c.voters.current()
	fromOwner := len(current.names) > 0 && current.names[0] == from.Name
	if fromOwner {
		c.ownerLastSeen = now
	}
	if !current.contains(from.Name) || !current.contains(m.self.Name) || now < c.mayVoteFrom || c.held {
		return false
	}
	if c.promise.to == from && message.Sequence < c.promise.sequence {
		return false
	}
	yields := fromOwner && c.promise.to == m.self
	if c.promise.to != from && !c.promise.isExpired(now) && !yields {
		return false
	}
	c.promise = promise{to: from, sequence: message.Sequence, expiresAt: now + m.config.promiseTTL()}
	delete(c.voteExpiry, m.self.Name)
	return true
}

// handOverToOwner starts a hand-over of a held right to its owner by the
// current list, if the message is from that owner.
func (m *Machine) handOverToOwner(now time.Duration, from Peer, r Right, c *claim) []Action {
	current := c.voters.current()
	if !c.isHeld(now) || c.recipient != nil || len(current.names) == 0 || current.names[0] != from.Name {
		return nil
	}
	c.recipient = &from
	return []Action{HandOver{Right: r, To: from}}
}

// finishHandOver gives the right up and sends a release to the voters and the
// recipient. If the right has expired meanwhile, no release is sent.
func (m *Machine) finishHandOver(now time.Duration, e Released) []Action {
	c, known := m.claims[e.Right]
	if !known || !c.held || c.recipient == nil {
		return nil
	}
	to := *c.recipient
	stillHeld := c.isHeld(now)
	c.held, c.recipient = false, nil
	c.releasedThrough = m.sequence
	clear(c.voteExpiry)
	actions := []Action{Lost{Right: e.Right}}
	if !stillHeld {
		return actions
	}
	c.promise = promise{to: to, expiresAt: now + m.config.promiseTTL()}
	c.outgoing = &outgoingRelease{
		release:        Release{Right: e.Right, Sequence: m.sequence + 1, To: to, Fence: c.highestFence, State: e.State},
		unacknowledged: make(map[string]bool),
		expiresAt:      now + m.config.TTL,
	}
	for _, name := range append(c.voters.others(m.self.Name), to.Name) {
		c.outgoing.unacknowledged[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.outgoing.unacknowledged)) {
		message := Message{From: m.self, Releases: []Release{c.outgoing.release}}
		actions = append(actions, m.sendTo(now, name, message))
	}
	return actions
}

// acceptRelease moves the vote for a former holder to the release's recipient.
// If that is this instance, it requests the other voters' votes at once.
func (m *Machine) acceptRelease(now time.Duration, from Peer, c *claim, release Release) []Action {
	c.highestFence = max(c.highestFence, release.Fence)
	forSelf := release.To == m.self
	if c.promise.to == from && !c.promise.isExpired(now) && c.promise.sequence < release.Sequence {
		c.promise = promise{to: release.To, expiresAt: now + m.config.promiseTTL()}
		if forSelf {
			c.promise = promise{}
		}
	}
	duplicate := c.incoming != nil && c.incoming.from == from && c.incoming.sequence >= release.Sequence
	if !forSelf || c.held || duplicate {
		return nil
	}
	c.incoming = &incomingRelease{from: from, sequence: release.Sequence, state: release.State, expiresAt: now + m.config.TTL}
	var actions []Action
	for _, name := range c.voters.others(m.self.Name) {
		message := Message{From: m.self, VoteRequests: []VoteRequest{{Right: release.Right, Fence: c.highestFence}}}
		actions = append(actions, m.sendTo(now, name, message))
	}
	return actions
}
