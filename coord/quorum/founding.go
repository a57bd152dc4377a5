package quorum

import "time"

// founderStagger is the time between the turns of two instances that could found a
// cluster; it covers a few heartbeats.
const founderStagger = time.Second

// missingSeedWait is added to Config.SeedWait for each seed that does not respond, so
// that the sides of a partition do not found clusters at the same time.
const missingSeedWait = 5 * time.Second

// isServed reports whether this instance heard lately of a coordinator, so that a
// quorum exists.
func (m *Machine) isServed(now time.Duration) bool {
	return m.everServed && now-m.lastServed <= m.config.LiveFor
}

// recordService records that this instance, or a voter that it hears, is in touch with
// the coordinator.
func (m *Machine) recordService(now time.Duration) { m.everServed, m.lastServed = true, now }

// hearsCoordinator reports whether this instance is the coordinator or hears it itself.
// Only this is passed on to others, so that no two instances rely on each other.
func (m *Machine) hearsCoordinator(now time.Duration) bool {
	if state := m.states[coordinatorRight]; state.held && now < state.leaseExpiry {
		return true
	}
	for _, p := range m.members.peers {
		if p.heldRights[coordinatorRight] && m.members.inCluster(p.member) && p.everHeard && now-p.lastHeard <= m.config.LiveFor {
			return true
		}
	}
	return false
}

// WatchesOrders reports whether this instance may soon found a cluster, and needs to
// know since when nobody has sent orders.
func (m *Machine) WatchesOrders(now time.Duration) bool {
	turn := m.founderTurn(now)
	return !m.leaving && !m.isServed(now) && turn >= 0 && turn < 2
}

// founderTurn returns the position of this instance among the live candidates, which
// found a cluster in the order of their addresses; -1 if it is no candidate.
func (m *Machine) founderTurn(now time.Duration) int {
	turn, isCandidate := 0, false
	for _, member := range m.members.candidates() {
		if member.Address == m.members.self.Address {
			isCandidate = true
		} else if member.Address < m.members.self.Address && m.members.isLive(now, m.liveFor(), member.Address) {
			turn++
		}
	}
	if !isCandidate {
		return -1
	}
	return turn
}

// found makes the candidates the voters of a new cluster if there is no other: no
// coordinator is heard, and workers have received no orders for Config.TurnGap. All
// candidates become voters if most of them are heard, so that of two foundings at the
// same time at most one finds a quorum; otherwise, after a long wait, the live ones.
func (m *Machine) found(now time.Duration) {
	turn := m.founderTurn(now)
	if m.leaving || turn < 0 || m.hearsCoordinator(now) {
		return
	}
	unservedSince := max(m.started, m.voterSetAt)
	if m.everServed {
		unservedSince = max(unservedSince, m.lastServed)
	}
	wait := m.config.TurnGap + time.Duration(turn)*founderStagger
	hearsMost := m.hearsMostMembers(now)
	if !hearsMost {
		wait += m.config.SeedWait + time.Duration(m.missingSeeds(now))*missingSeedWait
	}
	if now-unservedSince < wait || !m.areWorkersQuiet(now) {
		return
	}
	set := VoterSet{Version: 1}
	for _, member := range m.members.candidates() {
		if hearsMost || m.hears(now, member.Address) {
			set.Voters = set.with(member).Voters
		}
	}
	set.Term = m.withOwnOrdinal(max(m.states[coordinatorRight].highestFence+1, m.voterSet.Term+1, m.minFence()))
	m.installVoterSet(now, set)
}

// missingSeeds returns the number of seeds that are not heard.
func (m *Machine) missingSeeds(now time.Duration) int {
	missing := 0
	for _, s := range m.seeds {
		if !m.hears(now, s) {
			missing++
		}
	}
	return missing
}

// hearsMostMembers reports whether more than half of the candidates and of the last
// known voters are heard and, without any known voters, all seeds.
func (m *Machine) hearsMostMembers(now time.Duration) bool {
	voters := m.members.voters()
	if len(voters) == 0 && m.missingSeeds(now) > 0 || len(voters) > 0 && !m.hearsMost(now, voters) {
		return false
	}
	return m.hearsMost(now, m.candidateAddresses())
}

func (m *Machine) candidateAddresses() []string {
	var addresses []string
	for _, c := range m.members.candidates() {
		addresses = append(addresses, c.Address)
	}
	return addresses
}

// hears reports whether an address is this instance's own or that of a live member of
// any cluster.
func (m *Machine) hears(now time.Duration, address string) bool {
	if address == m.members.self.Address {
		return true
	}
	p := m.members.peers[address]
	return p != nil && p.everHeard && !p.member.Left && now-p.lastHeard <= m.liveFor()
}

// hearsMost reports whether more than half of the addresses are heard.
func (m *Machine) hearsMost(now time.Duration, addresses []string) bool {
	heard := 0
	for _, a := range addresses {
		if m.hears(now, a) {
			heard++
		}
	}
	return heard > len(addresses)/2
}

// areWorkersQuiet reports whether no orders of other instances were seen for
// Config.TurnGap.
func (m *Machine) areWorkersQuiet(now time.Duration) bool {
	if m.quietSince == nil {
		return true
	}
	since, known := m.quietSince()
	return known && now-since >= m.config.TurnGap
}
