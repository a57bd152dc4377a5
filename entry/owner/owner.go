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

// loadTimeout limits the duration of one load or unload order.
const loadTimeout = 30 * time.Second

// loadConcurrency is the maximum number of load tasks and take-overs that run
// at once.
const loadConcurrency = 64

// Config holds the settings of an Owner.
type Config struct {
	// QueueLimit is the maximum number of requests that wait for one worker.
	QueueLimit int
	// Store holds the weight store's limits for the whole fleet.
	Store residency.StoreLimits
	// DispatchConcurrency is the maximum number of endpoint calls that wait for
	// their response head.
	DispatchConcurrency int
	// ServeGrace is how long after the end of a lease requests are still
	// dispatched to the adapters that are resident. A longer grace serves more
	// requests while no voter can be reached, but the next holder of the right
	// evicts nothing for as long.
	ServeGrace time.Duration
	// MaxDeadline is the longest time from a request's arrival to its deadline.
	MaxDeadline time.Duration
}

// FenceObserver is told which fencing tokens the endpoints have seen.
type FenceObserver interface {
	FenceSeen(r ownership.Right, number uint64)
}

// Owner serves the workers that this instance owns. It is safe for concurrent
// use.
type Owner struct {
	config        Config
	fleet         *fleet.Fleet
	client        *endpoint.Client
	log           zerolog.Logger
	dispatch      *ants.Pool
	loads         *ants.Pool
	nextID        atomic.Uint64
	fenceObserver FenceObserver

	telemetry *telemetry.Telemetry

	mu sync.Mutex
	// workers holds the engines used so far by name.
	workers map[string]*worker
	budget  budget
}

// worker is the state of one engine. Owner.mu must be held to use it, except
// for the name.
type worker struct {
	name    string
	machine *residency.Worker
	// waiting holds the queued requests by ID.
	waiting   map[uint64]*waitingRequest
	authority authority
}

// waitingRequest is a queued request. decided receives the Dispatch or Reject
// that ends its wait.
type waitingRequest struct {
	request *call.Request
	pin     pin
	decided chan residency.Action
}

// New returns an owner that has no workers yet.
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

// SetFenceObserver sets the receiver of fencing tokens. It must be called
// before Serve.
func (o *Owner) SetFenceObserver(f FenceObserver) { o.fenceObserver = f }

// Close releases the goroutine pools.
func (o *Owner) Close() {
	o.dispatch.Release()
	o.loads.Release()
}

// Serve runs one attempt of a request and returns when the head of the response
// has been received. Its error is a *call.Error. The caller must close the
// response's body.
func (o *Owner) Serve(ctx context.Context, r *call.Request) (*call.Response, error) {
	target, pool, known := o.fleet.Table().Endpoint(r.Worker)
	if !known {
		return nil, notRunError(fasthttp.StatusServiceUnavailable, "unknown_worker", fmt.Errorf("worker %q is not in the tables", r.Worker))
	}
	if o.fleet.EndpointLeaving(r.Worker) {
		return nil, notRunError(fasthttp.StatusServiceUnavailable, "endpoint_leaving", fmt.Errorf("%s takes no new work", r.Worker))
	}
	if pool.Kind == table.Service {
		return o.callEndpoint(ctx, target.Address, r)
	}
	_, held := o.fleet.Held(ownership.WorkerRight(r.Worker))
	owner, _ := o.fleet.Owner(r.Worker)
	if !held && owner.Name != o.fleet.Self() {
		return nil, notOwnerError(r.Worker, owner.Name)
	}
	return o.serveEngine(ctx, target.Address, r)
}

// serveEngine queues a request for an engine and dispatches it once its adapter
// is resident and the worker has capacity. The adapter stays pinned until the
// response's body is closed.
func (o *Owner) serveEngine(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	queuedAt := time.Now()
	id := o.nextID.Add(1)
	w, known := o.workerFor(r.Worker)
	if !known {
		return nil, notRunError(fasthttp.StatusServiceUnavailable, "unknown_worker", fmt.Errorf("worker %q is not in the tables", r.Worker))
	}
	hop := o.telemetry.Queue(r, o.lacksAdapter(r))
	t, err := o.enqueue(w, id, r)
	if err == nil {
		err = o.awaitDispatch(ctx, w, id, t)
	}
	hop.End(err)
	if err != nil {
		return nil, err
	}
	wait := time.Since(queuedAt)
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
	answer.Body = &pinnedBody{ReadCloser: answer.Body, release: func() {
		o.step(w, residency.Finished{ID: id})
	}}
	return answer, nil
}

