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
	"github.com/bulrushwick/bulrushwick/entry/recovery"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// Local sends attempts to workers that this instance owns.
type Local interface {
	Serve(ctx context.Context, r *call.Request) (*call.Response, error)
}

// Remote forwards attempts to the instance at a peer address.
type Remote interface {
	Do(ctx context.Context, address string, r *call.Request) (*call.Response, error)
}

// Keyed serves requests that carry an idempotency key and are not idempotent.
type Keyed interface {
	Send(ctx context.Context, r *call.Request) (*call.Response, error)
	// Ready reports whether this instance would now run the requests of new keys
	// that it owns.
	Ready() bool
}

// Server handles the requests of callers. Its handlers are safe for concurrent
// use.
type Server struct {
	keyed  Keyed
	fleet  *fleet.Fleet
	local  Local
	remote Remote
	picker *placement.Picker
	// readBody reads the body of a request.
	readBody func(*fasthttp.RequestCtx) ([]byte, *httpx.Problem)
	// memory counts responses that are held whole.
	memory call.Memory
	log    zerolog.Logger
	// reportPanic takes the panics of response bodies.
	reportPanic recovery.Reporter

	mu     sync.Mutex // guards budget, which the lifecycles of all requests share
	budget *attempt.Budget

	telemetry *telemetry.Telemetry
}

// Observe sets the telemetry that counts and traces the requests. It must be
// called before the first request.
func (s *Server) Observe(t *telemetry.Telemetry) { s.telemetry = t }

// NewServer returns a server that sends attempts through local if this instance
// owns the worker or the pool is a service, and through remote otherwise. The panics of
// response bodies go to reportPanic. readBody reads the bodies of requests, and memory
// counts responses that are held whole.
func NewServer(f *fleet.Fleet, local Local, remote Remote, readBody func(*fasthttp.RequestCtx) ([]byte, *httpx.Problem), memory call.Memory, log zerolog.Logger, reportPanic recovery.Reporter) *Server {
	return &Server{
		fleet:       f,
		local:       local,
		remote:      remote,
		readBody:    readBody,
		memory:      memory,
		picker:      placement.NewPicker(placement.DefaultConfig()),
		log:         log,
		reportPanic: reportPanic,
		budget:      attempt.NewBudget(attempt.DefaultBudgetConfig()),
	}
}

// UseKeyed sets the handler of requests with an idempotency key. It must be
// called before the first request.
func (s *Server) UseKeyed(keyed Keyed) { s.keyed = keyed }

// Handle is the request handler of the callers' listener.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		s.handleReady(ctx)
	default:
		s.handleRequest(ctx)
	}
}

func (s *Server) handleReady(ctx *fasthttp.RequestCtx) {
	if !s.fleet.Ready() || !s.keyed.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

func (s *Server) handleRequest(ctx *fasthttp.RequestCtx) {
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
	body, problem := s.readBody(ctx)
	if problem != nil {
		problem.Write(ctx)
		return
	}
	r, route, problem := parse(ctx, t, body)
	if problem != nil {
		problem.Write(ctx)
		return
	}
	r.Table, r.Entry, r.Memory = t.Stamp(), s.fleet.Self(), s.memory
	ctx.Response.Header.Set(httpx.RequestID, r.ID)
	hop := s.telemetry.Ingress(r)
	answer, err := forward.ServeCancellable(ctx, r, func(ctx context.Context, r *call.Request) (*call.Response, error) {
		if r.Key != "" && !r.Idempotent {
			return s.keyed.Send(ctx, r)
		}
		return s.runAttempts(ctx, t, route, r)
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
	forward.WriteAnswer(ctx, answer, s.memory, s.reportPanic)
}

// Run serves a request by its route. Keyed calls it for a request whose key
// this instance owns.
func (s *Server) Run(ctx context.Context, r *call.Request) (*call.Response, error) {
	t := s.fleet.Table()
	route, found := t.RouteNamed(r.Route)
	if !found {
		return nil, unavailable("unknown_route", "the tables in force have no such route")
	}
	return s.runAttempts(ctx, t, route, r)
}

// runAttempt makes one attempt on a worker that it chooses, and adds the worker
// to tried.
func (s *Server) runAttempt(ctx context.Context, t *table.Table, route *table.Route, r *call.Request, tried map[string]bool) (*call.Response, error) {
	owner, err := s.chooseWorker(t, route, r, tried)
	if err != nil {
		return nil, err
	}
	tried[r.Worker] = true
	endInFlight := s.fleet.Begin(r.Worker)
	var answer *call.Response
	if t.Pools[route.Pool].Kind == table.Service || owner.Name == s.fleet.Self() {
		answer, err = s.local.Serve(ctx, r)
	} else {
		answer, err = s.remote.Do(ctx, owner.PeerAddress, r)
	}
	if err != nil {
		endInFlight()
		return nil, err
	}
	answer.Owner = owner.Name
	answer.Body = &inFlightBody{ReadCloser: answer.Body, endInFlight: endInFlight}
	return answer, nil
}

// avoidTried excludes the workers already tried, unless no other worker takes
// new work. A tried worker may then be used again: the failure may have been
// that of the connection, and a further attempt opens a new one.
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

// chooseWorker chooses the worker of an attempt, sets it in the request and
// returns the worker's owner.
func (s *Server) chooseWorker(t *table.Table, route *table.Route, r *call.Request, tried map[string]bool) (member.Instance, error) {
	pool := t.Pools[route.Pool]
	candidates := s.fleet.Candidates(pool, r.Adapter)
	avoidTried(candidates, tried)
	best, found := s.picker.Pick(s.placementQuery(t, pool, r.Adapter, r.Rank), candidates)
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

func (s *Server) placementQuery(t *table.Table, pool *table.Pool, adapter table.AdapterVersion, rank table.Rank) placement.Query {
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

// inFlightBody is a response body that ends the request's part in the worker's
// in-flight count when it is closed.
type inFlightBody struct {
	io.ReadCloser
	endInFlight func()
}

// Close implements io.Closer.
func (c *inFlightBody) Close() error {
	c.endInFlight()
	return c.ReadCloser.Close()
}
