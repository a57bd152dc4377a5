package ingress

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/forward"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// Local serves attempts on workers that this instance owns.
type Local interface {
	Serve(ctx context.Context, r *call.Request) (*call.Response, error)
}

// Remote forwards attempts to the instance at address.
type Remote interface {
	Do(ctx context.Context, address string, r *call.Request) (*call.Response, error)
}

// Keyed serves calls that carry an idempotency key and may not be repeated.
type Keyed interface {
	Send(ctx context.Context, r *call.Request) (*call.Response, error)
	Ready() bool
}

// Server answers callers.
type Server struct {
	keyed  Keyed
	fleet  *fleet.Fleet
	local  Local
	remote Remote
	picker *placement.Picker
	log    zerolog.Logger

	mu     sync.Mutex // guards budget, which the requests' lives share
	budget *attempt.Budget

	telemetry *telemetry.Telemetry
}

// Observe lets t count and trace the requests; call it before the first.
func (s *Server) Observe(t *telemetry.Telemetry) { s.telemetry = t }

// NewServer returns a server that serves by local where this instance owns the
// worker and by remote elsewhere.
func NewServer(f *fleet.Fleet, local Local, remote Remote, log zerolog.Logger) *Server {
	return &Server{
		fleet:  f,
		local:  local,
		remote: remote,
		picker: placement.NewPicker(placement.DefaultConfig()),
		log:    log,
		budget: attempt.NewBudget(attempt.DefaultBudgetConfig()),
	}
}

// UseKeyed sets who serves calls that carry a key; it must be called before the
// first request.
func (s *Server) UseKeyed(keyed Keyed) { s.keyed = keyed }

// Handle is the fasthttp handler of the callers' listener.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.ready(ctx)
	default:
		s.serve(ctx)
	}
}

func (s *Server) ready(ctx *fasthttp.RequestCtx) {
	if !s.fleet.Ready() || !s.keyed.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	t := s.fleet.Table()
	if t == nil || !s.fleet.Ready() {
		problem := httpx.Problem{
			Status:     fasthttp.StatusServiceUnavailable,
			Code:       "not_ready",
			Message:    "the instance is starting or leaving",
			Outcome:    attempt.NotRun,
			RetryAfter: time.Second,
		}
		problem.Write(ctx)
		return
	}
	ctx.Response.Header.Set(httpx.Revision, strconv.FormatUint(t.Revision, 10))
	ctx.Response.Header.Set(httpx.Instance, s.fleet.Self())
	r, route, problem := parse(ctx, t)
	if problem != nil {
		problem.Write(ctx)
		return
	}
	r.Table, r.Entry = t.Stamp(), s.fleet.Self()
	ctx.Response.Header.Set(httpx.RequestID, r.ID)
	hop := s.telemetry.Ingress(r)
	answer, err := forward.Watched(ctx, r, func(ctx context.Context, r *call.Request) (*call.Response, error) {
		if r.Key != "" && !r.Idempotent {
			return s.keyed.Send(ctx, r)
		}
		return s.attempts(ctx, t, route, r)
	})
	if err != nil {
		hop.End(err)
		problem := httpx.ProblemOf(err)
		s.log.Info().Str("event", "request_failed").Str("request", r.ID).Str("code", problem.Code).Str("outcome", string(problem.Outcome)).Send()
		problem.Write(ctx)
		return
	}
	answer.Body = hop.Stream(r, answer.Body)
	ctx.Response.Header.Set(httpx.OwnerHeader, answer.Owner)
	forward.WriteAnswer(ctx, answer)
}

// Run serves a request by its route, as Keyed does with a key that it owns.
func (s *Server) Run(ctx context.Context, r *call.Request) (*call.Response, error) {
	t := s.fleet.Table()
	route, found := t.RouteNamed(r.Route)
	if !found {
		return nil, unavailable("unknown_route", "the tables in force have no such route")
	}
	return s.attempts(ctx, t, route, r)
}

func (s *Server) attempt(ctx context.Context, t *table.Table, route *table.Route, r *call.Request, tried map[string]bool) (*call.Response, error) {
	owner, err := s.place(t, route, r, tried)
	if err != nil {
		return nil, err
	}
	tried[r.Worker] = true
	end := s.fleet.Begin(r.Worker)
	var answer *call.Response
	if t.Pools[route.Pool].Kind == table.Service || owner.Name == s.fleet.Self() {
		answer, err = s.local.Serve(ctx, r)
	} else {
		answer, err = s.remote.Do(ctx, owner.PeerAddress, r)
	}
	if err != nil {
		end()
		return nil, err
	}
	answer.Owner = owner.Name
	answer.Body = &counted{ReadCloser: answer.Body, end: end}
	return answer, nil
}

// avoidTried keeps a further attempt from the workers already tried, unless no
// other takes new work: the connection may be what failed, and a further attempt
// goes over a fresh one.
func avoidTried(candidates []placement.Candidate, tried map[string]bool) {
	untried := slices.ContainsFunc(candidates, func(c placement.Candidate) bool {
		return !c.Leaving && !tried[c.Endpoint.Name]
	})
	if !untried {
		return
	}
	for i := range candidates {
		candidates[i].Leaving = candidates[i].Leaving || tried[candidates[i].Endpoint.Name]
	}
}

// place chooses the worker of an attempt and returns the worker's owner.
func (s *Server) place(t *table.Table, route *table.Route, r *call.Request, tried map[string]bool) (member.Instance, error) {
	pool := t.Pools[route.Pool]
	candidates := s.fleet.Candidates(pool, r.Adapter)
	avoidTried(candidates, tried)
	best, found := s.picker.Pick(s.query(t, pool, r.Adapter, r.Rank), candidates)
	if !found {
		return member.Instance{}, unavailable("no_worker", "no worker of the pool takes new work")
	}
	r.Worker = candidates[best].Endpoint.Name
	owner, owned := s.fleet.Owner(r.Worker)
	if !owned {
		return member.Instance{}, unavailable("no_owner", "no instance orders the worker")
	}
	return owner, nil
}

func (s *Server) query(t *table.Table, pool *table.Pool, adapter table.AdapterVersion, rank table.Rank) placement.Query {
	return placement.Query{
		Adapter:    adapter,
		Rank:       rank,
		LinkOpen:   true,
		DataCentre: s.fleet.DataCentre(),
		Region:     t.RegionOf(s.fleet.DataCentre()),
		RegionOf:   t.RegionOf,
		Batch:      pool.Batch,
	}
}

func unavailable(code, message string) *call.Error {
	return &call.Error{
		Status:     fasthttp.StatusServiceUnavailable,
		Code:       code,
		RetryAfter: time.Second,
		Err:        errors.New(message),
	}
}

// counted ends the in-flight count when the answer's body is closed.
type counted struct {
	io.ReadCloser
	end func()
}

// Close implements io.Closer.
func (c *counted) Close() error {
	c.end()
	return c.ReadCloser.Close()
}