// run dispatches a request that has left the queue.
func (o *Owner) run(ctx context.Context, w *worker, id uint64, address string, r *call.Request) (*call.Response, error) {
	if err := o.checkDispatch(w, id); err != nil {
		return nil, err
	}
	answer, err := o.callEndpoint(ctx, address, r)
	if err == nil && answer.Status == fasthttp.StatusNotFound {
		o.readopt(w) // the engine has lost the adapter in a restart
	}
	return answer, err
}

// workerFor returns the state of an engine, or false if the table does not list
// the engine. It creates the state at the first call.
func (o *Owner) workerFor(name string) (*worker, bool) {
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
			name:      name,
			waiting:   make(map[uint64]*waitingRequest),
			authority: authority{dispatched: make(map[uint64]pin)},
			machine:   residency.NewWorker(name, o.workerConfig(pool)),
		}
		o.workers[name] = w
	}
	return w, true
}

// enqueue adds a request to the worker's queue. It fails if the worker has been
// handed over.
func (o *Owner) enqueue(w *worker, id uint64, r *call.Request) (*waitingRequest, error) {
	now := o.fleet.Now()
	deadline := now + r.Remaining()
	t := &waitingRequest{
		request: r,
		pin:     pin{adapter: r.Adapter, deadline: deadline},
		decided: make(chan residency.Action, 1),
	}
	o.mu.Lock()
	if w.authority.handedOver {
		o.mu.Unlock()
		return nil, notOwnerError(w.name, "")
	}
	w.waiting[id] = t
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

// workerConfig returns the settings of the pool's workers.
func (o *Owner) workerConfig(pool *table.Pool) residency.Config {
	config := residency.DefaultConfig(pool.Slots, pool.Batch)
	config.Queue.Limit = o.config.QueueLimit
	config.Limiter = o.budget.Budget
	return config
}

// awaitDispatch waits for the decision on a queued request. It returns nil if
// the request may be dispatched now. If ctx ends first, the request leaves the
// queue.
func (o *Owner) awaitDispatch(ctx context.Context, w *worker, id uint64, t *waitingRequest) error {
	select {
	case decision := <-t.decided:
		return o.decisionError(decision)
	case <-ctx.Done():
	}
	o.step(w, residency.Cancel{ID: id})
	select {
	case decision := <-t.decided: // decided while ctx ended
		if _, dispatched := decision.(residency.Dispatch); dispatched {
			o.step(w, residency.Finished{ID: id})
		}
	default:
	}
	return notRunError(fasthttp.StatusServiceUnavailable, "cancelled", context.Cause(ctx))
}

// decisionError returns nil for a Dispatch and the error for the sender for a
// Reject.
func (o *Owner) decisionError(action residency.Action) error {
	reject, rejected := action.(residency.Reject)
	if !rejected {
		return nil
	}
	if reject.Reason == workerMoved {
		return notRunError(fasthttp.StatusMisdirectedRequest, "not_owner", errors.New(string(reject.Reason)))
	}
	failed := notRunError(fasthttp.StatusServiceUnavailable, "rejected", errors.New(string(reject.Reason)))
	switch reject.Reason {
	case residency.LoadError: // without RetryAfter, so that another worker is tried
		return failed
	case residency.QueueFull:
		failed.Status = fasthttp.StatusTooManyRequests
	}
	failed.RetryAfter = max(reject.RetryAfter, time.Second)
	return failed
}

// callEndpoint calls the endpoint on the dispatch pool, whose size limits the
// calls that wait for their response head. A full pool is an error, and the
// request has not run.
func (o *Owner) callEndpoint(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
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
		return nil, notRunError(fasthttp.StatusServiceUnavailable, "dispatch_full", err)
	}
	out := <-done
	if out.err != nil {
		hop.End(out.err)
		return nil, out.err
	}
	out.answer.Body = hop.Stream(sent, out.answer.Body)
	return out.answer, nil
}

// notOwnerError is the error for a worker that this instance does not own.
func notOwnerError(worker, owner string) *call.Error {
	return notRunError(fasthttp.StatusMisdirectedRequest, "not_owner", fmt.Errorf("%s is owned by %q", worker, owner))
}

// notRunError is the error of a request that has certainly not run.
func notRunError(status int, code string, err error) *call.Error {
	return &call.Error{Failure: attempt.Failure{}, Status: status, Code: code, Err: err}
}
