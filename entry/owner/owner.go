package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/endpoint"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// loadTimeout bounds one load order at an engine.
const loadTimeout = 30 * time.Second

// loadConcurrency bounds the load orders that run at once.
const loadConcurrency = 64

// Config sizes an Owner.
type Config struct {
	// QueueLimit bounds the requests that wait for one worker.
	QueueLimit int
	// Store is what the weight store allows the whole fleet.
	Store residency.StoreLimits
	// DispatchConcurrency bounds the endpoint calls that wait for their head.
	DispatchConcurrency int
	// ServeGrace is for how long resident adapters are used after a lease has
	// ended. Longer serves more while no voter answers; the next holder evicts
	// nothing for as long.
	ServeGrace time.Duration
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
}

// Fences takes fencing numbers that endpoints told.
type Fences interface {
	FenceSeen(r ownership.Right, number uint64)
}

// Owner serves the workers that this instance owns. It is safe for concurrent
// use.
type Owner struct {
	config   Config
	fleet    *fleet.Fleet
	client   *endpoint.Client
	log      zerolog.Logger
	dispatch *ants.Pool
	loads    *ants.Pool
	nextID   atomic.Uint64
	fences   Fences

	telemetry *telemetry.Telemetry

	mu      sync.Mutex
	workers map[string]*worker
	budget  budget
}

type worker struct {
	name    string
	machine *residency.Worker
	tickets map[uint64]*ticket
	auth    authority
}

// ticket is a request that waits for its turn.
type ticket struct {
	request *call.Request
	pin     pin
	decided chan residency.Action
}

