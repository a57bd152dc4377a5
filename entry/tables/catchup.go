package tables

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/forward"
)

// CatchUp serves forwarded requests under a table that is at least as new as the one
// that they were resolved by. It is safe for concurrent use.
type CatchUp struct {
	fleet   *fleet.Fleet
	next    forward.Server
	maxWait time.Duration
}

// NewCatchUp returns a server that passes requests on to next. It waits at most maxWait
// for the table of a request, and refuses the request if the table does not arrive.
func NewCatchUp(f *fleet.Fleet, next forward.Server, maxWait time.Duration) *CatchUp {
	return &CatchUp{fleet: f, next: next, maxWait: maxWait}
}

// Serve implements forward.Server. Its error is a *call.Error.
func (c *CatchUp) Serve(ctx context.Context, r *call.Request) (*call.Response, error) {
	if r.Table.Above(c.fleet.Stamp()) {
		c.fleet.PeerHolds(r.Entry, r.Table)
		bounded, cancel := context.WithTimeout(ctx, c.maxWait)
		defer cancel()
		if err := c.fleet.AwaitStamp(bounded, r.Table); err != nil {
			return nil, c.behindError(r)
		}
	}
	if isKeyed(r) { // the key record decides; each run is checked where it is forwarded to
		return c.next.Serve(ctx, r)
	}
	if err := c.checkStillServed(r); err != nil {
		return nil, err
	}
	return c.next.Serve(ctx, r)
}

// isKeyed reports whether an idempotency key guards the call. A non-idempotent call with
// a key may have been sent before, and may have run then.
func isKeyed(r *call.Request) bool { return r.Key != "" && !r.Idempotent }

// behindError returns the error for a request whose table did not arrive in time.
func (c *CatchUp) behindError(r *call.Request) error {
	failed := notRunError("tables_behind", time.Second, "the request was resolved by table %s, here %s is in force", r.Table, c.fleet.Stamp())
	failed.Failure.Sent = isKeyed(r) // an earlier send may have run, so the outcome is unknown
	return failed
}

// checkStillServed returns an error if the table in force is another than that of the
// request and no longer has its route or adapter version.
func (c *CatchUp) checkStillServed(r *call.Request) error {
	t := c.fleet.Table()
	if t == nil || t.Stamp() == r.Table {
		return nil
	}
	route, found := t.RouteNamed(r.Route)
	if !found {
		return notRunError("superseded", 0, "revision %d has no route %q", t.Revision, r.Route)
	}
	if r.Adapter.Adapter != "" && !t.HasVersion(route.Pool, r.Adapter) {
		return notRunError("superseded", 0, "revision %d does not serve %s", t.Revision, r.Adapter)
	}
	return nil
}

// notRunError returns an error that proves to the caller that the request did not run.
func notRunError(code string, retryAfter time.Duration, format string, args ...any) *call.Error {
	return &call.Error{
		Status:     fasthttp.StatusServiceUnavailable,
		Code:       code,
		RetryAfter: retryAfter,
		Err:        fmt.Errorf(format, args...),
	}
}
