package lease

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

// clockStepThreshold is the change of the wall clock against the monotonic
// clock from which the machine is assumed to have been suspended, or its clock
// to have been set.
const clockStepThreshold = 250 * time.Millisecond

// Handler uses the rights of one kind. Acquired and Lost are called one at a
// time, HandOver concurrently with them.
type Handler interface {
	// Acquired is called when this instance has begun to hold a right.
	Acquired(a ownership.Acquired)
	// Lost is called when this instance no longer holds a right.
	Lost(r ownership.Right)
	// HandOver stops the use of a right: it starts no new order or run, waits
	// until none is in progress and returns the state for the next holder.
	HandOver(r ownership.Right) []byte
}

// Sender sends a message to a peer and returns the reply.
type Sender interface {
	Lease(ctx context.Context, to member.Instance, message ownership.Message) (ownership.Reply, error)
}

// RenewalsPerLease is the number of renewals within the duration of a lease.
// More renewals tolerate more lost messages; fewer send fewer bytes.
const RenewalsPerLease = 3

// Config holds the settings of a Keeper.
type Config struct {
	// Lease holds the durations of the leases.
	Lease ownership.Config
	// RenewEvery is the interval between renewals: the duration of a lease
	// divided by RenewalsPerLease.
	RenewEvery time.Duration
	// Concurrency is the maximum number of messages and hand-overs in progress.
	Concurrency int
}

// Keeper acquires, renews and hands over the rights of one instance. It is safe
// for concurrent use.
type Keeper struct {
	config Config
	fleet  *fleet.Fleet
	sender Sender
	log    zerolog.Logger
	pool   *ants.Pool
	// wallStart is the wall time at the zero of the monotonic clock.
	wallStart time.Time
	// actionsQueued signals that actions is not empty.
	actionsQueued chan struct{}

	mu      sync.Mutex
	machine *ownership.Machine
	// handlers holds the handlers by the prefix of their rights' names.
	handlers map[string]Handler
	// drift is the wall time since wallStart less the monotonic time, as of the
	// last step of the wall clock.
	drift time.Duration
	// listReadAt is when the list that the machine knows was read.
	listReadAt time.Duration
	actions    []ownership.Action
	// leaveApplied is set once the machine knows that the instance is leaving.
	leaveApplied bool
	// listKnown is set once the machine knows a list.
	listKnown bool
}

// NewIncarnation returns a new incarnation of the named instance. Every run of
// an instance needs its own, so that peers can tell the runs apart.
func NewIncarnation(instance string) ownership.Peer {
	return ownership.Peer{Name: instance, Incarnation: uuid.NewString()}
}

// Ordinal returns the low bits of the fencing tokens of an incarnation. They
// make the tokens of different incarnations unique.
func Ordinal(self ownership.Peer) uint16 {
	return uint16(xxhash.Sum64String(self.Name + "/" + self.Incarnation))
}

// NewKeeper returns the keeper of the instance self and registers it with f as
// the source of the held rights.
func NewKeeper(config Config, self ownership.Peer, f *fleet.Fleet, sender Sender, log zerolog.Logger) (*Keeper, error) {
	pool, err := ants.NewPool(config.Concurrency)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	now, wall := f.Clocks()
	k := &Keeper{
		config:        config,
		fleet:         f,
		sender:        sender,
		log:           log,
		pool:          pool,
		wallStart:     wall.Add(-now),
		actionsQueued: make(chan struct{}, 1),
		machine:       ownership.NewMachine(self, config.Lease),
		handlers:      make(map[string]Handler),
	}
	f.SetRights(k)
	return k, nil
}

// Handle registers the handler for the rights whose names begin with prefix. A
// handler is not told of the rights that were acquired before.
func (k *Keeper) Handle(prefix string, h Handler) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handlers[prefix] = h
}

// Run acquires and renews the rights until ctx is done. It must be called once.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.renewLoop(ctx) })
	group.Go(func() { k.executeActions(ctx) })
	group.Wait()
	k.pool.Release()
}

