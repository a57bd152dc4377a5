package experiment

import (
	"math/rand/v2"

	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// picker is the part that chooses a worker.
type picker interface {
	Pick(q placement.Query, candidates []placement.Candidate) (int, bool)
}

// Policy is a set of decisions to measure.
type Policy struct {
	// Name identifies the policy in results.
	Name string
	// ignoreRanks has every request served as normal.
	ignoreRanks bool
	// newPicker returns an entry's choice of workers.
	newPicker func(s *simulation) picker
	// newWorker returns the machine of one worker.
	newWorker func(s *simulation, w *worker) *residency.Worker
}

// Policies lists the product's policy first and the baselines after it.
func Policies() []Policy {
	return []Policy{
		// The variants of the product's policy follow it, then the baselines.
		{Name: "bulrushwick", newPicker: productPicker, newWorker: productWorker},
		{Name: "no-ranks", newPicker: productPicker, newWorker: productWorker, ignoreRanks: true},
		{Name: "plain-lru", newPicker: productPicker, newWorker: lruWorker},
		{Name: "least-loaded-lru", newPicker: leastLoaded, newWorker: plainWorker},
		{Name: "random-worker", newPicker: randomWorker, newWorker: plainWorker},
	}
}

func productPicker(*simulation) picker { return placement.NewPicker(placement.DefaultConfig()) }

func productWorker(s *simulation, w *worker) *residency.Worker {
	return residency.NewWorker(w.endpoint.Name, productConfig(s, w))
}

func productConfig(s *simulation, w *worker) residency.Config {
	config := residency.DefaultConfig(s.spec.Slots, s.spec.Batch)
	config.Limiter = w.owner.budget
	return config
}

// lruWorker is the product's worker but for evicting the least recently used
// adapter.
func lruWorker(s *simulation, w *worker) *residency.Worker {
	config := productConfig(s, w)
	config.Eviction = residency.LeastRecent
	return residency.NewWorker(w.endpoint.Name, config)
}

// plainWorker evicts the least recently used adapter.
func plainWorker(s *simulation, w *worker) *residency.Worker {
	config := residency.DefaultConfig(s.spec.Slots, s.spec.Batch)
	config.Eviction = residency.LeastRecent
	return residency.NewWorker(w.endpoint.Name, config)
}

// leastLoaded takes the worker of the region with the least work in flight.
func leastLoaded(s *simulation) picker {
	return baseline(placement.Load{}, chance{s.rng, tieBreak})
}

// randomWorker takes any worker of the region.
func randomWorker(s *simulation) picker {
	return baseline(chance{s.rng, 1})
}

// baseline returns a picker with a single stage within the region.
func baseline(scorers ...placement.Scorer) picker {
	return &placement.Picker{Stages: []placement.Stage{{
		Filters: []placement.Filter{placement.NotLeaving{}, placement.SameRegion{}},
		Scorers: scorers,
	}}}
}

// tieBreak is below what one request in flight changes in the Load scorer.
const tieBreak = 0.01

// chance scores at random from 0 to weight.
type chance struct {
	rng    *rand.Rand
	weight float64
}

// Score implements placement.Scorer.
func (s chance) Score(placement.Query, placement.Candidate) float64 {
	return s.weight * s.rng.Float64()
}
