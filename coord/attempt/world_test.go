package attempt

import (
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"
)

// world is a fleet of instances that share one right, in virtual time. The
// holder believes in its right for less long than the others do.
type world struct {
	random    *rand.Rand
	config    RecordConfig
	noFloor   bool // the broken variant: every right began before all keys
	now       time.Duration
	instances []*worldInstance
	until     time.Duration // nobody else claims before
	nextSend  uint64
	nextKey   uint64
	keys      []Key
	inFlight  []worldSend
	outbox    []worldSend // decided to run, not yet written
	running   []worldSend // at the endpoint, not yet answered
	runs      map[Key]int
	fault     string
}

type worldInstance struct {
	record  *Record
	booted  time.Duration
	skew    time.Duration
	held    bool
	since   time.Duration
	expires time.Duration
	frozen  bool
}

// worldSend is one send of a key on its way to, or at, an instance.
type worldSend struct {
	send uint64
	key  Key
	at   *worldInstance
}

const (
	worldTerm = 3 * time.Second
	worldSkew = 500 * time.Millisecond
)

func newWorld(t *rapid.T, config RecordConfig) *world {
	w := &world{config: config, runs: make(map[Key]int)}
	w.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	for range 3 {
		skew := time.Duration(w.between(0, int(worldSkew/time.Millisecond))) * time.Millisecond
		w.instances = append(w.instances, &worldInstance{record: NewRecord(config), skew: skew})
	}
	return w
}

// between draws evenly; rapid's own draws favour small numbers and would leave
// most orders of events out.
func (w *world) between(low, high int) int { return low + w.random.IntN(high-low+1) }

func (w *world) any() *worldInstance { return w.instances[w.between(0, len(w.instances)-1)] }

func (w *world) wall(i *worldInstance) time.Duration { return epoch + w.now + i.skew }

// target is where a send goes: mostly an instance that believes in its right.
func (w *world) target() *worldInstance {
	for range 3 {
		if i := w.any(); i.held && w.now < i.expires+worldTerm {
			return i
		}
	}
	return w.any()
}

// advance lets time pass.
func (w *world) advance() {
	w.now += time.Duration(w.between(1, 1500)) * time.Millisecond
}

// renew prolongs the holder's right, or lets an instance claim an expired one.
func (w *world) renew() {
	i := w.any()
	if i.frozen {
		return
	}
	if i.held && w.now < i.expires || w.now >= w.until {
		if !i.held || w.now >= i.expires {
			i.held, i.since = true, w.now-i.booted
		}
		i.expires = w.now + worldTerm
		w.until = i.expires + time.Millisecond
	}
}

// handOver moves a right that is held to another instance.
func (w *world) handOver() {
	from, to := w.any(), w.any()
	if from == to || from.frozen || to.frozen || !from.held || w.now >= from.expires {
		return
	}
	w.pass(from, to)
}

// pass moves the right with everything that the holder knows.
func (w *world) pass(from, to *worldInstance) {
	from.held = false
	to.held, to.since, to.expires = true, w.now-to.booted, from.expires
	for shard := range Shards {
		known := from.record.HandOver(w.now-from.booted, shard, w.wall(from), w.since(from))
		to.record.Step(w.now-to.booted, Inherited{Since: w.since(to), HandOver: known})
	}
}

func (w *world) since(i *worldInstance) time.Duration {
	if w.noFloor {
		return -time.Hour
	}
	return i.since
}

// freeze stops an instance, which keeps what it decided, or wakes it.
func (w *world) freeze() {
	i := w.any()
	i.frozen = !i.frozen && w.between(0, 2) == 0
}

// restart replaces an instance by one without memory.
func (w *world) restart() {
	i := w.any()
	if w.between(0, 9) > 0 {
		return
	}
	w.reboot(i)
}

