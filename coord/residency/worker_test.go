package residency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// stepper is a Worker or a faulty variant of one.
type stepper interface {
	Step(now time.Duration, event Event) []Action
}

// model checks a worker's actions against the adapters and requests of a simulated
// engine.
type model struct {
	worker   stepper
	config   Config
	now      time.Duration
	nextID   uint64
	resident map[table.AdapterVersion]bool
	loading  map[table.AdapterVersion]bool
	waiting  map[uint64]table.AdapterVersion
	running  map[uint64]table.AdapterVersion
}

func newModel(config Config, worker stepper) *model {
	return &model{
		worker:   worker,
		config:   config,
		resident: make(map[table.AdapterVersion]bool),
		loading:  make(map[table.AdapterVersion]bool),
		waiting:  make(map[uint64]table.AdapterVersion),
		running:  make(map[uint64]table.AdapterVersion),
	}
}

// run applies random events and returns an error for the first broken invariant.
func (m *model) run(events int, draw func(n int) int) error {
	for range events {
		m.now += time.Duration(draw(2000)) * time.Millisecond
		if err := m.apply(m.nextEvent(draw)); err != nil {
			return err
		}
	}
	return m.drain()
}

func (m *model) nextEvent(draw func(n int) int) Event {
	switch draw(8) {
	case 0:
		if id, found := pickID(m.running, draw); found {
			delete(m.running, id)
			return Finished{ID: id}
		}
	case 1:
		if id, found := pickID(m.waiting, draw); found {
			delete(m.waiting, id)
			return Cancel{ID: id}
		}
	case 2, 3:
		for adapter := range m.loading {
			delete(m.loading, adapter)
			if draw(3) == 0 {
				return LoadFailed{Adapter: adapter, Jitter: 0.5}
			}
			m.resident[adapter] = true
			return Loaded{Adapter: adapter}
		}
	case 4:
		if draw(10) == 0 {
			clear(m.resident)
			clear(m.loading)
			for id := range m.running {
				// The request is lost, but its end is still to be reported.
				m.running[id] = table.AdapterVersion{}
			}
			return Restarted{}
		}
	}
	return m.arrival(draw)
}

func (m *model) arrival(draw func(n int) int) Event {
	m.nextID++
	adapter := table.AdapterVersion{Adapter: fmt.Sprint("a", draw(6)), Version: fmt.Sprint("v", draw(2))}
	m.waiting[m.nextID] = adapter
	return Arrive{Request: admission.Request{
		ID:       m.nextID,
		Adapter:  adapter,
		Rank:     table.Ranks[draw(len(table.Ranks))],
		Caller:   fmt.Sprint("c", draw(3)),
		Arrived:  m.now,
		Deadline: m.now + time.Duration(1+draw(20))*time.Second,
	}}
}

func (m *model) apply(event Event) error {
	for _, action := range m.worker.Step(m.now, event) {
		if err := m.check(action); err != nil {
			return fmt.Errorf("at %s after %#v: %w", m.now, event, err)
		}
	}
	if len(m.running) > m.config.Batch {
		return fmt.Errorf("%d requests run in a batch of %d", len(m.running), m.config.Batch)
	}
	if held := len(m.resident) + len(m.loading); held > m.config.Slots {
		return fmt.Errorf("%d adapters in %d slots", held, m.config.Slots)
	}
	return nil
}

func (m *model) check(action Action) error {
	switch a := action.(type) {
	case Load:
		if m.resident[a.Adapter] || m.loading[a.Adapter] {
			return fmt.Errorf("%s is loaded while it is resident or loading", a.Adapter)
		}
		m.loading[a.Adapter] = true
		if a.Evict != nil {
			delete(m.resident, *a.Evict)
			for id, adapter := range m.running {
				if adapter == *a.Evict {
					return fmt.Errorf("%s is evicted while request %d uses it", adapter, id)
				}
			}
		}
	case Dispatch:
		adapter, waiting := m.waiting[a.ID]
		if !waiting {
			return fmt.Errorf("request %d has more than one decision", a.ID)
		}
		if !m.resident[adapter] {
			return fmt.Errorf("request %d is dispatched while %s is not resident", a.ID, adapter)
		}
		delete(m.waiting, a.ID)
		m.running[a.ID] = adapter
	case Reject:
		if _, waiting := m.waiting[a.ID]; !waiting {
			return fmt.Errorf("request %d has more than one decision", a.ID)
		}
		delete(m.waiting, a.ID)
	}
	return nil
}

