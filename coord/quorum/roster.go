package quorum

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is what is known of one member.
type peer struct {
	member Member
	// heard is when the member itself was last heard; known is when it was
	// first learned of.
	heard, known time.Duration
	everHeard    bool
	settled      bool
	held         map[string]bool
	silent       map[string]bool
}

// roster is the gossiped list of members, without the instance itself.
type roster struct {
	self  Member
	peers map[string]*peer
	// ownDataCentre leaves the members of others out of the voters.
	ownDataCentre bool
	// cached holds the voters and their digest until the roster changes.
	cached       []string
	cachedDigest uint64
	// removed is when this instance last took a member out for its silence.
	removed time.Duration
}

func newRoster(self Member) *roster {
	return &roster{self: self, peers: make(map[string]*peer)}
}

// add takes news of a member and returns what changed.
func (r *roster) add(now time.Duration, news Member) []Action {
	if news.Address == r.self.Address {
		r.refute(news)
		return nil
	}
	p, exists := r.peers[news.Address]
	if exists && news.Incarnation <= p.member.Incarnation && news.Left == p.member.Left {
		return nil
	}
	r.changed()
	if !exists {
		r.peers[news.Address] = &peer{member: news, known: now}
		return []Action{MemberChanged{Member: news, Reason: "joined"}}
	}
	switch {
	case news.Incarnation > p.member.Incarnation:
		reason := "restarted"
		if news.Left {
			reason = "left"
		}
		p.member, p.settled, p.held, p.silent = news, false, nil, nil
		p.known = now
		return []Action{MemberChanged{Member: news, Reason: reason}}
	case news.Incarnation == p.member.Incarnation && news.Left && !p.member.Left:
		p.member.Left = true
		return []Action{MemberChanged{Member: news, Reason: "left"}}
	}
	return nil
}

// refute outbids news that this instance has left.
func (r *roster) refute(news Member) {
	if !r.self.Left && (news.Left && news.Incarnation >= r.self.Incarnation) {
		r.self.Incarnation = news.Incarnation + 1
	}
}

// heardFrom notes that a member itself spoke.
func (r *roster) heardFrom(now time.Duration, m Member) (*peer, []Action) {
	actions := r.add(now, m)
	p := r.peers[m.Address]
	if p == nil || m.Incarnation < p.member.Incarnation {
		return nil, actions
	}
	p.heard, p.everHeard = now, true
	if m.DataCentre != "" && m.DataCentre != p.member.DataCentre {
		p.member.DataCentre = m.DataCentre
		r.changed()
	}
	return p, actions
}

// members lists everything known, this instance included.
func (r *roster) members() []Member {
	all := []Member{r.self}
	for _, address := range slices.Sorted(maps.Keys(r.peers)) {
		all = append(all, r.peers[address].member)
	}
	return all
}

// changed drops what was worked out from the roster.
func (r *roster) changed() { r.cached = nil }

// digest identifies the voters.
func (r *roster) digest() uint64 {
	r.voters()
	return r.cachedDigest
}

// voters lists the addresses of the members that have not left, sorted. The
// result must not be changed.
func (r *roster) voters() []string {
	if r.cached != nil {
		return r.cached
	}
	r.cached = r.listVoters()
	r.cachedDigest = digestOf(r.cached)
	return r.cached
}

func (r *roster) listVoters() []string {
	names := []string{}
	if !r.self.Left {
		names = append(names, r.self.Address)
	}
	for address, p := range r.peers {
		if !p.member.Left && r.inScope(p.member) {
			names = append(names, address)
		}
	}
	slices.Sort(names)
	return names
}

// inScope tells whether a member belongs to the same cluster.
func (r *roster) inScope(m Member) bool {
	return !r.ownDataCentre || m.DataCentre == r.self.DataCentre
}

// membersOf lists what is known of the cluster of another member.
func (r *roster) membersOf(other Member) []Member {
	all := r.members()
	if !r.ownDataCentre {
		return all
	}
	return slices.DeleteFunc(all, func(m Member) bool { return m.DataCentre != other.DataCentre })
}

// digestOf identifies a set of voters.
func digestOf(voters []string) uint64 {
	d := xxhash.New()
	for _, v := range voters {
		_, _ = d.WriteString(v)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

func (r *roster) live(now, within time.Duration, address string) bool {
	p, exists := r.peers[address]
	return exists && p.everHeard && !p.member.Left && r.inScope(p.member) && now-p.heard <= within
}

// silentFor lists the members not heard for so long.
func (r *roster) silentFor(now, limit time.Duration) []string {
	var names []string
	for address, p := range r.peers {
		since := p.known
		if p.everHeard {
			since = max(since, p.heard)
		}
		if !p.member.Left && r.inScope(p.member) && now-since > limit {
			names = append(names, address)
		}
	}
	slices.Sort(names)
	return names
}

// remove takes out the first member that a majority finds silent, at most one
// each interval.
func (r *roster) remove(now time.Duration, config Config) []Action {
	if now-r.removed < config.RemoveEvery {
		return nil
	}
	voters := r.voters()
	for _, candidate := range r.silentFor(now, config.RemoveAfter) {
		agree := 1
		for _, p := range r.peers {
			if !p.member.Left && r.inScope(p.member) && p.silent[candidate] && now-p.heard <= config.LiveFor {
				agree++
			}
		}
		if agree <= len(voters)/2 {
			continue
		}
		r.removed = now
		p := r.peers[candidate]
		p.member.Left = true
		r.changed()
		return []Action{MemberChanged{Member: p.member, Reason: "removed"}}
	}
	return nil
}
