package slots

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// slotLoad plays requests for adapters at one worker with four slots: three organisations
// with a few adapters each, and one that floods it with requests for many.
type slotLoad struct {
	planner *Planner
	waiting map[string][]slotRequest
	running []slotRequest
	loads   map[string]time.Duration
	served  map[string]int
}

type slotRequest struct {
	adapter, organisation string
	until                 time.Duration
}

// play returns the number of served requests by organisation.
func (l *slotLoad) play(seed uint64, flood float64, share func(organisation string) int) map[string]int {
	p := NewPlanner(DefaultConfig(4), "m", time.Second)
	p.HandleReport(0, WorkerState{HasModel: true, HasLocalWeights: true})
	*l = slotLoad{planner: p, waiting: make(map[string][]slotRequest), loads: make(map[string]time.Duration), served: make(map[string]int)}
	usual, flooding := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	for now := time.Duration(0); now < 20*time.Second; now += 5 * time.Millisecond {
		for _, organisation := range []string{"A", "B", "C"} {
			if adapter := usual.IntN(2); usual.Float64() < 0.004 {
				l.arrive(now, organisation, adapter, share(organisation))
			}
		}
		if adapter := flooding.IntN(20); flooding.Float64() < flood*0.004 {
			l.arrive(now, "F", adapter, share("F"))
		}
		l.step(now)
	}
	return l.served
}

func (l *slotLoad) arrive(now time.Duration, organisation string, adapter, share int) {
	r := slotRequest{adapter: fmt.Sprintf("%s%d", organisation, adapter), organisation: organisation, until: now + 1500*time.Millisecond}
	priority := Priority{Share: share}
	if l.planner.Ready(r.adapter) || l.planner.Accepts(r.adapter, priority, r.until-now) {
		if !l.planner.Ready(r.adapter) {
			l.planner.Want(now, r.adapter, priority, r.until)
		}
		l.waiting[r.adapter] = append(l.waiting[r.adapter], r)
	}
}

func (l *slotLoad) step(now time.Duration) {
	running := make(map[string]int)
	var still []slotRequest
	for _, r := range l.running {
		if now < r.until {
			still = append(still, r)
			running[r.adapter]++
		}
	}
	l.running = still
	for adapter, waiting := range l.waiting {
		if !l.planner.Ready(adapter) {
			continue
		}
		for _, r := range waiting {
			if now < r.until {
				l.served[r.organisation]++
				running[adapter]++
				l.running = append(l.running, slotRequest{adapter: adapter, until: now + 300*time.Millisecond})
			}
		}
		delete(l.waiting, adapter)
	}
	l.planner.SetRunning(now, running)
	order, ok := l.planner.Next(now)
	if !ok {
		return
	}
	result := Accepted
	switch began, loading := l.loads[order.Adapter]; {
	case order.Unload:
		delete(l.loads, order.Adapter)
		result = Done
	case !loading:
		l.loads[order.Adapter] = now
	case now-began >= 250*time.Millisecond:
		result = Done
	}
	l.planner.HandleResult(now, result)
}

// Requests of one organisation for many adapters filled the queue for a worker's slots, so
// that most adapters of the others were refused or came too late.
func TestAFloodOfAdaptersLeavesSlotsToOthers(t *testing.T) {
	none := func(string) int { return 0 }
	shares := func(organisation string) int {
		if organisation == "F" {
			return 4
		}
		return 1
	}
	var calm, before, after, flood int
	for seed := range uint64(8) {
		others := func(served map[string]int) int { return served["A"] + served["B"] + served["C"] }
		l := &slotLoad{}
		calm += others(l.play(seed, 1, none))
		before += others(l.play(seed, 14, none))
		after += others(l.play(seed, 14, shares))
		flood += l.served["F"]
	}
	t.Logf("others get %.3f of what they get without the flood, %.3f without shares; %d requests of the flood are served", float64(after)/float64(calm), float64(before)/float64(calm), flood)
	if float64(after) < 0.95*float64(calm) {
		t.Errorf("others get %d of %d", after, calm)
	}
	if flood == 0 {
		t.Error("the organisation above its share gets nothing")
	}
}

// A request of a less urgent rank or for a rare adapter must get a slot in the end.
func TestNoWantIsPassedOverForever(t *testing.T) {
	p := NewPlanner(DefaultConfig(1), "m", time.Second)
	p.HandleReport(0, WorkerState{HasModel: true})
	p.Want(0, "rare", Priority{Rank: 1, Share: 1}, 2*time.Second)
	p.Want(900*ms, "popular", Priority{Rank: 0, Share: 1}, 3*time.Second)
	p.Want(900*ms, "popular", Priority{Rank: 0, Share: 1}, 3*time.Second)
	if order := p.wantsByPriority(950 * ms)[0]; order != "popular" {
		t.Fatalf("%s goes before a more urgent rank", order)
	}
	if order := p.wantsByPriority(1100 * ms)[0]; order != "rare" {
		t.Fatalf("%s goes before a want that has used up half of its time", order)
	}
}
