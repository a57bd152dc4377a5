package attempt

import (
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

// world simulates a fleet of instances that compete for one right, in virtual
// time. The holder considers its right expired earlier than the others do.
type world struct {
	random      *rand.Rand
	config      RecordConfig
	noFloor     bool // the broken variant: every right began before all keys were minted
	now         time.Duration
	instances   []*worldInstance
	claimableAt time.Duration // earliest time at which another instance may claim the right
	nextSend    uint64
	nextKey     uint64
	keys        []Key
	inFlight    []worldSend
	outbox      []worldSend // decided to run, not yet sent to the endpoint
	running     []worldSend // running at the endpoint
	runs        map[Key]int
	violation   string
}

type worldInstance struct {
	record    *Record
	bootedAt  time.Duration
	skew      time.Duration
	held      bool
	heldSince time.Duration
	expiresAt time.Duration
	frozen    bool
}

// worldSend is one send of a key and the instance that it goes to.
type worldSend struct {
	send     uint64
	key      Key
	instance *worldInstance
}

const (
	worldLeaseTTL = 3 * time.Second
	worldMaxSkew  = 500 * time.Millisecond
)

func newWorld(t *rapid.T, config RecordConfig) *world {
	w := &world{config: config, runs: make(map[Key]int)}
	w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for range 3 {
		skew := time.Duration(w.between(0, int(worldMaxSkew/time.Millisecond))) * time.Millisecond
		w.instances = append(w.instances, &worldInstance{record: NewRecord(config), skew: skew})
	}
	return w
}

// between draws from a uniform distribution. rapid's own generators favour small
// numbers and would miss most orders of events.
func (w *world) between(low, high int) int { return low + w.random.IntN(high-low+1) }

func (w *world) randomInstance() *worldInstance { return w.instances[w.between(0, len(w.instances)-1)] }

func (w *world) wall(i *worldInstance) time.Duration { return epoch + w.now + i.skew }

// target picks the instance that a send goes to: mostly one that holds the right
// or held it until recently.
func (w *world) target() *worldInstance {
	for range 3 {
		if i := w.randomInstance(); i.held && w.now < i.expiresAt+worldLeaseTTL {
			return i
		}
	}
	return w.randomInstance()
}

// advance moves the virtual time forward.
func (w *world) advance() {
	w.now += time.Duration(w.between(1, 1500)) * time.Millisecond
}

// renew extends the holder's right, or lets an instance claim an expired one.
func (w *world) renew() {
	i := w.randomInstance()
	if i.frozen {
		return
	}
	if i.held && w.now < i.expiresAt || w.now >= w.claimableAt {
		if !i.held || w.now >= i.expiresAt {
			i.held, i.heldSince = true, w.now-i.bootedAt
		}
		i.expiresAt = w.now + worldLeaseTTL
		w.claimableAt = i.expiresAt + time.Millisecond
	}
}

// handOver transfers a right that is held to another instance.
func (w *world) handOver() {
	from, to := w.randomInstance(), w.randomInstance()
	if from == to || from.frozen || to.frozen || !from.held || w.now >= from.expiresAt {
		return
	}
	w.transferRight(from, to)
}

// transferRight moves the right together with the holder's state of all shards.
func (w *world) transferRight(from, to *worldInstance) {
	from.held = false
	to.held, to.heldSince, to.expiresAt = true, w.now-to.bootedAt, from.expiresAt
	for shard := range Shards {
		known := from.record.HandOver(w.now-from.bootedAt, shard, w.wall(from), w.heldSince(from))
		to.record.Step(w.now-to.bootedAt, Inherited{HeldSince: w.heldSince(to), HandOver: known})
	}
}

func (w *world) heldSince(i *worldInstance) time.Duration {
	if w.noFloor {
		return -time.Hour
	}
	return i.heldSince
}

// freeze pauses an instance, which keeps its pending decisions, or resumes it.
func (w *world) freeze() {
	i := w.randomInstance()
	i.frozen = !i.frozen && w.between(0, 2) == 0
}

// restart sometimes replaces an instance by one with an empty record.
func (w *world) restart() {
	i := w.randomInstance()
	if w.between(0, 9) > 0 {
		return
	}
	w.reboot(i)
}

// reboot empties an instance's record and drops its work in progress.
func (w *world) reboot(i *worldInstance) {
	*i = worldInstance{record: NewRecord(w.config), bootedAt: w.now, skew: i.skew}
	survivors := func(all []worldSend) (kept []worldSend) {
		for _, s := range all {
			if s.instance != i {
				kept = append(kept, s)
			}
		}
		return kept
	}
	w.outbox, w.running = survivors(w.outbox), survivors(w.running)
}

// send sends a new key, minted by a caller whose clock is off, or one of the
// last three keys again.
func (w *world) send() {
	if len(w.keys) == 0 || w.between(0, 1) == 0 {
		clockError := time.Duration(w.between(-1000, 1500)) * time.Millisecond
		w.nextKey++
		w.keys = append(w.keys, keyAt(epoch+w.now+clockError, w.nextKey))
	}
	w.nextSend++
	recent := w.keys[max(len(w.keys)-3, 0):]
	w.inFlight = append(w.inFlight, worldSend{w.nextSend, recent[w.between(0, len(recent)-1)], w.target()})
}

// takeRandom removes a random message, so that messages arrive in any order.
// Messages of paused instances stay.
func (w *world) takeRandom(from *[]worldSend) (worldSend, bool) {
	if len(*from) == 0 {
		return worldSend{}, false
	}
	n := w.between(0, len(*from)-1)
	s := (*from)[n]
	if s.instance.frozen {
		return worldSend{}, false
	}
	*from = append((*from)[:n:n], (*from)[n+1:]...)
	return s, true
}

// deliver delivers a send to its instance.
func (w *world) deliver() {
	s, found := w.takeRandom(&w.inFlight)
	if !found {
		return
	}
	if w.between(0, 4) == 0 { // the caller retries
		w.nextSend++
		w.inFlight = append(w.inFlight, worldSend{w.nextSend, s.key, w.target()})
	}
	w.arrive(s)
}

// arrive passes a send to the record of its instance.
func (w *world) arrive(s worldSend) {
	w.apply(s, s.instance.record.Step(w.now-s.instance.bootedAt, Arrive{
		Send: s.send, Key: s.key, Wall: w.wall(s.instance),
		Held: s.instance.held && w.now < s.instance.expiresAt, HeldSince: w.heldSince(s.instance),
	}))
}

// writeToEndpoint sends a call that an instance decided to run, however long ago
// it did.
func (w *world) writeToEndpoint() {
	s, found := w.takeRandom(&w.outbox)
	if !found {
		return
	}
	if w.between(0, 4) == 0 { // the connection failed
		w.apply(s, s.instance.record.Step(w.now-s.instance.bootedAt, Finished{Send: s.send, Outcome: NotRun}))
		return
	}
	w.runs[s.key]++
	if w.runs[s.key] > 1 {
		w.violation = "a key ran twice"
	}
	w.running = append(w.running, s)
}

// respond delivers the endpoint's response or loses it.
func (w *world) respond() {
	s, found := w.takeRandom(&w.running)
	if !found {
		return
	}
	outcome := []Outcome{Served, Unknown}[w.between(0, 1)]
	w.apply(s, s.instance.record.Step(w.now-s.instance.bootedAt, Finished{Send: s.send, Outcome: outcome}))
}

func (w *world) apply(s worldSend, actions []RecordAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case Run:
			w.outbox = append(w.outbox, s)
		case Reply:
			if w.runs[s.key] == 0 {
				w.violation = "reported served, but the key did not run"
			}
		case Refuse:
			if a.Outcome == NotRun && a.Reason != NotHolder && w.runs[s.key] > 0 {
				w.violation = "a holder reported not-run for a key that ran"
			}
		}
	}
}

// run takes random steps and returns the first violation, or "".
func (w *world) run(steps int) string {
	actions := []func(){w.advance, w.renew, w.renew, w.handOver, w.freeze, w.restart,
		w.send, w.send, w.deliver, w.deliver, w.deliver, w.deliver, w.deliver, w.writeToEndpoint, w.writeToEndpoint, w.respond}
	for range steps {
		actions[w.between(0, len(actions)-1)]()
		if w.violation != "" {
			return w.violation
		}
	}
	return ""
}
