package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Timing of the played fleet.
const (
	playStep       = 10 * time.Millisecond
	playHeartbeat  = 250 * time.Millisecond
	playStart      = 150 * time.Millisecond // from sending to the start of a response
	playRestart    = 3 * time.Second
	playPerSecond  = 40
	playDeadlyRate = 0.05
)

type playRequest struct {
	parts    []Part
	deadly   bool
	instance int
	beginsAt time.Duration
}

type playWorker struct {
	name    string
	upAt    time.Duration
	waiting []playRequest
}

// play is a fleet of instances with detectors, and workers that crash when they
// begin to respond to a request with the deadly part.
type play struct {
	rng                                 *rand.Rand
	detectors                           []*Detector
	workers                             []*playWorker
	deadlySent, soundSent, soundRefused int
}

func newPlay(rng *rand.Rand, instances, workers int) *play {
	p := &play{rng: rng}
	for range instances {
		p.detectors = append(p.detectors, NewDetector(DefaultConfig()))
	}
	for i := range workers {
		p.workers = append(p.workers, &playWorker{name: fmt.Sprintf("w%d", i)})
	}
	return p
}

func (p *play) run(duration time.Duration) {
	for now := playStep; now < duration; now += playStep {
		p.runStep(now)
	}
}

func (p *play) runStep(now time.Duration) {
	if p.rng.Float64() < playPerSecond*playStep.Seconds() {
		p.send(now)
	}
	for _, w := range p.workers {
		p.advance(now, w)
	}
	if now%playHeartbeat == 0 {
		p.exchange(now)
	}
}

func (p *play) send(now time.Duration) {
	r := playRequest{
		parts:    []Part{Part(p.rng.IntN(3)), Part(100 + p.rng.IntN(40))},
		instance: p.rng.IntN(len(p.detectors)), beginsAt: now + time.Duration(0.5+p.rng.Float64())*playStart + playStart/2,
	}
	if p.rng.Float64() < playDeadlyRate {
		r.parts, r.deadly = []Part{0, 100, deadly}, true
	}
	d := p.detectors[r.instance]
	if !r.deadly {
		p.soundSent++
	}
	if d.Admit(now, r.parts) == Refused {
		if !r.deadly {
			p.soundRefused++
		}
		return
	}
	w := p.workers[p.rng.IntN(len(p.workers))]
	if now < w.upAt {
		return
	}
	if r.deadly {
		p.deadlySent++
	}
	w.waiting = append(w.waiting, r)
}

// advance begins the responses that are due, or crashes the worker.
func (p *play) advance(now time.Duration, w *playWorker) {
	var waiting []playRequest
	for i, r := range w.waiting {
		switch {
		case now < r.beginsAt:
			waiting = append(waiting, r)
		case r.deadly:
			for _, lost := range append(waiting, w.waiting[i:]...) {
				p.detectors[lost.instance].RecordCrash(now, fmt.Sprintf("%s-%s", w.name, w.upAt), lost.parts)
			}
			w.waiting, w.upAt = nil, now+playRestart
			return
		default:
			p.detectors[r.instance].RecordSuccess(now, r.parts)
		}
	}
	w.waiting = waiting
}

func (p *play) exchange(now time.Duration) {
	updates := make([]Update, 0, len(p.detectors))
	for _, d := range p.detectors {
		updates = append(updates, d.Update(now))
	}
	for i, d := range p.detectors {
		for j, u := range updates {
			if i != j {
				d.Merge(now, u)
			}
		}
	}
}
