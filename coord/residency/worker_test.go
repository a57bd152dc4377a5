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

// machine is a worker or a variant with a fault.
type machine interface {
	Step(now time.Duration, event Event) []Action
}

// model checks a machine's actions against what an engine would hold.
type model struct {
	machine  machine
	config   Config
	now      time.Duration
	nextID   uint64
	resident map[table.AdapterVersion]bool
	loading  map[table.AdapterVersion]bool
	waiting  map[uint64]table.AdapterVersion
	running  map[uint64]table.AdapterVersion
}

func newModel(config Config, m machine) *model {
	return &model{
		machine:  m,
		config:   config,
		resident: make(map[table.AdapterVersion]bool),
		loading:  make(map[table.AdapterVersion]bool),
		waiting:  make(map[uint64]table.AdapterVersion),
		running:  make(map[uint64]table.AdapterVersion),
	}
}

// play draws events and returns the first broken invariant.
func (m *model) play(events int, draw func(n int) int) error {
	for range events {
		m.now += time.Duration(draw(2000)) * time.Millisecond
		if err := m.apply(m.event(draw)); err != nil {
			return err
		}
	}
	return m.drain()
}

func (m *model) event(draw func(n int) int) Event {
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
				m.running[id] = table.AdapterVersion{} // lost, its end still to be told
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
	for _, action := range m.machine.Step(m.now, event) {
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
			return fmt.Errorf("%s is loaded twice", a.Adapter)
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
		adapter, waits := m.waiting[a.ID]
		if !waits {
			return fmt.Errorf("request %d is decided twice", a.ID)
		}
		if !m.resident[adapter] {
			return fmt.Errorf("request %d is dispatched without %s", a.ID, adapter)
		}
		delete(m.waiting, a.ID)
		m.running[a.ID] = adapter
	case Reject:
		if _, waits := m.waiting[a.ID]; !waits {
			return fmt.Errorf("request %d is decided twice", a.ID)
		}
		delete(m.waiting, a.ID)
	}
	return nil
}

// drain lets every deadline pass and wants every request decided.
func (m *model) drain() error {
	m.now += time.Hour
	if err := m.apply(Tick{}); err != nil {
		return err
	}
	if len(m.waiting) > 0 {
		return fmt.Errorf("%d requests are not decided", len(m.waiting))
	}
	return nil
}

// pickID draws one of the IDs, the same for the same draw.
func pickID(of map[uint64]table.AdapterVersion, draw func(n int) int) (uint64, bool) {
	if len(of) == 0 {
		return 0, false
	}
	skip := draw(len(of))
	for id := uint64(1); ; id++ {
		if _, found := of[id]; !found {
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
		err := m.play(200, func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") })
		require.NoError(t, err)
	})
}

// forgetful is a worker that forgets a pin when it dispatches.
type forgetful struct{ *Worker }

// Step implements machine.
func (w forgetful) Step(now time.Duration, event Event) []Action {
	actions := w.Worker.Step(now, event)
	for _, action := range actions {
		if dispatched, is := action.(Dispatch); is {
			w.finished(now, dispatched.ID)
		}
	}
	return actions
}

// hasty is a worker that takes an ordered load for a finished one.
type hasty struct{ *Worker }

// Step implements machine.
func (w hasty) Step(now time.Duration, event Event) []Action {
	actions := w.Worker.Step(now, event)
	for _, action := range actions {
		if order, is := action.(Load); is {
			actions = append(actions, w.Worker.Step(now, Loaded{Adapter: order.Adapter})...)
		}
	}
	return actions
}

func TestTheModelFindsBrokenWorkers(t *testing.T) {
	config := smallConfig()
	for name, broken := range map[string]func() machine{
		"evicts a pinned adapter":         func() machine { return forgetful{NewWorker("w", config)} },
		"dispatches on an absent adapter": func() machine { return hasty{NewWorker("w", config)} },
	} {
		found := false
		for seed := range uint64(50) {
			rng := rand.New(rand.NewPCG(seed, 0))
			if err := newModel(config, broken()).play(200, rng.IntN); err != nil {
				found = true
				break
			}
		}
		assert.True(t, found, "%s: not found with seeds 0 to 49", name)
	}
}

func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) { benchmarkStep(b, waiting) })
	}
}

// benchmarkStep measures one arrival with its end, waiting requests ahead of it
// for a tenth as many adapters.
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
