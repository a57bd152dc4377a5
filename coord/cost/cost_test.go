package cost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const testService = "model"

// world observes workers with time factors through noisy measurements.
type world struct {
	speeds *Speeds
	rng    *rand.Rand
	now    time.Duration
}

func newWorld() *world {
	return &world{speeds: NewSpeeds(), rng: rand.New(rand.NewPCG(1, 1))}
}

// step observes one response of a worker: noise of 0.25, as measured in the scenario
// uneven-both.
func (w *world) step(id string, factor float64) {
	measured := 30 * factor * math.Exp(0.25*w.rng.NormFloat64())
	w.speeds.ObserveStep(w.now, testService, id, time.Duration(measured*float64(time.Millisecond)), 10*time.Millisecond)
}

func (w *world) factors(id string) Factors {
	f, _ := w.speeds.View(w.now, testService).Worker(0, id, nil)
	return f
}

func name(i int) string { return fmt.Sprintf("w%02d", i) }

// TestEqualWorkersHaveNoFactors guards against choices that follow noise.
func TestEqualWorkersHaveNoFactors(t *testing.T) {
	w := newWorld()
	differing := 0
	for round := range 40 {
		for i := range 50 {
			w.step(name(i), 1)
		}
		w.now += time.Second
		for i := range 50 {
			if f := w.factors(name(i)); f.Step != 1 {
				differing++
				require.InDelta(t, 1, f.Step, 0.35, "round %d", round)
			}
		}
	}
	require.Less(t, differing, 40*50/10)
}

// TestSpeedsAreLearnedAndForgotten covers slow and fast workers, a change of speed that
// must be followed within some requests, a worker that is no longer used, which must be
// tried again, and a restart.
func TestSpeedsAreLearnedAndForgotten(t *testing.T) {
	w := newWorld()
	factors := []float64{1.7, 0.7, 1, 1, 1, 1, 1, 1}
	round := func() {
		for i, f := range factors {
			w.step(name(i), f)
		}
		w.now += time.Second
	}
	for range 12 {
		round()
	}
	require.InDelta(t, 1.7, w.factors(name(0)).Step, 0.4)
	require.InDelta(t, 0.7, w.factors(name(1)).Step, 0.2)
	factors[0], factors[1] = 0.7, 1.7
	for range 4 {
		round()
	}
	require.LessOrEqual(t, w.factors(name(0)).Step, 1.0, "the wrong estimate is gone")
	require.GreaterOrEqual(t, w.factors(name(1)).Step, 1.0, "the wrong estimate is gone")
	for range 12 {
		round()
	}
	require.Less(t, w.factors(name(0)).Step, 1.0, "the worker has become fast")
	require.Greater(t, w.factors(name(1)).Step, 1.0, "the worker has become slow")
	for range 100 {
		for i := 1; i < len(factors); i++ {
			w.step(name(i), factors[i])
		}
		w.now += time.Second
	}
	require.Equal(t, Neutral(), w.factors(name(0)), "nothing was observed of it for long")
	w.speeds.Forget(name(1))
	require.Equal(t, Neutral(), w.factors(name(1)))
}

// TestOneMeasurementDoesNotCount guards against avoiding a worker after one slow
// response.
func TestOneMeasurementDoesNotCount(t *testing.T) {
	w := newWorld()
	for range 20 {
		for i := range 6 {
			w.step(name(i), 1)
		}
		w.now += time.Second
	}
	w.speeds.ObserveStep(w.now, testService, name(0), time.Second, 10*time.Millisecond)
	require.InDelta(t, 1, w.factors(name(0)).Step, 0.3)
	w.speeds.ObserveStep(w.now, testService, "new", time.Second, 10*time.Millisecond)
	w.now += 10 * time.Second
	require.InDelta(t, 1, w.factors("new").Step, 0.3)
}

// TestAHintIsTrustedAsFarAsItIsAccurate covers hints of different quality, also in
// another unit than tokens.
func TestAHintIsTrustedAsFarAsItIsAccurate(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	expectError := func(hintOf func(tokens float64) int) float64 {
		l, sum := NewLengths(), 0.0
		for i := range 400 {
			tokens := 150 * math.Exp(0.8*rng.NormFloat64())
			hint := hintOf(tokens)
			if i >= 200 {
				sum += math.Abs(math.Log(l.Expect("r", "a", hint, 0) / tokens))
			}
			l.Observe(0, "r", "a", hint, int(tokens)+1)
		}
		return sum / 200
	}
	none := expectError(func(float64) int { return 0 })
	noisy := expectError(func(tokens float64) int { return int(tokens*math.Exp(0.8*rng.NormFloat64())) + 1 })
	useless := expectError(func(float64) int { return int(150*math.Exp(3*rng.NormFloat64())) + 1 })
	exact := expectError(func(tokens float64) int { return int(tokens/3) + 1 })
	require.Less(t, exact, 0.2)
	require.Less(t, noisy, none)
	require.Less(t, useless, 1.15*none)
}

