package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// keyedStep is how far an order has come when a fault happens.
type keyedStep struct {
	name string
	// reach brings a send of the key to the step.
	reach func(w *world, s worldSend)
}

// faultSteps are the steps of the fault matrix that a call with a key takes; it
// is not queued for a slot and nothing is loaded for it.
var faultSteps = []keyedStep{
	{"accepted", func(*world, worldSend) {}},
	{"forwarded", func(w *world, s worldSend) { w.inFlight = append(w.inFlight, s) }},
	{"resolved", func(w *world, s worldSend) { w.arrive(s) }}, // decided, not yet written
	{"dispatched", func(w *world, s worldSend) { w.arrive(s); w.drain(w.write) }},
	{"answered", func(w *world, s worldSend) { w.arrive(s); w.drain(w.write); w.drain(w.answer) }},
}

// keyedFault is what happens to the holder of the key's right.
type keyedFault struct {
	name string
	hit  func(w *world, holder *worldInstance)
	// mend ends it when the next holder has answered.
	mend func(w *world, holder *worldInstance)
}

var keyedFaults = []keyedFault{
	{"kill", func(w *world, i *worldInstance) { w.reboot(i) }, nil},
	{"freeze and wake late", func(_ *world, i *worldInstance) { i.frozen = true }, func(_ *world, i *worldInstance) { i.frozen = false }},
	{"cut", nil, nil}, // no lease is renewed; the holder goes on with what it has
	{"silent connection", func(w *world, _ *worldInstance) { w.inFlight = nil }, nil},
	{"late or crossed answer", func(w *world, _ *worldInstance) { w.running = nil }, nil},
	{"owner change", func(w *world, i *worldInstance) { w.pass(i, w.other(i)) }, nil},
	{"leaving", func(w *world, i *worldInstance) {
		w.drain(w.write)
		w.drain(w.answer)
		w.pass(i, w.other(i))
		w.reboot(i)
	}, nil},
}

// cellSeeds is the number of orders of messages that each cell is tried with.
const cellSeeds = 8

// other returns the next instance in order.
func (w *world) other(i *worldInstance) *worldInstance {
	for n, instance := range w.instances {
		if instance == i {
			return w.instances[(n+1)%len(w.instances)]
		}
	}
	return nil
}

// holder returns who holds the right, after a takeover where it has run out.
func (w *world) holder() *worldInstance {
	for _, i := range w.instances {
		if i.held && w.now < i.expires && !i.frozen {
			return i
		}
	}
	w.now = max(w.now, w.until)
	for _, i := range w.instances {
		if !i.frozen && (!i.held || w.now >= i.expires+time.Second) { // the one before has had its turn
			i.held, i.since, i.expires = true, w.now-i.booted, w.now+worldTerm
			w.until = i.expires + time.Millisecond
			return i
		}
	}
	return nil
}

// drain lets one kind of step happen until nothing more comes of it.
func (w *world) drain(step func()) {
	for range 100 {
		step()
	}
}

// settle delivers everything that is still on its way, however late.
func (w *world) settle() {
	w.drain(w.deliver)
	w.drain(w.write)
	w.drain(w.answer)
}

// resend sends a key to the holder and brings everything to its end.
func (w *world) resend(key Key) {
	w.nextSend++
	w.arrive(worldSend{w.nextSend, key, w.holder()})
	w.settle()
}

// TestFaultMatrixOfKeyedCalls causes each fault at each step of an order, once
// and again at the next holder, while its caller goes on sending the key.
func TestFaultMatrixOfKeyedCalls(t *testing.T) {
	for _, step := range faultSteps {
		for _, fault := range keyedFaults {
			for times := 1; times <= 2; times++ {
				t.Run(fmt.Sprintf("%s/%s/%d", step.name, fault.name, times), func(t *testing.T) {
					for seed := range uint64(cellSeeds) {
						require.Empty(t, faultRun(seed, step, fault, times, false), "seed %d", seed)
					}
				})
			}
		}
	}
}

// TestFaultMatrixFindsMissingFloor runs the same cells over records without a
// floor.
func TestFaultMatrixFindsMissingFloor(t *testing.T) {
	found := make(map[string]bool)
	for _, step := range faultSteps {
		for _, fault := range keyedFaults {
			for seed := range uint64(cellSeeds) {
				if faultRun(seed, step, fault, 1, true) != "" {
					found[step.name+"/"+fault.name] = true
				}
			}
		}
	}
	t.Logf("found in %d of %d cells", len(found), len(faultSteps)*len(keyedFaults))
	for _, cell := range []string{"dispatched/kill", "resolved/freeze and wake late", "resolved/cut", "answered/kill"} {
		require.True(t, found[cell], cell)
	}
}

// faultRun returns what went wrong in one cell, or empty.
func faultRun(seed uint64, step keyedStep, fault keyedFault, times int, noFloor bool) string {
	w := &world{config: DefaultRecordConfig(), noFloor: noFloor, runs: make(map[Key]int), random: rand.New(rand.NewPCG(seed, 0))}
	for range 3 {
		w.instances = append(w.instances, &worldInstance{record: NewRecord(w.config)})
	}
	first := w.holder()
	w.now += 2 * time.Second // past the floor
	first.expires, w.until = w.now+worldTerm, w.now+worldTerm+time.Millisecond
	key := keyAt(epoch+w.now, seed)
	for range times {
		holder := w.holder()
		w.nextSend++
		step.reach(w, worldSend{w.nextSend, key, holder})
		if fault.hit != nil {
			fault.hit(w, holder)
		}
		w.now += worldTerm // the lease of a holder that does not answer runs out
		w.resend(key)
		if fault.mend != nil {
			fault.mend(w, holder)
		}
		w.settle()
	}
	w.resend(key)
	return w.fault
}
