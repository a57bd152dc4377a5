package attempt

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// callStep is the step that a call has reached when a fault happens.
type callStep struct {
	name string
	// reach takes a send of the key to the step.
	reach func(w *world, s worldSend)
}

// callSteps are the steps of the fault matrix that a call with a key goes
// through. Such a call is not queued for a slot and loads no adapter, so it
// skips those steps.
var callSteps = []callStep{
	{"accepted", func(*world, worldSend) {}},
	{"forwarded", func(w *world, s worldSend) { w.inFlight = append(w.inFlight, s) }},
	{"resolved", func(w *world, s worldSend) { w.arrive(s) }}, // decided, not yet sent to the endpoint
	{"dispatched", func(w *world, s worldSend) { w.arrive(s); w.repeatStep(w.writeToEndpoint) }},
	{"answered", func(w *world, s worldSend) { w.arrive(s); w.repeatStep(w.writeToEndpoint); w.repeatStep(w.respond) }},
}

// holderFault is a fault of the instance that holds the right to the key.
type holderFault struct {
	name   string
	inject func(w *world, holder *worldInstance)
	// heal ends the fault after the next holder has answered; nil if it needs no
	// end.
	heal func(w *world, holder *worldInstance)
}

var holderFaults = []holderFault{
	{"kill", func(w *world, i *worldInstance) { w.reboot(i) }, nil},
	{"freeze and wake late", func(_ *world, i *worldInstance) { i.frozen = true }, func(_ *world, i *worldInstance) { i.frozen = false }},
	{"cut", nil, nil}, // the lease is not renewed; the holder continues with what it has
	{"silent connection", func(w *world, _ *worldInstance) { w.inFlight = nil }, nil},
	{"late or crossed answer", func(w *world, _ *worldInstance) { w.running = nil }, nil},
	{"owner change", func(w *world, i *worldInstance) { w.transferRight(i, w.nextInstance(i)) }, nil},
	{"leaving", func(w *world, i *worldInstance) {
		w.repeatStep(w.writeToEndpoint)
		w.repeatStep(w.respond)
		w.transferRight(i, w.nextInstance(i))
		w.reboot(i)
	}, nil},
}

// seedsPerCell is the number of message orders that each cell is run with.
const seedsPerCell = 8

// nextInstance returns the instance after i, in a fixed cyclic order.
func (w *world) nextInstance(i *worldInstance) *worldInstance {
	for n, instance := range w.instances {
		if instance == i {
			return w.instances[(n+1)%len(w.instances)]
		}
	}
	return nil
}

// currentHolder returns the instance that holds the right. If the right has
// expired, another instance takes it over first.
func (w *world) currentHolder() *worldInstance {
	for _, i := range w.instances {
		if i.held && w.now < i.expiresAt && !i.frozen {
			return i
		}
	}
	w.now = max(w.now, w.claimableAt)
	for _, i := range w.instances {
		if !i.frozen && (!i.held || w.now >= i.expiresAt+time.Second) { // skips the previous holder, whose right has just expired
			i.held, i.heldSince, i.expiresAt = true, w.now-i.bootedAt, w.now+worldLeaseTTL
			w.claimableAt = i.expiresAt + time.Millisecond
			return i
		}
	}
	return nil
}

// repeatStep repeats a step often enough to handle all pending messages.
func (w *world) repeatStep(step func()) {
	for range 100 {
		step()
	}
}

// deliverAll handles all messages that are still in transit, however late.
func (w *world) deliverAll() {
	w.repeatStep(w.deliver)
	w.repeatStep(w.writeToEndpoint)
	w.repeatStep(w.respond)
}

// resend sends a key to the holder and handles all pending messages.
func (w *world) resend(key Key) {
	w.nextSend++
	w.arrive(worldSend{w.nextSend, key, w.currentHolder()})
	w.deliverAll()
}

// TestFaultMatrixOfKeyedCalls injects each fault at each step of a call, at one
// holder or at two in succession, while the caller keeps sending the key.
func TestFaultMatrixOfKeyedCalls(t *testing.T) {
	for _, step := range callSteps {
		for _, fault := range holderFaults {
			for times := 1; times <= 2; times++ {
				t.Run(fmt.Sprintf("%s/%s/%d", step.name, fault.name, times), func(t *testing.T) {
					for seed := range uint64(seedsPerCell) {
						require.Empty(t, runFaultCell(seed, step, fault, times, false), "seed %d", seed)
					}
				})
			}
		}
	}
}

// TestFaultMatrixDetectsMissingFloor runs the same cells on records whose floor
// lies before all keys.
func TestFaultMatrixDetectsMissingFloor(t *testing.T) {
	found := make(map[string]bool)
	for _, step := range callSteps {
		for _, fault := range holderFaults {
			for seed := range uint64(seedsPerCell) {
				if runFaultCell(seed, step, fault, 1, true) != "" {
					found[step.name+"/"+fault.name] = true
				}
			}
		}
	}
	t.Logf("violations detected in %d of %d cells", len(found), len(callSteps)*len(holderFaults))
	for _, cell := range []string{"dispatched/kill", "resolved/freeze and wake late", "resolved/cut", "answered/kill"} {
		require.True(t, found[cell], cell)
	}
}

// runFaultCell runs one cell and returns the violation that it found, or "".
func runFaultCell(seed uint64, step callStep, fault holderFault, times int, noFloor bool) string {
	w := &world{config: DefaultRecordConfig(), noFloor: noFloor, runs: make(map[Key]int), random: rand.New(rand.NewPCG(seed, 0))}
	for range 3 {
		w.instances = append(w.instances, &worldInstance{record: NewRecord(w.config)})
	}
	first := w.currentHolder()
	w.now += 2 * time.Second // later than the floor
	first.expiresAt, w.claimableAt = w.now+worldLeaseTTL, w.now+worldLeaseTTL+time.Millisecond
	key := keyAt(epoch+w.now, seed)
	for range times {
		holder := w.currentHolder()
		w.nextSend++
		step.reach(w, worldSend{w.nextSend, key, holder})
		if fault.inject != nil {
			fault.inject(w, holder)
		}
		w.now += worldLeaseTTL // the lease of an unresponsive holder expires
		w.resend(key)
		if fault.heal != nil {
			fault.heal(w, holder)
		}
		w.deliverAll()
	}
	w.resend(key)
	return w.violation
}
