package keys

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// Config limits a Keys.
type Config struct {
	// Record limits what is stored of the keys.
	Record attempt.RecordConfig
	// Concurrency is the maximum number of runs in progress.
	Concurrency int
}

// Remote forwards a call to the owner of its key, whose address is given. The
// error of DoKeyed is a *call.Error.
type Remote interface {
	DoKeyed(ctx context.Context, address string, r *call.Request) (*call.Response, error)
}

// Runner runs a call and returns its response. It must not run the call twice.
// An error that is not a *call.Error leaves the outcome unknown.
type Runner func(ctx context.Context, r *call.Request) (*call.Response, error)

// Keys serves the calls that carry an idempotency key. It is safe for
// concurrent use.
type Keys struct {
	config   Config
	fleet    *fleet.Fleet
	rights   Rights
	remote   Remote
	run      Runner
	log      zerolog.Logger
	pool     *ants.Pool
	lastSend atomic.Uint64
	// shardByRight holds the shard of each right in this instance's data
	// centre.
	shardByRight map[ownership.Right]int

	mu     sync.Mutex
	record *attempt.Record
	// waiting holds the sends that have no result yet by ID.
	waiting  map[uint64]chan decision
	shards   [attempt.Shards]shardRuns
	runEnded *sync.Cond // signalled when a run has ended
	homes    homeHistory
}

// shardRuns is the state of one shard on this instance.
type shardRuns struct {
	// running is the number of runs in progress.
	running int
	// handingOver is set while the shard is being handed over: no new run
	// starts.
	handingOver bool
	// inherited is set if the record contains the previous holder's state.
	inherited bool
}

// decision is the result of a send: a response or an error.
type decision struct {
	answer attempt.Answer
	err    error
	// body is a part of the bytes of the answer's body, or nil for one of the record.
	body *shared
}

// New returns a Keys that runs calls with run and forwards those of other
// owners with remote.
func New(config Config, f *fleet.Fleet, rights Rights, remote Remote, run Runner, log zerolog.Logger) (*Keys, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	k := &Keys{
		config:       config,
		fleet:        f,
		rights:       rights,
		shardByRight: shardsByRight(f.DataCentre()),
		remote:       remote,
		run:          run,
		log:          log,
		pool:         pool,
		record:       attempt.NewRecord(config.Record),
		waiting:      make(map[uint64]chan decision),
	}
	k.runEnded = sync.NewCond(&k.mu)
	return k, nil
}

// Close releases the goroutine pool.
func (k *Keys) Close() { k.pool.Release() }

// Tick removes keys whose retention has ended and notes changes of the
// published data centres. It must be called regularly.
func (k *Keys) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeHomes()
	k.record.Step(k.fleet.Now(), attempt.Tick{Wall: wallTime()})
}

// wallTime returns the wall clock, since the Unix epoch.
func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Serve serves a call whose key this instance owns. Its error is a *call.Error.
//
// The run continues after ctx has ended, so that a later send of the key finds
// its outcome.
func (k *Keys) Serve(ctx context.Context, r *call.Request) (*call.Response, error) {
	key, home, err := k.locate(r)
	if err != nil {
		return nil, err
	}
	if home != k.fleet.DataCentre() {
		return nil, notRunError(fasthttp.StatusMisdirectedRequest, string(attempt.NotHolder), fmt.Errorf("the key's home is %q", home))
	}
	id, decided := k.arrive(key, r)
	select {
	case d := <-decided:
		return answerOf(d)
	case <-ctx.Done():
	}
	k.step(attempt.Abandoned{Send: id})
	select {
	case d := <-decided: // decided while ctx ended
		return answerOf(d)
	default:
		return nil, unknownOutcomeError(fasthttp.StatusGatewayTimeout, "key_in_progress", context.Cause(ctx))
	}
}

// arrive passes a send to the record and starts the run if the record decides
// so. The returned channel receives the result of the send.
func (k *Keys) arrive(key attempt.Key, r *call.Request) (id uint64, decided chan decision) {
	id, decided = k.lastSend.Add(1), make(chan decision, 1)
	k.mu.Lock()
	k.waiting[id] = decided
	since, held := k.heldSince(key.Shard())
	actions := k.stepLocked(attempt.Arrive{
		Send:      id,
		Key:       key,
		Digest:    digest(r),
		Wall:      wallTime(),
		Held:      held && !k.shards[key.Shard()].handingOver,
		HeldSince: since,
		Floor:     k.homeFloor(key, r.Home),
	})
	run := slices.Contains(actions, attempt.RecordAction(attempt.Run{Send: id}))
	if run {
		k.shards[key.Shard()].running++
	}
	k.mu.Unlock()
	if run {
		k.startRun(id, key, since, *r)
	}
	return id, decided
}

