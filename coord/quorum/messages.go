package quorum

import "time"

// Member is one instance of the roster. Its address is its identity over
// restarts.
type Member struct {
	Address    string
	DataCentre string
	Region     string
	// Weak members are voters only where there are too few others.
	Weak bool
	// Since is when the address first joined, in units of seniorityUnit since the
	// Unix epoch; 0 where that is not known. The lowest that is known of an
	// address counts, so that a member keeps its seniority over restarts.
	Since uint64
	// Incarnation grows with every start of the instance, and when it refutes
	// that it has left. News of a higher incarnation replaces all of a lower one.
	Incarnation uint64
	// Left members said that they leave, or were removed after a long silence.
	Left bool
}

// Ask asks for a vote, or to renew one.
type Ask struct {
	Right string
	// Fence is the highest fencing number that the sender has seen.
	Fence uint64
}

// Beat is what an instance tells every other one at each interval.
type Beat struct {
	From Member
	// Sequence grows with every beat of an incarnation.
	Sequence uint64
	// Settled senders remember everything that they ever promised.
	Settled bool
	// Voters is the digest of the set that the sender takes as voters, Roster
	// that of all members that have not left.
	Voters, Roster uint64
	// Members is the sender's roster, left out while all peers have the same.
	Members []Member
	Asks    []Ask
	// Held lists the rights that the sender holds.
	Held []string
	// Released lists rights that the sender gave up and orders under no longer.
	Released []string
	// Silent lists the members that the sender has not heard for a long time.
	Silent []string
}

// Vote answers an Ask.
type Vote struct {
	Right   string
	Granted bool
	// ClearAfter is how long the right's new holder must wait before it acts, so
	// that its turn is far enough from that of a former holder.
	ClearAfter time.Duration
	// Fence is the highest fencing number that the voter has seen.
	Fence uint64
}

// Reply answers a Beat.
type Reply struct {
	From     Member
	Sequence uint64
	Settled  bool
	// Voters and Roster are the digests of the replier's; see Beat.
	Voters, Roster uint64
	// Members is the replier's roster where the sender's differs.
	Members []Member
	Votes   []Vote
	// Held lists the rights that the replier holds.
	Held []string
}

// Action is what the caller of Machine must do or record.
type Action interface{ isAction() }

// Acquired reports that a right is held since now. No order may be given under
// it before ClearAt.
type Acquired struct {
	Right   string
	Fence   uint64
	ClearAt time.Duration
}

// Lost reports that a right is held no longer.
type Lost struct{ Right string }

// MemberChanged reports a change of the roster.
type MemberChanged struct {
	Member Member
	// Reason is joined, restarted, left or removed.
	Reason string
}

func (Acquired) isAction()      {}
func (Lost) isAction()          {}
func (MemberChanged) isAction() {}
