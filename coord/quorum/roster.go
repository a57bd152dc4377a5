package quorum

import (
	"maps"
	"slices"
	"time"
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
	// ownRegion leaves the members of other regions out.
	ownRegion bool
	maxVoters int
	// view is worked out from the roster when it is asked for.
	view *rosterView
	// removed is when this instance last took a member out for its silence.
	removed time.Duration
}

func newRoster(self Member, config Config) *roster {
	return &roster{self: self, peers: make(map[string]*peer), ownRegion: config.OwnRegion, maxVoters: config.MaxVoters}
}

// add takes news of a member and returns what changed.
func (r *roster) add(now time.Duration, news Member) []Action {
	if news.Address == r.self.Address {
		r.refute(news)
		return nil
	}
	p, exists := r.peers[news.Address]
	if !exists {
		r.peers[news.Address] = &peer{member: news, known: now}
		r.changed()
		return []Action{MemberChanged{Member: news, Reason: "joined"}}
	}
	senior := earliest(p.member.Since, news.Since)
	if senior != p.member.Since {
		p.member.Since = senior
		r.changed()
	}
	if news.Incarnation < p.member.Incarnation || news.Incarnation == p.member.Incarnation && (!news.Left || p.member.Left) {
		return nil
	}
	r.changed()
	reason := "left"
	if news.Incarnation > p.member.Incarnation {
		if !news.Left {
			reason = "restarted"
		}
		p.settled, p.held, p.silent, p.known = false, nil, nil, now
	}
	p.member = news
	p.member.Since = senior
	return []Action{MemberChanged{Member: p.member, Reason: reason}}
}

// earliest is the lower of two times of joining, where 0 is not known.
func earliest(a, b uint64) uint64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// refute outbids news that this instance has left, and takes back the seniority
// that it had before a restart.
func (r *roster) refute(news Member) {
	if senior := earliest(r.self.Since, news.Since); senior != r.self.Since {
		r.self.Since = senior
		r.changed()
	}
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
	if m.DataCentre != p.member.DataCentre || m.Region != p.member.Region || m.Weak != p.member.Weak {
		p.member.DataCentre, p.member.Region, p.member.Weak = m.DataCentre, m.Region, m.Weak
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

// inScope tells whether a member belongs to the same cluster.
func (r *roster) inScope(m Member) bool {
	return !r.ownRegion || m.Region == r.self.Region
}

// membersOf lists what is known of the cluster of another member.
func (r *roster) membersOf(other Member) []Member {
	all := r.members()
	if !r.ownRegion {
		return all
	}
	return slices.DeleteFunc(all, func(m Member) bool { return m.Region != other.Region })
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

// learnAnew gives every member time to be heard, for an instance that becomes a
// voter and did not hear them before.
func (r *roster) learnAnew(now time.Duration) {
	for _, p := range r.peers {
		p.known = now
	}
}

// remove takes out the first member that a majority of the voters finds silent,
// at most one each interval.
func (r *roster) remove(now time.Duration, config Config) []Action {
	if now-r.removed < config.RemoveEvery || !r.isVoter(r.self.Address) {
		return nil
	}
	for _, candidate := range r.silentFor(now, config.RemoveAfter) {
		agree := 1
		for address, p := range r.peers {
			if r.isVoter(address) && p.silent[candidate] && now-p.heard <= config.LiveFor {
				agree++
			}
		}
		if agree <= len(r.voters())/2 {
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
