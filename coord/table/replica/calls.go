package replica

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// call is a call in progress.
type call struct {
	kind     callKind
	deadline time.Duration
	// peer is empty for calls to the platform.
	peer string
	// initial reports whether the first table waits for the response.
	initial bool
	// announced is the stamp of the announced table that the query is for, or
	// zero for any other query.
	announced table.Stamp
	// digest identifies the chunk that is read from the platform.
	digest string
}

// callKind is the kind of a call, one for each action that has a response.
type callKind uint8

const (
	watchCall callKind = iota
	readCall
	queryCall
	fetchCall
)

// begin records a call and returns its identifier.
func (r *Replica) begin(c call) Call {
	r.nextCall++
	r.calls[r.nextCall] = c
	return r.nextCall
}

// end removes a call and reports whether it was in progress. It was not if the
// response is late or a duplicate.
func (r *Replica) end(id Call, kind callKind) (call, bool) {
	c, found := r.calls[id]
	if !found || c.kind != kind {
		return call{}, false
	}
	delete(r.calls, id)
	if c.initial {
		r.updateJoined()
	}
	return c, true
}

// updateJoined sets joined once no initial query is in progress.
func (r *Replica) updateJoined() {
	for _, c := range r.calls {
		if c.initial {
			return
		}
	}
	r.joined = true
}

// expire fails the calls whose deadline has passed, in order of their identifiers.
func (r *Replica) expire(now time.Duration) {
	var expired []Call
	for id, c := range r.calls {
		if now >= c.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		r.newConnection = r.newConnection || r.calls[id].kind == watchCall
		r.callFailed(now, id)
	}
}

func (r *Replica) callFailed(now time.Duration, id Call) {
	c, found := r.calls[id]
	if !found {
		return
	}
	r.end(id, c.kind)
	switch c.kind {
	case watchCall:
		r.watchFailed(now)
	case readCall:
		r.readFailed(now)
	case fetchCall:
		if g := r.collection; g != nil && g.fetch == id {
			r.abandon(now)
		}
		r.announced.retryAt = now
	case queryCall:
		r.queryFailed(now, c)
	}
}
