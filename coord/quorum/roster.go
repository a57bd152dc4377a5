package quorum

import (
	"maps"
	"slices"
	"time"
)

// peer is the known state of another member.
type peer struct {
	member Member
	// lastHeard is the time of the last message from the member itself, valid if
	// everHeard is set. knownSince is when this incarnation became known or this
	// instance became a voter. Silence is measured from the later of the two.
	lastHeard, knownSince time.Duration
	everHeard             bool
	heldRights            map[string]bool
	silentMembers         map[string]bool
}

// memberList is the gossiped list of members. This instance's own entry is in
// self, all others are in peers by address.
type memberList struct {
	self  Member
	peers map[string]*peer
	// ownRegion excludes members of other regions from the cluster; see
	// Config.OwnRegion.
	ownRegion bool
	maxVoters int
	// voterAddresses lists the voters, sorted.
	voterAddresses []string
	// view caches what is derived from the list; nil if it must be recomputed.
	view *memberView
	// lastRemoval is when this instance last removed a silent member.
	lastRemoval time.Duration
}

func newMemberList(self Member, config Config) *memberList {
	return &memberList{self: self, peers: make(map[string]*peer), ownRegion: config.OwnRegion, maxVoters: config.MaxVoters}
}

// merge applies an update about a member, received directly or through a peer,
// and returns what changed.
func (l *memberList) merge(now time.Duration, update Member) []Action {
	if update.Address == l.self.Address {
		l.refute(update)
		return nil
	}
	p, exists := l.peers[update.Address]
	if !exists {
		l.peers[update.Address] = &peer{member: update, knownSince: now}
		l.invalidateView()
		return []Action{MemberChanged{Member: update, Reason: "joined"}}
	}
	since := earliestKnown(p.member.Since, update.Since)
	if since != p.member.Since {
		p.member.Since = since
		l.invalidateView()
	}
	if update.Incarnation < p.member.Incarnation || update.Incarnation == p.member.Incarnation && (!update.Left || p.member.Left) {
		return nil
	}
	l.invalidateView()
	reason := "left"
	if update.Incarnation > p.member.Incarnation {
		if !update.Left {
			reason = "restarted"
		}
		p.heldRights, p.silentMembers, p.knownSince = nil, nil, now
	}
	p.member = update
	p.member.Since = since
	return []Action{MemberChanged{Member: p.member, Reason: reason}}
}

// earliestKnown returns the lower of two join times; 0 means unknown.
func earliestKnown(a, b uint64) uint64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// refute handles an update about this instance itself. If the update says that the
// instance has left, or is of a later incarnation because the clock was set back since,
// it refutes that with a higher incarnation. It also restores
// the seniority that the instance had before a restart.
func (l *memberList) refute(update Member) {
	if since := earliestKnown(l.self.Since, update.Since); since != l.self.Since {
		l.self.Since = since
		l.invalidateView()
	}
	if !l.self.Left && (update.Left && update.Incarnation >= l.self.Incarnation || update.Incarnation > l.self.Incarnation) {
		l.self.Incarnation = update.Incarnation + 1
	}
}

// heardFrom records a message from the member itself. The peer is nil if the message
// is of an earlier incarnation or from this instance's own address.
func (l *memberList) heardFrom(now time.Duration, m Member) (*peer, []Action) {
	actions := l.merge(now, m)
	p := l.peers[m.Address]
	if p == nil || m.Incarnation < p.member.Incarnation {
		return nil, actions
	}
	p.lastHeard, p.everHeard = now, true
	if m.DataCentre != p.member.DataCentre || m.Region != p.member.Region || m.Weak != p.member.Weak {
		p.member.DataCentre, p.member.Region, p.member.Weak = m.DataCentre, m.Region, m.Weak
		l.invalidateView()
	}
	return p, actions
}

// all returns every known member, including this instance and members that have
// left. The others are sorted by address.
func (l *memberList) all() []Member {
	all := []Member{l.self}
	for _, address := range slices.Sorted(maps.Keys(l.peers)) {
		all = append(all, l.peers[address].member)
	}
	return all
}

// inCluster reports whether a member belongs to the same cluster as this instance.
func (l *memberList) inCluster(m Member) bool {
	return !l.ownRegion || m.Region == l.self.Region
}

// clusterOf returns the known members of another member's cluster.
func (l *memberList) clusterOf(other Member) []Member {
	all := l.all()
	if !l.ownRegion {
		return all
	}
	return slices.DeleteFunc(all, func(m Member) bool { return m.Region != other.Region })
}

// isLive reports whether another member of this cluster has not left and was
// heard from within the given time.
func (l *memberList) isLive(now, within time.Duration, address string) bool {
	p, exists := l.peers[address]
	return exists && p.everHeard && !p.member.Left && l.inCluster(p.member) && now-p.lastHeard <= within
}

// silentFor returns the sorted addresses of the members of this cluster that have
// been silent for longer than limit.
func (l *memberList) silentFor(now, limit time.Duration) []string {
	var addresses []string
	for address, p := range l.peers {
		since := p.knownSince
		if p.everHeard {
			since = max(since, p.lastHeard)
		}
		if !p.member.Left && l.inCluster(p.member) && now-since > limit {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// resetSilence restarts the measurement of silence for every member. An instance
// that becomes a voter received no heartbeats from most of them before.
func (l *memberList) resetSilence(now time.Duration) {
	for _, p := range l.peers {
		p.knownSince = now
	}
}

// removeSilent marks as left the first member that a majority of the voters finds
// silent, at most one member per Config.RemoveEvery. Only voters remove members.
func (l *memberList) removeSilent(now time.Duration, config Config) []Action {
	if now-l.lastRemoval < config.RemoveEvery || !l.isVoter(l.self.Address) {
		return nil
	}
	for _, candidate := range l.silentFor(now, config.RemoveAfter) {
		agreeing := 1
		for address, p := range l.peers {
			if l.isVoter(address) && p.silentMembers[candidate] && now-p.lastHeard <= config.LiveFor {
				agreeing++
			}
		}
		if agreeing <= len(l.voters())/2 {
			continue
		}
		l.lastRemoval = now
		p := l.peers[candidate]
		p.member.Left = true
		l.invalidateView()
		return []Action{MemberChanged{Member: p.member, Reason: "removed"}}
	}
	return nil
}