func TestLengthsByRouteAndAdapter(t *testing.T) {
	l := NewLengths()
	for range 50 {
		l.Observe(0, "r", "long", 0, 300)
		l.Observe(0, "r", "short", 0, 20)
	}
	require.InDelta(t, 300, l.Expect("r", "long", 0, 0), 150)
	require.InDelta(t, 20, l.Expect("r", "short", 0, 0), 15)
	require.InDelta(t, 100, l.Expect("r", "long", 0, 100), 0, "the caller's bound")
	require.Equal(t, 60, Remaining(100, 40))
	require.Equal(t, 50, Remaining(100, 200), "an overlong response is expected to go on")
}

func TestKeptPartsAreThePrefixUsedLately(t *testing.T) {
	s, parts := NewSpeeds(), []Part{{1, 500}, {2, 60}}
	tokens := func(now time.Duration) int {
		_, kept := s.View(now, testService).Worker(0, "w", parts)
		return kept
	}
	require.Zero(t, tokens(0))
	s.RecordParts(0, testService, "w", parts[1:])
	require.Zero(t, tokens(0), "the part before it must be processed first")
	s.RecordParts(0, testService, "w", parts[:1])
	require.Equal(t, 560, tokens(0))
	require.Zero(t, tokens(partRetention+1))
	for i := range 3 * keptSize {
		s.RecordParts(1, testService, "w", []Part{{uint64(100 + i), 1}})
	}
	require.Zero(t, tokens(1), "replaced by others")
}

// TestPeersEstimatesAreReplacedAndDecay guards against estimates that count twice, or for
// ever.
func TestPeersEstimatesAreReplacedAndDecay(t *testing.T) {
	s := NewShared()
	s.Set(0, "a", "w", 0.5, 10)
	s.Set(0, "b", "w", -0.1, 20)
	require.InDelta(t, 0.1, s.Sum(0, "w").Mean(), 1e-9)
	require.InDelta(t, 30, s.Sum(0, "w").Precision, 1e-9)
	require.InDelta(t, -0.1, s.Except(0, "w", "a").Mean(), 1e-9)
	now := ratioHalfLife
	s.Set(now, "a", "w", 0.3, 10)
	require.InDelta(t, 20, s.Sum(now, "w").Precision, 1e-9, "b's has half of its weight")
	require.InDelta(t, 0.1, s.Sum(now, "w").Mean(), 1e-9)
	s.Set(now, "b", "w", 0, 0)
	require.InDelta(t, 0.3, s.Sum(now, "w").Mean(), 1e-9)
	require.Equal(t, Estimate{}, s.Sum(now+20*ratioHalfLife, "w"))
	s.Forget("w")
	require.Equal(t, Estimate{}, s.Sum(now, "w"))
}

// TestOnePeersEstimateIsUsed covers a worker that only peers observed.
func TestOnePeersEstimateIsUsed(t *testing.T) {
	m := NewModel()
	ids := []string{"w0", "w1", "w2"}
	read := func(i int) Factors {
		f, _ := m.View(time.Second, testService, len(ids), func(i int) string { return ids[i] }).Worker(i, ids[i], nil)
		return f
	}
	m.Shared.Set(time.Second, "peer", "w1", math.Log(1.7), 300)
	require.InDelta(t, 1.7, read(1).Prompt, 0.15)
	require.Equal(t, Neutral(), read(0))
}

// BenchmarkWorker measures reading the figures of one candidate.
func BenchmarkWorker(b *testing.B) {
	w := newWorld()
	parts := []Part{{1, 500}, {2, 60}}
	for i := range 140 {
		w.step(name(i), 1)
		w.speeds.RecordParts(0, testService, name(i), parts)
	}
	view := w.speeds.View(0, testService)
	id := name(7)
	for b.Loop() {
		_, _ = view.Worker(7, id, parts)
	}
}
