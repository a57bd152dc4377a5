package keys

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"io"
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

// Config sizes Keys.
type Config struct {
	// Record bounds what is remembered of keys.
	Record attempt.RecordConfig
	// Concurrency bounds the runs in progress.
	Concurrency int
}

// Remote forwards a call to the owner of its key at address.
type Remote interface {
	DoKeyed(ctx context.Context, address string, r *call.Request) (*call.Response, error)
}

// Runner runs a call and returns its answer; it never runs it twice.
type Runner func(ctx context.Context, r *call.Request) (*call.Response, error)

// Keys serves calls that carry a key. It is safe for concurrent use.
type Keys struct {
	config Config
	fleet  *fleet.Fleet
	rights Rights
	remote Remote
	run    Runner
	log    zerolog.Logger
	pool   *ants.Pool
	sends  atomic.Uint64
	// shardOf is the rights to the shards of the own data centre.
	shardOf map[ownership.Right]int

	mu      sync.Mutex
	record  *attempt.Record
	waiting map[uint64]chan decision
	shards  [attempt.Shards]shardRuns
	idle    *sync.Cond // a run has ended
	homes   homes
}

// shardRuns counts the runs in progress of a shard.
type shardRuns struct {
	running int
	// handing says that the shard is being handed over: nothing more runs.
	handing bool
	// inherited says that the record goes on where the last holder's ended.
	inherited bool
}

// decision is what a send waits for: an answer or an error.
type decision struct {
	answer attempt.Answer
	err    error
}

// New returns Keys that runs calls by run and asks other owners by remote.
func New(config Config, f *fleet.Fleet, rights Rights, remote Remote, run Runner, log zerolog.Logger) (*Keys, error) {
	pool, err := ants.NewPool(config.Concurrency, ants.WithNonblocking(true))
	if err != nil {
		return nil, oops.Wrap(err)
	}
	k := &Keys{
		config:  config,
		fleet:   f,
		rights:  rights,
		shardOf: shardsOf(f.DataCentre()),
		remote:  remote,
		run:     run,
		log:     log,
		pool:    pool,
		record:  attempt.NewRecord(config.Record),
		waiting: make(map[uint64]chan decision),
	}
	k.idle = sync.NewCond(&k.mu)
	return k, nil
}

// Close releases the pool.
func (k *Keys) Close() { k.pool.Release() }

// Tick lets time pass.
func (k *Keys) Tick() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.observeHomes()
	k.record.Step(k.fleet.Now(), attempt.Tick{Wall: wall()})
}

// wall returns the wall clock since the Unix epoch.
func wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Serve serves a call whose key this instance owns. Its error is a *call.Error.
//
// The run does not end with ctx: whoever sends the key again must find its
// outcome.
func (k *Keys) Serve(ctx context.Context, r *call.Request) (*call.Response, error) {
	key, home, err := k.locate(r)
	if err != nil {
		return nil, err
	}
	if home != k.fleet.DataCentre() {
		return nil, refused(fasthttp.StatusMisdirectedRequest, string(attempt.NotHolder), fmt.Errorf("the key's home is %q", home))
	}
	id, decided := k.arrive(key, r)
	select {
	case d := <-decided:
		return answerOf(d)
	case <-ctx.Done():
	}
	k.step(attempt.Abandoned{Send: id})
	select {
	case d := <-decided: // decided while the caller gave up
		return answerOf(d)
	default:
		return nil, unknown(fasthttp.StatusGatewayTimeout, "key_in_progress", context.Cause(ctx))
	}
}

// arrive hands a send to the record, and runs it where the record says so.
func (k *Keys) arrive(key attempt.Key, r *call.Request) (id uint64, decided chan decision) {
	id, decided = k.sends.Add(1), make(chan decision, 1)
	k.mu.Lock()
	k.waiting[id] = decided
	since, held := k.held(key.Shard())
	actions := k.stepLocked(attempt.Arrive{
		Send:      id,
		Key:       key,
		Digest:    digest(r),
		Wall:      wall(),
		Held:      held && !k.shards[key.Shard()].handing,
		HeldSince: since,
		Floor:     k.homeFloor(key, r.Home),
	})
	run := slices.Contains(actions, attempt.RecordAction(attempt.Run{Send: id}))
	if run {
		k.shards[key.Shard()].running++
	}
	k.mu.Unlock()
	if run {
		k.start(id, key, since, *r)
	}
	return id, decided
}

// start runs a call on the pool.
func (k *Keys) start(id uint64, key attempt.Key, since time.Duration, r call.Request) {
	err := k.pool.Submit(func() {
		answer, err := k.once(key, since, &r)
		k.finish(id, key, answer, err)
	})
	if err != nil {
		k.finish(id, key, attempt.Answer{}, refused(fasthttp.StatusServiceUnavailable, "key_runs_full", err))
	}
}

// once runs a call and reads its answer whole. The right is checked again
// immediately before.
func (k *Keys) once(key attempt.Key, since time.Duration, r *call.Request) (attempt.Answer, error) {
	if again, held := k.held(key.Shard()); !held || again != since {
		return attempt.Answer{}, refused(fasthttp.StatusServiceUnavailable, string(attempt.NotHolder), fmt.Errorf("the right to the key has ended"))
	}
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	answer, err := k.run(ctx, r)
	if err != nil {
		return attempt.Answer{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return attempt.Answer{}, unknown(fasthttp.StatusGatewayTimeout, "answer_cut", err)
	}
	return attempt.Answer{Status: answer.Status, Content: answer.ContentType, Worker: answer.Worker, Body: body}, nil
}

// finish records a run's outcome and answers every send that waits for it.
func (k *Keys) finish(id uint64, key attempt.Key, answer attempt.Answer, err error) {
	outcome := attempt.Served
	if err != nil {
		outcome = outcomeOf(err)
		k.log.Warn().Err(err).Str("event", "keyed_run_failed").Str("outcome", string(outcome)).Send()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(attempt.Finished{Send: id, Outcome: outcome, Answer: answer})
	k.shards[key.Shard()].running--
	k.idle.Broadcast()
	k.decide(id, decision{answer: answer, err: err})
}

func (k *Keys) step(event attempt.RecordEvent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stepLocked(event)
}

// stepLocked applies an event and answers the sends that it decides; runs are
// left to the caller.
func (k *Keys) stepLocked(event attempt.RecordEvent) []attempt.RecordAction {
	actions := k.record.Step(k.fleet.Now(), event)
	for _, action := range actions {
		switch a := action.(type) {
		case attempt.Reply:
			k.decide(a.Send, decision{answer: a.Answer})
		case attempt.Refuse:
			k.decide(a.Send, decision{err: refusal(a)})
		}
	}
	if abandoned, is := event.(attempt.Abandoned); is {
		delete(k.waiting, abandoned.Send)
	}
	return actions
}

func (k *Keys) decide(id uint64, d decision) {
	if decided, waits := k.waiting[id]; waits {
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
		Body:        io.NopCloser(bytes.NewReader(d.answer.Body)),
	}, nil
}

// digest covers what the call asks for; lengths keep the fields apart.
func digest(r *call.Request) attempt.Digest {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(r.Method), []byte(r.Path), r.Body} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = hash.Write(field)
	}
	return attempt.Digest(hash.Sum(nil))
}