// startRun runs a call on the pool. If the pool is full, the run ends at once
// with the outcome NotRun.
func (k *Keys) startRun(id uint64, key attempt.Key, since time.Duration, r call.Request) {
	err := k.pool.Submit(func() {
		answer, body, err := k.runOnce(key, since, &r)
		k.finishRun(id, key, decision{answer: answer, err: err, body: body})
	})
	if err != nil {
		k.finishRun(id, key, decision{err: notRunError(fasthttp.StatusServiceUnavailable, "key_runs_full", err)})
	}
}

// runOnce runs a call and reads the complete response. since is when the right
// began that the record was told of: the run fails as not run if that right has
// ended by now, which is checked immediately before the call.
func (k *Keys) runOnce(key attempt.Key, since time.Duration, r *call.Request) (attempt.Answer, *shared, error) {
	if current, held := k.heldSince(key.Shard()); !held || current != since {
		return attempt.Answer{}, nil, notRunError(fasthttp.StatusServiceUnavailable, string(attempt.NotHolder), fmt.Errorf("the right to the key has ended"))
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	answer, err := k.run(ctx, r)
	if err != nil {
		return attempt.Answer{}, nil, err
	}
	body, whole, err := answer.ReadWhole(r.Memory)
	if err == nil && !whole {
		_ = answer.Body.Close() // the record and other sends need the complete response
		err = call.NoMemoryError()
	}
	if err != nil {
		return attempt.Answer{}, nil, err
	}
	return attempt.Answer{Status: answer.Status, Content: answer.ContentType, Worker: answer.Worker, Body: body}, newShared(answer.Body), nil
}

// finishRun records the outcome of a run and answers every send that waits for
// it.
func (k *Keys) finishRun(id uint64, key attempt.Key, d decision) {
	defer d.body.release()
	outcome := attempt.Served
	if d.err != nil {
		outcome = outcomeOf(d.err)
		k.log.Warn().Err(d.err).Str("event", "keyed_run_failed").Str("outcome", string(outcome)).Send()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepSharing(attempt.Finished{Send: id, Outcome: outcome, Answer: d.answer}, d.body)
	k.shards[key.Shard()].running--
	k.runEnded.Broadcast()
	k.decide(id, d)
}

func (k *Keys) step(event attempt.RecordEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(event)
}

// stepLocked applies an event to the record and answers the sends that it
// decides. It starts no runs: the caller does so for the Run actions that it
// returns. k.mu must be held.
func (k *Keys) stepLocked(event attempt.RecordEvent) []attempt.RecordAction {
	return k.stepSharing(event, nil)
}

// stepSharing is stepLocked with the bytes of the response that the event brings.
func (k *Keys) stepSharing(event attempt.RecordEvent, body *shared) []attempt.RecordAction {
	actions := k.record.Step(k.fleet.Now(), event)
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Reply:
			k.decide(a.Send, decision{answer: a.Answer, body: body})
		case attempt.Refuse:
			k.decide(a.Send, decision{err: refusalError(a)})
		}
	}
	if abandoned, isAbandoned := event.(attempt.Abandoned); isAbandoned {
		delete(k.waiting, abandoned.Send)
	}
	return actions
}

// decide passes the result to a send that is still waiting. k.mu must be held.
func (k *Keys) decide(id uint64, d decision) {
	if decided, waits := k.waiting[id]; waits {
		d.body.acquire()
		decided <- d
		delete(k.waiting, id)
	}
}

func answerOf(d decision) (*call.Response, error) {
	if d.err != nil {
		return nil, d.err
	}
	return &call.Response{
		Status:      d.answer.Status,
		ContentType: d.answer.Content,
		Worker:      d.answer.Worker,
		Body:        &sharedBody{Reader: bytes.NewReader(d.answer.Body), release: sync.OnceFunc(d.body.release)},
	}, nil
}

// digest returns the digest of a call's method, path and body. Each field is
// preceded by its length, so that different calls cannot give the same input.
func digest(r *call.Request) attempt.Digest {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write(field)
	}
	return attempt.Digest(hash.Sum(nil))
}
