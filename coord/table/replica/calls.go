package replica

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// call is a call without an answer so far.
type call struct {
	kind     callKind
	deadline time.Duration
	// peer is empty for calls of the platform.
	peer string
	// join says that the first table waits for the answer.
	join bool
	// about is the newer table that the question is about, if it is about one.
	about table.Stamp
	// digest is the chunk that is read from the platform.
	digest string
}

type callKind uint8

const (
	watchCall callKind = iota
	readCall
	askCall
	fetchCall
)

func (r *Replica) begin(c call) Call {
	r.nextCall++
	r.calls[r.nextCall] = c
	return r.nextCall
}

// end removes a call and tells whether it was still awaited: a late or doubled
// answer is not.
func (r *Replica) end(id Call, kind callKind) (call, bool) {
	c, found := r.calls[id]
	if !found || c.kind != kind {
		return call{}, false
	}
	delete(r.calls, id)
	if c.join {
		r.joinAnswered()
	}
	return c, true
}

// joinAnswered ends the wait for peers with the last of their answers.
func (r *Replica) joinAnswered() {
	for _, c := range r.calls {
		if c.join {
			return
		}
	}
	r.joined = true
}

func (r *Replica) expire(now time.Duration) {
	var late []Call
	for id, c := range r.calls {
		if now >= c.deadline {
			late = append(late, id)
		}
	}
	slices.Sort(late)
	for _, id := range late {
		r.renew = r.renew || r.calls[id].kind == watchCall
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
		if g := r.gathering; g != nil && g.fetch == id {
			r.abandon(now)
		}
		r.announced.retryAt = now
	case askCall:
		r.askFailed(now, c)
	}
}
