package ownership

import (
	"maps"
	"slices"
	"time"
)

// send builds one message for every peer that is asked for a vote or told of a
// release.
func (m *Machine) send(now time.Duration) []Action {
	m.forget(now)
	messages := make(map[string]*Message)
	to := func(name string) *Message {
		if messages[name] == nil {
			messages[name] = &Message{From: m.self}
		}
		return messages[name]
	}
	for _, r := range m.order {
		c := m.claims[r]
		if m.wants(now, c) || c.held {
			for _, name := range m.asked(now, c) {
				to(name).Asks = append(to(name).Asks, Ask{Right: r, Fence: c.highest})
			}
		}
		if c.outgoing != nil && now >= c.outgoing.until {
			c.outgoing = nil
		}
		if c.outgoing != nil {
			for name := range c.outgoing.waiting {
				to(name).Releases = append(to(name).Releases, c.outgoing.release)
			}
		}
	}
	var actions []Action
	for _, name := range slices.Sorted(maps.Keys(messages)) {
		actions = append(actions, m.dispatch(now, name, *messages[name]))
	}
	return actions
}

// asked lists whom to ask for a vote. A holder whose successor answers does not
// ask the third voter, which halves the calls.
func (m *Machine) asked(now time.Duration, c *claim) []string {
	current := c.voters.current()
	if c.held && len(c.voters.sets) == 1 && len(current.names) == 3 && current.names[0] == m.self.Name {
		successor := current.names[1]
		if c.granted[successor]-now > m.config.Term/2 {
			return []string{successor}
		}
	}
	return c.voters.others(m.self.Name)
}

func (m *Machine) dispatch(now time.Duration, to string, message Message) Action {
	m.sequence++
	message.Sequence = m.sequence
	m.sent[m.sequence] = now
	return Send{To: to, Message: message}
}

// forget drops the messages whose answers would come too late to count.
func (m *Machine) forget(now time.Duration) {
	maps.DeleteFunc(m.sent, func(_ uint64, at time.Duration) bool { return now-at >= m.config.Term })
}

// replied counts the votes from when they were asked for.
func (m *Machine) replied(now time.Duration, reply Reply) {
	m.peers[reply.From.Name] = reply.From
	m.releasesTaken(reply)
	asked, known := m.sent[reply.Sequence]
	if !known {
		return
	}
	delete(m.sent, reply.Sequence)
	for _, vote := range reply.Votes {
		c, listed := m.claims[vote.Right]
		if !listed {
			continue
		}
		c.highest = max(c.highest, vote.Fence)
		if !vote.Granted || reply.Sequence <= c.givenUp {
			continue
		}
		c.granted[reply.From.Name] = max(c.granted[reply.From.Name], asked+m.config.Term)
	}
	m.forget(now)
}

func (m *Machine) releasesTaken(reply Reply) {
	for _, r := range reply.Released {
		if c, known := m.claims[r]; known && c.outgoing != nil && c.outgoing.release.Sequence <= reply.Sequence {
			delete(c.outgoing.waiting, reply.From.Name)
		}
	}
}

// received answers a peer's message.
func (m *Machine) received(now time.Duration, message Message) []Action {
	m.peers[message.From.Name] = message.From
	reply := Reply{From: m.self, Sequence: message.Sequence}
	var actions []Action
	for _, release := range message.Releases {
		reply.Released = append(reply.Released, release.Right)
		if c, known := m.claims[release.Right]; known {
			actions = append(actions, m.take(now, message.From, c, release)...)
		}
	}
	for _, ask := range message.Asks {
		vote := Vote{Right: ask.Right}
		if c, known := m.claims[ask.Right]; known {
			c.highest = max(c.highest, ask.Fence)
			actions = append(actions, m.handOverTo(now, message.From, ask.Right, c)...)
			vote.Granted = m.cast(now, message, c)
			vote.Fence = c.highest
		}
		reply.Votes = append(reply.Votes, vote)
	}
	return append(actions, Answer{Reply: reply})
}

// cast votes for the sender where no promise stands against it. Votes under a
// former list only would outlast the time for which others still require them.
func (m *Machine) cast(now time.Duration, message Message, c *claim) bool {
	from := message.From
	current := c.voters.current()
	owner := len(current.names) > 0 && current.names[0] == from.Name
	if owner {
		c.ownerHeard = now
	}
	if !current.has(from.Name) || !current.has(m.self.Name) || now < c.settled || c.held {
		return false
	}
	if c.vote.to == from && message.Sequence < c.vote.sequence {
		return false
	}
	yields := owner && c.vote.to == m.self
	if c.vote.to != from && !c.vote.free(now) && !yields {
		return false
	}
	c.vote = ballot{to: from, sequence: message.Sequence, until: now + m.config.promise()}
	delete(c.granted, m.self.Name)
	return true
}

// handOverTo starts to give a held right up to its owner by the list.
func (m *Machine) handOverTo(now time.Duration, from Peer, r Right, c *claim) []Action {
	current := c.voters.current()
	if !c.holds(now) || c.handing != nil || len(current.names) == 0 || current.names[0] != from.Name {
		return nil
	}
	c.handing = &from
	return []Action{HandOver{Right: r, To: from}}
}

// released gives a right up and tells the voters whom to vote for instead.
func (m *Machine) released(now time.Duration, e Released) []Action {
	c, known := m.claims[e.Right]
	if !known || !c.held || c.handing == nil {
		return nil
	}
	to := *c.handing
	handed := c.holds(now)
	c.held, c.handing = false, nil
	c.givenUp = m.sequence
	clear(c.granted)
	actions := []Action{Lost{Right: e.Right}}
	if !handed {
		return actions
	}
	c.vote = ballot{to: to, until: now + m.config.promise()}
	c.outgoing = &outgoing{
		release: Release{Right: e.Right, Sequence: m.sequence + 1, To: to, Fence: c.highest, State: e.State},
		waiting: make(map[string]bool),
		until:   now + m.config.Term,
	}
	for _, name := range append(c.voters.others(m.self.Name), to.Name) {
		c.outgoing.waiting[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(c.outgoing.waiting)) {
		message := Message{From: m.self, Releases: []Release{c.outgoing.release}}
		actions = append(actions, m.dispatch(now, name, message))
	}
	return actions
}

// take moves the vote that a former holder gave up. Where the right comes to
// this instance it asks the other voters at once.
func (m *Machine) take(now time.Duration, from Peer, c *claim, release Release) []Action {
	c.highest = max(c.highest, release.Fence)
	ours := release.To == m.self
	if c.vote.to == from && !c.vote.free(now) && c.vote.sequence < release.Sequence {
		c.vote = ballot{to: release.To, until: now + m.config.promise()}
		if ours {
			c.vote = ballot{}
		}
	}
	seen := c.incoming != nil && c.incoming.from == from && c.incoming.sequence >= release.Sequence
	if !ours || c.held || seen {
		return nil
	}
	c.incoming = &incoming{from: from, sequence: release.Sequence, state: release.State, until: now + m.config.Term}
	var actions []Action
	for _, name := range c.voters.others(m.self.Name) {
		message := Message{From: m.self, Asks: []Ask{{Right: release.Right, Fence: c.highest}}}
		actions = append(actions, m.dispatch(now, name, message))
	}
	return actions
}
