package worker

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revision"
)

// Lengths of the histories of eras, in steps.
const (
	eraHistorySteps = 6
	// shortHistorySteps is the length of those that find wrong ways.
	shortHistorySteps = 4
	// rewriteSteps is how long after a return what was lost is written again.
	rewriteSteps = 3
	// eraQuietSteps is the calm after a history. The store is right at its end.
	eraQuietSteps = 20
)

// Inputs of histories of eras, beside those of outages.
const (
	takeCopy input = 'C'
	// returnFromCopy has the store return from its latest copy.
	returnFromCopy input = 'R'
	// returnForGood does the same, and what was lost is not written again.
	returnForGood input = 'L'
	// next has the worker go on: it drains, then leaves, then starts again.
	next input = 'n'
	// olderNews is news of a peer that has not seen the latest change.
	olderNews input = 'o'
	// restartInstance starts the instance again, which then knows nothing.
	restartInstance input = 'i'
)

// copiedStore is the contents of a store with the entry of at most one worker.
type copiedStore struct {
	revision uint64
	entry    *Worker
	version  revision.Version // of entry, or of its removal
}

// observation is what an instance read of the worker: nil if it had left.
type observation struct {
	worker  *Worker
	version revision.Version
	at      time.Duration
}

func (o *observation) isUsable() bool { return o.worker != nil && !o.worker.Draining }

// eraWorld is a store that returns from copies, the worker, and an instance that reads it.
type eraWorld struct {
	config   Config
	variant  eraVariant
	registry *Registry
	now      time.Duration
	store    copiedStore
	copied   *copiedStore
	era      uint64
	// truth is the entry as the worker wrote it last; nil once it has left.
	truth     *Worker
	born      int64
	rewriteIn int
	// learned is the latest true state that the instance read, and former the one before;
	// nil if it has read none since its start.
	learned, former *observation
	// lostForGood is set if what the store lost is not written again. The instance can't
	// tell before the era has settled.
	lostForGood bool
	listed      bool
	listedEra   uint64
	// position is up to where the instance has read the store.
	position revision.Version
	// unused is set once the worker was not used though learned, and until that changes.
	unused bool
}

// eraVariant is a wrong way to treat eras.
type eraVariant struct{ ignoreEra, forget bool }

func newEraWorld(config Config, variant eraVariant) *eraWorld {
	w := &eraWorld{config: config, variant: variant, registry: NewRegistry(config), now: time.Minute, born: 1, truth: &Worker{ID: "w", Born: 1}}
	w.write()
	w.read(true)
	return w
}

// write has the worker write its entry, or remove it.
func (w *eraWorld) write() {
	w.store.revision++
	w.store.version, w.store.entry = inEra(w.era, w.store.revision), w.truth
}

func (w *eraWorld) play(i input) {
	w.now += step
	switch i {
	case takeCopy:
		c := w.store
		w.copied = &c
	case returnFromCopy:
		if w.copied != nil {
			w.store, w.rewriteIn = *w.copied, rewriteSteps
			w.era++
			w.store.version = inEra(w.era, w.store.version.Revision())
		}
	case returnForGood:
		if w.copied != nil {
			w.store, w.rewriteIn, w.truth, w.learned, w.former = *w.copied, 0, w.copied.entry, nil, nil
			w.era++
			w.store.version, w.lostForGood = inEra(w.era, w.store.version.Revision()), true
		}
	case next:
		w.goOn()
		w.write()
	case remove:
		w.truth = nil
		w.write()
	case olderNews:
		if w.former != nil && w.former.worker != nil {
			w.registry.PutFromPeer(*w.former.worker, w.told(w.former.version))
		}
	case restartInstance:
		w.registry, w.learned, w.former, w.listed, w.unused = NewRegistry(w.config), nil, nil, false, false
	}
	if w.rewriteIn > 0 {
		if w.rewriteIn--; w.rewriteIn == 0 {
			w.write()
		}
	}
	w.read(i == compact || !w.listed || w.listedEra != w.era)
	w.registry.Tick(w.now)
}

// goOn has the worker drain, then leave, then start again.
func (w *eraWorld) goOn() {
	switch {
	case w.truth == nil:
		w.born++
		w.lostForGood = false // the new process contradicts nothing
		w.truth = &Worker{ID: "w", Born: w.born}
	case w.truth.Draining:
		w.truth = nil
	default:
		w.truth = &Worker{ID: "w", Born: w.born, Draining: true}
	}
}

// told returns the version under which the registry is told of a change.
func (w *eraWorld) told(v revision.Version) revision.Version {
	if w.variant.ignoreEra {
		return inEra(0, v.Revision())
	}
	return v
}