// New returns an owner without workers.
func New(config Config, f *fleet.Fleet, client *endpoint.Client, log zerolog.Logger) (*Owner, error) {
	dispatch, err := ants.NewPool(config.DispatchConcurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	loads, err := ants.NewPool(loadConcurrency)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	return &Owner{
		config:   config,
		fleet:    f,
		client:   client,
		log:      log,
		dispatch: dispatch,
		loads:    loads,
		workers:  make(map[string]*worker),
		budget:   newBudget(),
	}, nil
}

// UseFences sets who is told of fencing numbers; it must be called before Serve.
func (o *Owner) UseFences(f Fences) { o.fences = f }

// Close releases the pools.
func (o *Owner) Close() {
	o.dispatch.Release()
	o.loads.Release()
}

// Serve runs one attempt and returns when the head of the answer is there. Its
// error is a *call.Error.
func (o *Owner) Serve(ctx context.Context, r *call.Request) (*call.Response, error) {
	at, pool, known := o.fleet.Table().Endpoint(r.Worker)
	if !known {
		return nil, notRun(fasthttp.StatusServiceUnavailable, "unknown_worker", fmt.Errorf("worker %q is not in the tables", r.Worker))
	}
	if o.fleet.EndpointLeaving(r.Worker) {
		return nil, notRun(fasthttp.StatusServiceUnavailable, "endpoint_leaving", fmt.Errorf("%s takes no new work", r.Worker))
	}
	if pool.Kind == table.Service {
		return o.call(ctx, at.Address, r)
	}
	_, held := o.fleet.Held(ownership.WorkerRight(r.Worker))
	owned, _ := o.fleet.Owner(r.Worker)
	if !held && owned.Name != o.fleet.Self() {
		return nil, notOwner(r.Worker, owned.Name)
	}
	return o.serveEngine(ctx, at.Address, r)
}

func (o *Owner) serveEngine(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	queued := time.Now()
	id := o.nextID.Add(1)
	w, known := o.known(r.Worker)
	if !known {
		return nil, notRun(fasthttp.StatusServiceUnavailable, "unknown_worker", fmt.Errorf("worker %q is not in the tables", r.Worker))
	}
	hop := o.telemetry.Queue(r, o.absent(r))
	t, err := o.arrive(w, id, r)
	if err == nil {
		err = o.await(ctx, w, id, t)
	}
	hop.End(err)
	if err != nil {
		return nil, err
	}
	wait := time.Since(queued)
	answer, err := o.run(ctx, w, id, address, r)
	if err == nil {
		err = endpoint.CheckStatus(answer)
	}
	if err == nil && !r.Stream && answer.Status == fasthttp.StatusOK {
		err = endpoint.VerifyCompletion(r, answer)
	}
	if err != nil {
		o.step(w, residency.Finished{ID: id})
		return nil, err
	}
	answer.Adapter = r.Adapter.String()
	answer.Wait = wait
	answer.Body = &pinned{ReadCloser: answer.Body, release: func() {
		o.step(w, residency.Finished{ID: id})
	}}
	return answer, nil
}

// run sends a request whose turn it is.
func (o *Owner) run(ctx context.Context, w *worker, id uint64, address string, r *call.Request) (*call.Response, error) {
	if err := o.mayDispatch(w, id); err != nil {
		return nil, err
	}
	answer, err := o.call(ctx, address, r)
	if err == nil && answer.Status == fasthttp.StatusNotFound {
		o.readopt(w) // the engine has restarted
	}
	return answer, err
}

// known returns the state of an engine that the tables name.
func (o *Owner) known(name string) (*worker, bool) {
	t := o.fleet.Table()
	if t == nil {
		return nil, false
	}
	_, pool, found := t.Endpoint(name)
	if !found || pool.Kind != table.Engine {
		return nil, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	w, found := o.workers[name]
	if !found {
		w = &worker{
			name:    name,
			tickets: make(map[uint64]*ticket),
			auth:    authority{sent: make(map[uint64]pin)},
			machine: residency.NewWorker(name, o.policy(pool)),
		}
		o.workers[name] = w
	}
	return w, true
}

func (o *Owner) arrive(w *worker, id uint64, r *call.Request) (*ticket, error) {
	now := o.fleet.Now()
	deadline := now + r.Remaining()
	t := &ticket{
		request: r,
		pin:     pin{adapter: r.Adapter, deadline: deadline},
		decided: make(chan residency.Action, 1),
	}
	o.mu.Lock()
	if w.auth.closed {
		o.mu.Unlock()
		return nil, notOwner(w.name, "")
	}
	w.tickets[id] = t
	o.mu.Unlock()
	o.step(w, residency.Arrive{Request: admission.Request{
		ID:       id,
		Adapter:  r.Adapter,
		Rank:     r.Rank,
		Caller:   r.Caller,
		Bytes:    len(r.Body),
		Arrived:  now,
		Deadline: deadline,
	}})
	return t, nil
}

// policy returns the settings of a worker of the pool.
func (o *Owner) policy(pool *table.Pool) residency.Config {
	policy := residency.DefaultConfig(pool.Slots, pool.Batch)
	policy.Queue.Limit = o.config.QueueLimit
	policy.Limiter = o.budget.Budget
	return policy
}

// await returns nil when the request may be dispatched now.
func (o *Owner) await(ctx context.Context, w *worker, id uint64, t *ticket) error {
	select {
	case decision := <-t.decided:
		return o.decision(decision)
	case <-ctx.Done():
	}
	o.step(w, residency.Cancel{ID: id})
	select {
	case decision := <-t.decided: // decided while the caller gave up
		if _, dispatched := decision.(residency.Dispatch); dispatched {
			o.step(w, residency.Finished{ID: id})
		}
	default:
	}
	return notRun(fasthttp.StatusServiceUnavailable, "cancelled", context.Cause(ctx))
}

func (o *Owner) decision(action residency.Action) error {
	reject, rejected := action.(residency.Reject)
	if !rejected {
		return nil
	}
	if reject.Reason == movedAway {
		return notRun(fasthttp.StatusMisdirectedRequest, "not_owner", errors.New(string(reject.Reason)))
	}
	failed := notRun(fasthttp.StatusServiceUnavailable, "rejected", errors.New(string(reject.Reason)))
	switch reject.Reason {
	case residency.LoadError: // without a time to wait, so that another worker is tried
		return failed
	case residency.QueueFull:
		failed.Status = fasthttp.StatusTooManyRequests
	}
	failed.RetryAfter = max(reject.RetryAfter, time.Second)
	return failed
}

// call runs the endpoint call on the dispatch pool, whose size bounds the calls
// that wait for their head.
func (o *Owner) call(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	type result struct {
		answer *call.Response
		err    error
	}
	hop, sent := o.telemetry.Dispatch(r)
	done := make(chan result, 1)
	err := o.dispatch.Submit(func() {
		answer, err := o.client.Do(ctx, address, sent)
		done <- result{answer, err}
	})
	if err != nil {
		hop.End(err)
		return nil, notRun(fasthttp.StatusServiceUnavailable, "dispatch_full", err)
	}
	out := <-done
	if out.err != nil {
		hop.End(out.err)
		return nil, out.err
	}
	out.answer.Body = hop.Stream(sent, out.answer.Body)
	return out.answer, nil
}

func notOwner(worker, owner string) *call.Error {
	return notRun(fasthttp.StatusMisdirectedRequest, "not_owner", fmt.Errorf("%s is owned by %q", worker, owner))
}

func notRun(status int, code string, err error) *call.Error {
	return &call.Error{Failure: attempt.Failure{}, Status: status, Code: code, Err: err}
}
