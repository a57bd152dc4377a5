package ownership

import "time"

// Peer identifies one run of an instance.
type Peer struct {
	Name string
	// Incarnation differs between two runs of the same instance.
	Incarnation string
}

// Message carries the vote requests and releases of one instance to another.
type Message struct {
	From Peer
	// Sequence increases with every message of an incarnation.
	Sequence     uint64
	VoteRequests []VoteRequest
	Releases     []Release
}

// VoteRequest asks a voter for its vote, or to renew it.
type VoteRequest struct {
	Right Right
	// Fence is the highest fencing token that the sender has seen.
	Fence uint64
}

// Release announces that the sender, which held the right, no longer holds it
// and that each voter for the sender may vote for To.
type Release struct {
	Right Right
	// Sequence is higher than that of every message by which the sender
	// requested the votes that it releases.
	Sequence uint64
	To       Peer
	Fence    uint64
	// State is what the holder passes to its successor; opaque to this package.
	State []byte
}

// Reply is the response to a Message.
type Reply struct {
	From Peer
	// Sequence is that of the message.
	Sequence uint64
	Votes    []Vote
	// Released lists the rights whose releases were received.
	Released []Right
}

// Vote is the response to a VoteRequest.
type Vote struct {
	Right   Right
	Granted bool
	// Fence is the highest fencing token that the voter has seen.
	Fence uint64
}

// Event is an input of Machine.Step.
type Event interface{ isEvent() }

// Spec describes the voters of a right.
type Spec struct {
	// Voters holds the first three candidates in rendezvous order; fewer if
	// there are fewer candidates.
	Voters []string
	// EndpointFencing says that the endpoint itself refuses old fencing tokens,
	// so that a holder that needs no other voter may continue without reading
	// the member list.
	EndpointFencing bool
}

// ListChanged replaces the known rights and their voters after a change of the
// member list.
type ListChanged struct{ Rights map[Right]Spec }

// ListConfirmed reports that the list of the last ListChanged names this
// instance, and that the platform still served it when it was read at At, a
// time on this instance's clock. A changed list must be reported by ListChanged
// first.
type ListConfirmed struct{ At time.Duration }

// Received delivers a peer's message; the reply comes back in a Respond action.
type Received struct{ Message Message }

// Replied delivers a peer's reply.
type Replied struct{ Reply Reply }

// Tick advances time and sends due vote requests and releases.
type Tick struct{}

// Resumed reports that the process or its clock may have been suspended: no
// vote that was granted before may be relied upon.
type Resumed struct{}

// Released completes a hand-over: no order under the right is in progress any
// more.
type Released struct {
	Right Right
	State []byte
}

// FenceSeen reports a fencing token that an endpoint returned.
type FenceSeen struct {
	Right Right
	Fence uint64
}

// Leave makes this instance hand over its rights. Lists reported afterwards
// must not name it.
type Leave struct{}

func (ListChanged) isEvent()   {}
func (ListConfirmed) isEvent() {}
func (Received) isEvent()      {}
func (Replied) isEvent()       {}
func (Tick) isEvent()          {}
func (Resumed) isEvent()       {}
func (Released) isEvent()      {}
func (FenceSeen) isEvent()     {}
func (Leave) isEvent()         {}

// Action is something that the caller of Machine.Step must carry out.
type Action interface{ isAction() }

// Send sends a message to a peer.
type Send struct {
	To      string
	Message Message
}

// Respond returns the reply to the message that was received.
type Respond struct{ Reply Reply }

// HandOver requests that the caller start no further order under the right,
// finish those in progress, and then report Released.
type HandOver struct {
	Right Right
	To    Peer
}

// Acquired reports that a right is now held.
type Acquired struct {
	Right Right
	Grant Grant
	// Handed says that the former holder handed the right over; State is what
	// it passed on. Otherwise requests that the former holder started may still
	// be in progress.
	Handed bool
	State  []byte
}

// Lost reports that a right is no longer held.
type Lost struct{ Right Right }

func (Send) isAction()     {}
func (Respond) isAction()  {}
func (HandOver) isAction() {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
