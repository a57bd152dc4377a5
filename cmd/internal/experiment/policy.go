package experiment

import (
	"math/rand/v2"

	"github.com/bulrushwick/bulrushwick/coord/placement"
	"github.com/bulrushwick/bulrushwick/coord/residency"
)

// picker chooses the worker of a request.
type picker interface {
	Pick(q placement.Query, candidates []placement.Candidate) (int, bool)
}

// Policy is one configuration of placement and residency to measure.
type Policy struct {
	// Name identifies the policy in results.
	Name string
	// ignoreRanks serves every request with the rank Normal.
	ignoreRanks bool
	// newPicker returns the picker of an entry.
	newPicker func(s *simulation) picker
	// newWorker returns the residency state machine of a worker.
	newWorker func(s *simulation, w *worker) *residency.Worker
}

// Policies lists the product's policy, then variants of it, then the baselines.
func Policies() []Policy {
	return []Policy{
		{Name: "bulrushwick", newPicker: productPicker, newWorker: productWorker},
		{Name: "no-ranks", newPicker: productPicker, newWorker: productWorker, ignoreRanks: true},
		{Name: "plain-lru", newPicker: productPicker, newWorker: lruWorker},
		{Name: "least-loaded-lru", newPicker: leastLoadedPicker, newWorker: unlimitedLRUWorker},
		{Name: "random-worker", newPicker: randomPicker, newWorker: unlimitedLRUWorker},
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

// lruWorker differs from productWorker only in that it evicts the least recently
// used adapter.
func lruWorker(s *simulation, w *worker) *residency.Worker {
	config := productConfig(s, w)
	config.Eviction = residency.LeastRecent
	return residency.NewWorker(w.endpoint.Name, config)
}

// unlimitedLRUWorker evicts the least recently used adapter and has no limiter
// for its loads.
func unlimitedLRUWorker(s *simulation, w *worker) *residency.Worker {
	config := residency.DefaultConfig(s.spec.Slots, s.spec.Batch)
	config.Eviction = residency.LeastRecent
	return residency.NewWorker(w.endpoint.Name, config)
}

// leastLoadedPicker picks the worker of the region with the fewest requests in
// flight, and a random one of several.
func leastLoadedPicker(s *simulation) picker {
	return singleStagePicker(placement.Load{}, randomScorer{s.rng, tieBreakWeight})
}

// randomPicker picks a random worker of the region.
func randomPicker(s *simulation) picker {
	return singleStagePicker(randomScorer{s.rng, 1})
}

// singleStagePicker returns a picker with one stage, restricted to the entry's
// region.
func singleStagePicker(scorers ...placement.Scorer) picker {
	return &placement.Picker{Stages: []placement.Stage{{
		Filters: []placement.Filter{placement.NotLeaving{}, placement.SameRegion{}},
		Scorers: scorers,
	}}}
}

// tieBreakWeight is less than one request in flight changes the Load score, so
// that randomness only decides between equal loads.
const tieBreakWeight = 0.01

// randomScorer returns uniformly random scores from 0 to weight.
type randomScorer struct {
	rng    *rand.Rand
	weight float64
}

// Score implements placement.Scorer.
func (s randomScorer) Score(placement.Query, placement.Candidate) float64 {
	return s.weight * s.rng.Float64()
}