// renewLoop renews the leases at the set interval, and passes on changes of the
// platform's list at once.
func (k *Keeper) renewLoop(ctx context.Context) {
	ticker := time.NewTicker(k.config.RenewEvery)
	defer ticker.Stop()
	for {
		k.updateFromFleet()
		select {
		case <-ctx.Done():
			return
		case <-k.fleet.RightSpecsChanged():
		case <-ticker.C:
			k.step(ownership.Tick{})
		}
	}
}

// updateFromFleet passes the fleet's state to the machine: the voters of the
// rights, when the list was read, and whether this instance is leaving.
func (k *Keeper) updateFromFleet() {
	rights, version, readAt := k.fleet.RightSpecs()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.fleet.Leaving() && !k.leaveApplied {
		k.leaveApplied = true
		k.apply(now, ownership.Leave{})
	}
	if version > 0 {
		k.listKnown = true
		k.apply(now, ownership.ListChanged{Rights: rights})
	}
	if readAt > k.listReadAt {
		k.listReadAt = readAt
		k.apply(now, ownership.ListConfirmed{At: readAt})
	}
}

func (k *Keeper) step(event ownership.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(k.now(), event)
}

// apply applies an event to the machine and queues the resulting actions. k.mu
// must be held.
func (k *Keeper) apply(now time.Duration, event ownership.Event) {
	actions := k.machine.Step(now, event)
	if len(actions) == 0 {
		return
	}
	k.actions = append(k.actions, actions...)
	select {
	case k.actionsQueued <- struct{}{}:
	default:
	}
}

// now returns the monotonic time since the instance started. If the wall clock
// has stepped against it, the machine may have been suspended, and now resets
// the rights that were granted before. k.mu must be held.
func (k *Keeper) now() time.Duration {
	now, wall := k.fleet.Clocks()
	drift := wall.Sub(k.wallStart) - now
	if (drift - k.drift).Abs() > clockStepThreshold {
		k.drift = drift
		k.log.Warn().Str("event", "clock_stepped").Dur("drift", drift).Send()
		k.apply(now, ownership.Resumed{})
		k.apply(now, ownership.Tick{})
	}
	return now
}

// Held implements fleet.Rights.
func (k *Keeper) Held(r ownership.Right) (ownership.Grant, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machine.Held(k.now(), r)
}

// FenceSeen passes on a fencing token that an endpoint has named.
func (k *Keeper) FenceSeen(r ownership.Right, fence uint64) {
	k.step(ownership.FenceSeen{Right: r, Fence: fence})
}

// Receive applies a peer's message and returns the reply.
func (k *Keeper) Receive(message ownership.Message) ownership.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	before := len(k.actions)
	k.apply(now, ownership.Received{Message: message})
	for i := before; i < len(k.actions); i++ {
		if answer, isAnswer := k.actions[i].(ownership.Respond); isAnswer {
			k.actions = append(k.actions[:i], k.actions[i+1:]...)
			return answer.Reply
		}
	}
	return ownership.Reply{}
}

// Settled reports whether a list is known and this instance holds, or has had
// the time to acquire, every right that it owns by that list.
func (k *Keeper) Settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.listKnown && k.machine.Settled(k.now())
}

// errHandOverIncomplete is returned if rights are still held when AwaitHandOver
// ends.
var errHandOverIncomplete = errors.New("rights were not handed over in time")

// AwaitHandOver waits until this instance holds no right. If ctx ends first,
// the error has the code hand_over_incomplete and the number of the rights that
// are still held.
func (k *Keeper) AwaitHandOver(ctx context.Context) error {
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		held := k.machine.HeldCount(k.now())
		k.mu.Unlock()
		if held == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.Code("hand_over_incomplete").With("held", held).Wrap(errHandOverIncomplete)
		case <-ticker.C:
		}
	}
}

// handOverPollInterval is the interval at which AwaitHandOver checks the held
// rights.
const handOverPollInterval = 10 * time.Millisecond

// handlerOf returns the handler of a right, or false if none is registered.
func (k *Keeper) handlerOf(r ownership.Right) (Handler, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for prefix, h := range k.handlers {
		if strings.HasPrefix(string(r), prefix) {
			return h, true
		}
	}
	return nil, false
}