// drain lets every deadline pass and checks that every request has been decided.
func (m *model) drain() error {
	m.now += time.Hour
	if err := m.apply(Tick{}); err != nil {
		return err
	}
	if len(m.waiting) > 0 {
		return fmt.Errorf("%d requests have no decision", len(m.waiting))
	}
	return nil
}

// pickID draws one of the IDs; the result depends only on the IDs and the draw.
func pickID(ids map[uint64]table.AdapterVersion, draw func(n int) int) (uint64, bool) {
	if len(ids) == 0 {
		return 0, false
	}
	skip := draw(len(ids))
	for id := uint64(1); ; id++ {
		if _, found := ids[id]; !found {
			continue
		}
		if skip == 0 {
			return id, true
		}
		skip--
	}
}

func smallConfig() Config {
	config := DefaultConfig(3, 4)
	config.Queue.Limit = 20
	return config
}

func TestWorkerKeepsItsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := smallConfig()
		config.Eviction = Eviction(rapid.IntRange(0, 1).Draw(t, "eviction"))
		config.GatherShare[table.Patient] = rapid.Float64Range(0, 1).Draw(t, "gather")
		m := newModel(config, NewWorker("w", config))
		err := m.run(200, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		require.NoError(t, err)
	})
}

// unpinningWorker is a faulty worker that releases the pin as soon as it dispatches.
type unpinningWorker struct{ *Worker }

// Step implements stepper.
func (w unpinningWorker) Step(now time.Duration, event Event) []Action {
	actions := w.Worker.Step(now, event)
	for _, action := range actions {
		if dispatched, ok := action.(Dispatch); ok {
			w.finished(now, dispatched.ID)
		}
	}
	return actions
}

// prematureWorker is a faulty worker that treats a load as finished as soon as it is
// ordered.
type prematureWorker struct{ *Worker }

// Step implements stepper.
func (w prematureWorker) Step(now time.Duration, event Event) []Action {
	actions := w.Worker.Step(now, event)
	for _, action := range actions {
		if order, ok := action.(Load); ok {
			actions = append(actions, w.Worker.Step(now, Loaded{Adapter: order.Adapter})...)
		}
	}
	return actions
}

func TestModelDetectsFaultyWorkers(t *testing.T) {
	config := smallConfig()
	for name, broken := range map[string]func() stepper{
		"evicts a pinned adapter":         func() stepper { return unpinningWorker{NewWorker("w", config)} },
		"dispatches on an absent adapter": func() stepper { return prematureWorker{NewWorker("w", config)} },
	} {
		found := false
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 0))
			if err := newModel(config, broken()).run(200, rng.IntN); err != nil {
				found = true
				break
			}
		}
		assert.True(t, found, "%s: fault not detected with seeds 0 to 49", name)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkStep(b, waiting) })
	}
}

// benchmarkStep measures the arrival and cancellation of one request, with waiting
// requests ahead of it for a tenth as many adapters.
func benchmarkStep(b *testing.B, waiting int) {
	config := DefaultConfig(8, 16)
	config.Queue.Limit = waiting + 10
	w := NewWorker("w", config)
	request := func(id uint64) admission.Request {
		adapter := table.AdapterVersion{Adapter: fmt.Sprint("a", id%uint64(max(waiting/10, 1))), Version: "v1"}
		return admission.Request{ID: id, Adapter: adapter, Rank: table.Normal, Caller: fmt.Sprint("c", id%20), Deadline: time.Hour + time.Duration(id)}
	}
	for id := range uint64(waiting) {
		w.Step(0, Arrive{Request: request(id)})
	}
	r := request(uint64(waiting))
	b.ResetTimer()
	for i := range b.N {
		r.ID = uint64(waiting + i)
		w.Step(time.Second, Arrive{Request: r})
		w.Step(time.Second, Cancel{ID: r.ID})
	}
}