// read has the instance read the store.
func (w *eraWorld) read(listing bool) {
	if w.variant.forget && w.listed && w.listedEra != w.era {
		w.registry = NewRegistry(w.config)
	}
	w.registry.StoreResponded(w.now)
	at, version := w.told(inEra(w.era, w.store.revision)), w.told(w.store.version)
	switch {
	case listing && w.store.entry != nil:
		w.registry.Replace(w.now, []Entry{{*w.store.entry, version}}, at)
	case listing:
		w.registry.Replace(w.now, nil, at)
	case !w.store.version.After(w.position): // the watch has no event
	case w.store.entry != nil:
		w.registry.Put(*w.store.entry, version)
	default:
		w.registry.Delete(w.now, "w", version)
	}
	w.listed, w.listedEra, w.position = true, w.era, inEra(w.era, w.store.revision)
	if w.learned == nil && w.truth == nil || w.lostForGood {
		return
	}
	if w.store.entry == w.truth && (w.learned == nil || w.learned.worker != w.truth) {
		w.former, w.learned, w.unused = w.learned, &observation{w.truth, w.store.version, w.now}, false
	}
}

// used returns the start of the process that gets requests, or 0.
func (w *eraWorld) used() int64 {
	for _, known := range w.registry.Workers() {
		if !known.Draining {
			return known.Born
		}
	}
	return 0
}

// problem returns which guarantee does not hold now, or "".
func (w *eraWorld) problem() string {
	used := w.used()
	switch {
	case w.learned == nil:
		return ""
	case w.learned.isUsable():
		if used != w.learned.worker.Born {
			return "a worker that is ready is not used"
		}
		return ""
	case used == 0:
		w.unused = true
		return ""
	case w.unused:
		return "a worker that left or drains is used again"
	case w.now-w.learned.at > drainTime:
		return "a worker that left or drains is used too long"
	}
	return ""
}

// findProblems returns the shortest histories of eras that break a guarantee.
func findProblems(config Config, variant eraVariant, steps int) map[string]string {
	found := make(map[string]string)
	note := func(problem string, history []input) {
		if known, exists := found[problem]; problem != "" && (!exists || len(history) < len(known)) {
			found[problem] = string(history)
		}
	}
	var extend func(history []input)
	extend = func(history []input) {
		w := newEraWorld(config, variant)
		for _, i := range history {
			w.play(i)
			if problem := w.problem(); problem != "" {
				note(problem, history)
				return
			}
		}
		if len(history) < steps {
			for _, i := range []input{nothing, takeCopy, returnFromCopy, returnForGood, next, remove, olderNews, restartInstance, compact} {
				extend(append(slices.Clone(history), i))
			}
			return
		}
		for range eraQuietSteps {
			w.play(nothing)
			note(w.problem(), history)
		}
		right := int64(0)
		if w.truth != nil && !w.truth.Draining {
			right = w.truth.Born
		}
		if w.used() != right {
			note("the store is not believed in the end", history)
		}
	}
	extend(nil)
	return found
}

// TestWorkersInEveryHistoryOfEras plays every short history of copies, returns from them,
// changes of a worker, older news, listings and restarts of the instance: what it learned
// holds until the store has what it lost again, and then the store is right.
func TestWorkersInEveryHistoryOfEras(t *testing.T) {
	require.Empty(t, findProblems(testConfig, eraVariant{}, eraHistorySteps))
}

// TestWrongWaysToTreatAnEraAreFound shows that the check above finds each of them.
func TestWrongWaysToTreatAnEraAreFound(t *testing.T) {
	require.NotEmpty(t, findProblems(testConfig, eraVariant{ignoreEra: true}, shortHistorySteps), "versions are compared by revision only")
	require.Contains(t, findProblems(testConfig, eraVariant{forget: true}, shortHistorySteps), "a worker that left or drains is used again", "everything is dropped at a new era")
	believeAtOnce := testConfig
	believeAtOnce.EntryLifetime = -testConfig.ReturnGrace
	require.Contains(t, findProblems(believeAtOnce, eraVariant{}, shortHistorySteps), "a worker that left or drains is used again")
	neverBelieve := testConfig
	neverBelieve.EntryLifetime = time.Hour
	require.Contains(t, findProblems(neverBelieve, eraVariant{}, shortHistorySteps), "the store is not believed in the end")
}

// TestNewsOfAFormerReleaseIsOfTheFirstEra covers an instance of a release that knows
// revisions only: it reports changes of a later era by their revision.
func TestNewsOfAFormerReleaseIsOfTheFirstEra(t *testing.T) {
	r := NewRegistry(testConfig)
	r.StoreResponded(time.Minute)
	r.Put(Worker{ID: "w", Born: 1}, inEra(3, 5))
	r.Replace(time.Minute, []Entry{{Worker{ID: "w", Born: 1}, inEra(3, 5)}}, inEra(3, 5))
	require.Empty(t, r.PutFromPeer(Worker{ID: "w", Born: 1, Draining: true}, revision.Decode(9)))
	require.Empty(t, r.DeleteFromPeer("w", revision.Decode(9)))
	require.Empty(t, r.PutFromPeer(Worker{ID: "v", Born: 1}, revision.Decode(9)), "the listing of the era lacks it")
	require.Len(t, r.Workers(), 1)
	require.NotEmpty(t, r.PutFromPeer(Worker{ID: "w", Born: 1, Draining: true}, inEra(3, 6)))
}
