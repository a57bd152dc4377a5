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

// clockStep is the change between the wall clock and the monotonic clock that
// is taken for a suspended machine or a set clock.
const clockStep = 250 * time.Millisecond

// Handler acts on the rights of one kind. Its methods are called one at a time,
// HandOver excepted.
type Handler interface {
	// Acquired says that a right is now held.
	Acquired(a ownership.Acquired)
	// Lost says that a right is no longer held.
	Lost(r ownership.Right)
	// HandOver begins no further order under a right, waits until none is in
	// progress and returns what the next holder needs.
	HandOver(r ownership.Right) []byte
}

// Sender delivers a message to a peer.
type Sender interface {
	Lease(ctx context.Context, to member.Instance, message ownership.Message) (ownership.Reply, error)
}

// RenewalsPerTerm is the number of renewals in a lease's term. More ride out more
// lost calls; fewer send fewer bytes.
const RenewalsPerTerm = 3

// Config times a Keeper.
type Config struct {
	// Lease times the leases.
	Lease ownership.Config
	// RenewEvery is the interval between renewals, RenewalsPerTerm in a term.
	RenewEvery time.Duration
	// Concurrency bounds the calls and hand-overs that run at once.
	Concurrency int
}

// Keeper is safe for concurrent use.
type Keeper struct {
	config Config
	fleet  *fleet.Fleet
	sender Sender
	log    zerolog.Logger
	pool   *ants.Pool
	// wallStart is the wall clock when the monotonic clock began.
	wallStart time.Time
	pending   chan struct{}

	mu       sync.Mutex
	machine  *ownership.Machine
	handlers map[string]Handler
	drift    time.Duration
	listRead time.Duration
	actions  []ownership.Action
	left     bool
	looked   bool
}

// Self returns a new incarnation of the instance with that name.
func Self(instance string) ownership.Peer {
	return ownership.Peer{Name: instance, Incarnation: uuid.NewString()}
}

// Ordinal returns the low bits of an incarnation's fencing numbers.
func Ordinal(self ownership.Peer) uint16 {
	return uint16(xxhash.Sum64String(self.Name + "/" + self.Incarnation))
}

// NewKeeper returns the keeper of the instance self.
func NewKeeper(config Config, self ownership.Peer, f *fleet.Fleet, sender Sender, log zerolog.Logger) (*Keeper, error) {
	pool, err := ants.NewPool(config.Concurrency)
	if err != nil {
		return nil, oops.Wrap(err)
	}
	now, wall := f.Clocks()
	k := &Keeper{
		config:    config,
		fleet:     f,
		sender:    sender,
		log:       log,
		pool:      pool,
		wallStart: wall.Add(-now),
		pending:   make(chan struct{}, 1),
		machine:   ownership.NewMachine(self, config.Lease),
		handlers:  make(map[string]Handler),
	}
	f.SetRights(k)
	return k, nil
}

// Handle registers the handler of the rights whose names begin with prefix.
func (k *Keeper) Handle(prefix string, h Handler) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.handlers[prefix] = h
}

// Run keeps the leases until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { k.keep(ctx) })
	group.Go(func() { k.carryOut(ctx) })
	group.Wait()
	k.pool.Release()
}

func (k *Keeper) keep(ctx context.Context) {
	ticker := time.NewTicker(k.config.RenewEvery)
	defer ticker.Stop()
	for {
		k.look()
		select {
		case <-ctx.Done():
			return
		case <-k.fleet.RightSpecsChanged():
		case <-ticker.C:
			k.step(ownership.Tick{})
		}
	}
}

// look tells the machine what the fleet knows.
func (k *Keeper) look() {
	rights, version, read := k.fleet.RightSpecs()
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.fleet.Leaving() && !k.left {
		k.left = true
		k.apply(now, ownership.Leave{})
	}
	if version > 0 {
		k.looked = true
		k.apply(now, ownership.Listed{Rights: rights})
	}
	if read > k.listRead {
		k.listRead = read
		k.apply(now, ownership.Fresh{At: read})
	}
}

func (k *Keeper) step(event ownership.Event) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.apply(k.now(), event)
}

// apply steps the machine and queues the actions. The lock must be held.
func (k *Keeper) apply(now time.Duration, event ownership.Event) {
	actions := k.machine.Step(now, event)
	if len(actions) == 0 {
		return
	}
	k.actions = append(k.actions, actions...)
	select {
	case k.pending <- struct{}{}:
	default:
	}
}

// now returns the monotonic time. Where the wall clock has moved against it the
// machine may have been suspended, and nothing granted before counts.
func (k *Keeper) now() time.Duration {
	now, wall := k.fleet.Clocks()
	drift := wall.Sub(k.wallStart) - now
	if (drift - k.drift).Abs() > clockStep {
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

// FenceSeen reports a fencing number that an endpoint told.
func (k *Keeper) FenceSeen(r ownership.Right, number uint64) {
	k.step(ownership.FenceSeen{Right: r, Number: number})
}

// Receive answers a peer's message.
func (k *Keeper) Receive(message ownership.Message) ownership.Reply {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	before := len(k.actions)
	k.apply(now, ownership.Received{Message: message})
	for i := before; i < len(k.actions); i++ {
		if answer, is := k.actions[i].(ownership.Answer); is {
			k.actions = append(k.actions[:i], k.actions[i+1:]...)
			return answer.Reply
		}
	}
	return ownership.Reply{}
}

// Settled tells whether the wait after the start is over.
func (k *Keeper) Settled() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.looked && k.machine.Settled(k.now())
}

// errNotLeft is returned where rights are still held when the wait ends.
var errNotLeft = errors.New("rights were not handed over in time")

// AwaitHandOver returns when no right is held any more.
func (k *Keeper) AwaitHandOver(ctx context.Context) error {
	ticker := time.NewTicker(handOverPoll)
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
			return oops.Code("hand_over_incomplete").With("held", held).Wrap(errNotLeft)
		case <-ticker.C:
		}
	}
}

// handOverPoll is the interval between looks at what is still held.
const handOverPoll = 10 * time.Millisecond

func (k *Keeper) handler(r ownership.Right) (Handler, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for prefix, h := range k.handlers {
		if strings.HasPrefix(string(r), prefix) {
			return h, true
		}
	}
	return nil, false
}
