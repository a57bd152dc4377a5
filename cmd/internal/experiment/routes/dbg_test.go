package routes

import (
	"fmt"
	"math"
	"os"
	"testing"
)

func TestDiag(t *testing.T) {
	s, _ := Load(os.Getenv("SC"))
	sim := newSimulation(s, Policies()[0], 1)
	for _, r := range newTrace(s, 1) {
		sim.after(r.at, func() { sim.place(r) })
	}
	for at := 5.0; at <= s.Seconds; at += 5 {
		sim.runUntil(seconds(at))
		mean := 0.0
		for _, w := range sim.workers {
			mean += math.Log(w.factor) / float64(len(sim.workers))
		}
		var n, ep, es, e1, non float64
		for _, i := range sim.instances[:20] {
			v := i.model.Speeds.View(sim.now, service)
			for k, w := range sim.workers {
				f, _ := v.Worker(k, w.id, nil)
				tr := math.Log(w.factor) - mean
				n++
				ep += math.Pow(math.Log(f.Prompt)-tr, 2)
				es += math.Pow(math.Log(f.Step)-tr, 2)
				e1 += tr * tr
				if f.Prompt != 1 {
					non++
				}
			}
		}
		fmt.Printf("%s t %.0f rms prior %.3f prompt %.3f step %.3f nonneutral %.2f\n", s.Name, at, math.Sqrt(e1/n), math.Sqrt(ep/n), math.Sqrt(es/n), non/n)
	}
}
