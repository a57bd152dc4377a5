package ownership

import "time"

// Peer is one run of an instance.
type Peer struct {
	Name string
	// Incarnation differs between two runs of the same instance.
	Incarnation string
}

// Message is what one instance tells another with a heartbeat.
type Message struct {
	From Peer
	// Sequence grows with every message of an incarnation.
	Sequence uint64
	Asks     []Ask
	Releases []Release
}

// Ask asks for a vote, or to renew one.
type Ask struct {
	Right Right
	// Fence is the highest fencing number that the sender has seen.
	Fence uint64
}

// Release says that the sender, which held the right, holds it no longer and
// that whoever voted for it may vote for To.
type Release struct {
	Right Right
	// Sequence is above that of every message by which the sender asked for the
	// votes that it gives up.
	Sequence uint64
	To       Peer
	Fence    uint64
	// State is what the holder hands to its successor; opaque here.
	State []byte
}

// Reply answers a Message.
type Reply struct {
	From Peer
	// Sequence is that of the message.
	Sequence uint64
	Votes    []Vote
	// Released lists the releases that were taken.
	Released []Right
}

// Vote answers an Ask.
type Vote struct {
	Right   Right
	Granted bool
	// Fence is the highest fencing number that the voter has seen.
	Fence uint64
}

// Event is something that happened to an instance.
type Event interface{ isEvent() }

// Spec describes a right's voters.
type Spec struct {
	// Voters are the first three candidates in rendezvous order.
	Voters []string
	// Arbitrated says that the endpoint refuses old fencing numbers itself, so
	// that a holder may go on alone without the list's word.
	Arbitrated bool
}

// Listed replaces what is known of the rights and their voters.
type Listed struct{ Rights map[Right]Spec }

// Fresh reports that the list by which the rights were last Listed names this
// instance, and that the platform, asked at At, still told it. A changed list
// must be reported as Listed first.
type Fresh struct{ At time.Duration }

// Received delivers a peer's message; the answer comes back as an Answer.
type Received struct{ Message Message }

// Replied delivers a peer's reply.
type Replied struct{ Reply Reply }

// Tick lets time pass and asks for the votes that are wanted.
type Tick struct{}

// Resumed reports that the process or its clock may have stood still: nothing
// that was granted before may be relied upon.
type Resumed struct{}

// Released ends a hand-over: no order under the right is in progress any more.
type Released struct {
	Right Right
	State []byte
}

// FenceSeen reports a fencing number that an endpoint told.
type FenceSeen struct {
	Right  Right
	Number uint64
}

// Leave makes this instance hand over its rights. The list that follows must
// not name it.
type Leave struct{}

func (Listed) isEvent()    {}
func (Fresh) isEvent()     {}
func (Received) isEvent()  {}
func (Replied) isEvent()   {}
func (Tick) isEvent()      {}
func (Resumed) isEvent()   {}
func (Released) isEvent()  {}
func (FenceSeen) isEvent() {}
func (Leave) isEvent()     {}

// Action is something the caller of Step must carry out.
type Action interface{ isAction() }

// Send sends a message to a peer.
type Send struct {
	To      string
	Message Message
}

// Answer answers the message that was received.
type Answer struct{ Reply Reply }

// HandOver asks to finish the orders in progress under a right, to begin no
// further one, and to report Released.
type HandOver struct {
	Right Right
	To    Peer
}

// Acquired says that a right is now held.
type Acquired struct {
	Right Right
	Grant Grant
	// Handed says that the former holder handed over; State is what it gave.
	// Otherwise requests that it started may still be in progress.
	Handed bool
	State  []byte
}

// Lost says that a right is no longer held.
type Lost struct{ Right Right }

func (Send) isAction()     {}
func (Answer) isAction()   {}
func (HandOver) isAction() {}
func (Acquired) isAction() {}
func (Lost) isAction()     {}
