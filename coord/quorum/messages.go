package quorum

import "time"

// Member is an instance in the member list. It is identified by its address, also
// across restarts.
type Member struct {
	Address    string
	DataCentre string
	Region     string
	// Weak members become voters only if there are too few others.
	Weak bool
	// Since is when the address first joined, in units of seniorityUnitSeconds
	// since the Unix epoch, or 0 if unknown. The lowest known value for an address
	// counts, so that a member keeps its seniority across restarts.
	Since uint64
	// Incarnation increases with every start of the instance, and when the
	// instance refutes that it has left. State of a higher incarnation replaces
	// all state of a lower one.
	Incarnation uint64
	// Left is set when the member has announced that it is leaving, or was removed
	// after a long silence.
	Left bool
}

// VoteRequest requests a vote for a right, or its renewal.
type VoteRequest struct {
	Right string
	// Fence is the highest fencing token for the right that the sender has seen.
	Fence uint64
}

// Heartbeat carries the state that an instance sends to others at each interval,
// and its requests for votes.
type Heartbeat struct {
	From Member
	// Sequence increases with every heartbeat of an incarnation.
	Sequence uint64
	// Served is set while the sender is the coordinator or hears it directly.
	Served bool
	// VotersDigest is the digest of the sender's set of voters, MembersDigest that
	// of all members of its cluster that have not left.
	VotersDigest, MembersDigest uint64
	// VoterSet is omitted while all peers have the same set.
	VoterSet VoterSet
	// Members is the sender's member list. It is omitted while all peers have the
	// same list.
	Members      []Member
	VoteRequests []VoteRequest
	// Held lists the rights that the sender holds.
	Held []string
	// Released lists rights that the sender has recently released and no longer
	// sends orders under.
	Released []string
	// Silent lists the members that the sender has not heard from within
	// Config.RemoveAfter. Only voters fill it in.
	Silent []string
}

// Vote is the response to a VoteRequest.
type Vote struct {
	Right   string
	Granted bool
	// ClearAfter is how long a new holder of the right must wait before its first
	// order, to keep Config.TurnGap to the orders of a former holder.
	ClearAfter time.Duration
	// Fence is the highest fencing token for the right that the voter has seen.
	Fence uint64
}

// Reply is the response to a Heartbeat.
type Reply struct {
	From     Member
	Sequence uint64
	// Served is as in Heartbeat.
	Served bool
	// VoterSet is present only if the digest in the Heartbeat differs.
	VoterSet VoterSet
	// VotersDigest and MembersDigest are the digests of the replying instance; see
	// Heartbeat.
	VotersDigest, MembersDigest uint64
	// Members is the member list of the replying instance, present only if the
	// digest in the Heartbeat differs from its own.
	Members []Member
	Votes   []Vote
	// Held lists the rights that the replying instance holds.
	Held []string
}

// Action is a change that the user of a Machine must act on or record.
type Action interface{ isAction() }

// Acquired reports that this instance now holds a right. It must not send orders
// under it before ClearAt.
type Acquired struct {
	Right   string
	Fence   uint64
	ClearAt time.Duration
}

// Lost reports that this instance no longer holds a right.
type Lost struct{ Right string }

// MemberChanged reports a change in the member list.
type MemberChanged struct {
	Member Member
	// Reason is "joined", "restarted", "left" or "removed".
	Reason string
}

func (Acquired) isAction()      {}
func (Lost) isAction()          {}
func (MemberChanged) isAction() {}