// reboot ends an instance and what it had in progress.
func (w *world) reboot(i *worldInstance) {
	*i = worldInstance{record: NewRecord(w.config), booted: w.now, skew: i.skew}
	alive := func(all []worldSend) (kept []worldSend) {
		for _, s := range all {
			if s.at != i {
				kept = append(kept, s)
			}
		}
		return kept
	}
	w.outbox, w.running = alive(w.outbox), alive(w.running)
}

// send mints a key, or repeats one, by a caller with a clock of its own.
func (w *world) send() {
	if len(w.keys) == 0 || w.between(0, 1) == 0 {
		off := time.Duration(w.between(-1000, 1500)) * time.Millisecond
		w.nextKey++
		w.keys = append(w.keys, keyAt(epoch+w.now+off, w.nextKey))
	}
	w.nextSend++
	recent := w.keys[max(len(w.keys)-3, 0):]
	w.inFlight = append(w.inFlight, worldSend{w.nextSend, recent[w.between(0, len(recent)-1)], w.target()})
}

// take removes one of the messages; the network orders them as it likes.
func (w *world) take(from *[]worldSend) (worldSend, bool) {
	if len(*from) == 0 {
		return worldSend{}, false
	}
	n := w.between(0, len(*from)-1)
	s := (*from)[n]
	if s.at.frozen {
		return worldSend{}, false
	}
	*from = append((*from)[:n:n], (*from)[n+1:]...)
	return s, true
}

// deliver brings a send to its instance.
func (w *world) deliver() {
	s, found := w.take(&w.inFlight)
	if !found {
		return
	}
	if w.between(0, 4) == 0 { // the caller sends it again
		w.nextSend++
		w.inFlight = append(w.inFlight, worldSend{w.nextSend, s.key, w.target()})
	}
	w.arrive(s)
}

// arrive hands a send to the record of its instance.
func (w *world) arrive(s worldSend) {
	w.apply(s, s.at.record.Step(w.now-s.at.booted, Arrive{
		Send: s.send, Key: s.key, Wall: w.wall(s.at),
		Held: s.at.held && w.now < s.at.expires, Since: w.since(s.at),
	}))
}

// write sends what an instance decided to run, however long ago.
func (w *world) write() {
	s, found := w.take(&w.outbox)
	if !found {
		return
	}
	if w.between(0, 4) == 0 { // no connection was made
		w.apply(s, s.at.record.Step(w.now-s.at.booted, Finished{Send: s.send, Outcome: NotRun}))
		return
	}
	w.runs[s.key]++
	if w.runs[s.key] > 1 {
		w.fault = "a key ran twice"
	}
	w.running = append(w.running, s)
}

// answer brings the endpoint's answer, or its loss.
func (w *world) answer() {
	s, found := w.take(&w.running)
	if !found {
		return
	}
	outcome := []Outcome{Served, Unknown}[w.between(0, 1)]
	w.apply(s, s.at.record.Step(w.now-s.at.booted, Finished{Send: s.send, Outcome: outcome}))
}

func (w *world) apply(s worldSend, actions []RecordAction) {
	for _, action := range actions {
		switch a := action.(type) {
		case Run:
			w.outbox = append(w.outbox, s)
		case Reply:
			if w.runs[s.key] == 0 {
				w.fault = "served, but it did not run"
			}
		case Refuse:
			if a.Outcome == NotRun && a.Reason != NotHolder && w.runs[s.key] > 0 {
				w.fault = "a holder told not-run of a key that ran"
			}
		}
	}
}

// run takes random steps and returns what went wrong, or empty.
func (w *world) run(steps int) string {
	all := []func(){w.advance, w.renew, w.renew, w.handOver, w.freeze, w.restart,
		w.send, w.send, w.deliver, w.deliver, w.deliver, w.deliver, w.deliver, w.write, w.write, w.answer}
	for range steps {
		all[w.between(0, len(all)-1)]()
		if w.fault != "" {
			return w.fault
		}
	}
	return ""
}
