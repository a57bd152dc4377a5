package residency

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/admission"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// pinStep is one step of an engine's history: +1 begins a request on an adapter, -1
// ends one, 0 evicts the adapter.
type pinStep struct{ change int }

// pinModel accepts an eviction of one adapter only while no request uses it.
var pinModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		count, change := state.(int), input.(pinStep).change
		return change != 0 || count == 0, count + change
	},
}

const (
	takeoverDeadline = 2 * time.Second
	takeoverGrace    = time.Second
	takeoverHistory  = 400
	takeoverSeeds    = 200
)

// takeoverModel is one engine that a row of holders orders in turn.
type takeoverModel struct {
	random    *rand.Rand
	protected bool
	now       time.Duration
	seq       int64
	holders   []*Worker
	lost      time.Duration // when the former holder lost the right
	running   map[uint64]admission.Request
	by        map[uint64]*Worker
	resident  map[table.AdapterVersion]bool
	history   map[table.AdapterVersion][]porcupine.Operation
}

func (m *takeoverModel) record(adapter table.AdapterVersion, change int) {
	m.seq++
	m.history[adapter] = append(m.history[adapter], porcupine.Operation{Input: pinStep{change}, Call: m.seq, Return: m.seq})
}

func (m *takeoverModel) step(w *Worker, event Event) {
	for _, action := range w.Step(m.now, event) {
		switch a := action.(type) {
		case Dispatch:
			if w != m.holders[len(m.holders)-1] && m.now >= m.lost+takeoverGrace {
				delete(m.running, a.ID) // not sent
				m.step(w, Finished(a))
				continue
			}
			m.by[a.ID] = w
			m.record(m.running[a.ID].Adapter, 1)
		case Load:
			if a.Evict != nil {
				m.record(*a.Evict, 0)
				delete(m.resident, *a.Evict)
			}
			m.resident[a.Adapter] = true
			m.step(w, Loaded{Adapter: a.Adapter})
		case Reject:
			delete(m.running, a.ID)
		}
	}
}

func (m *takeoverModel) end(id uint64) {
	w, dispatched := m.by[id]
	if !dispatched {
		return
	}
	m.record(m.running[id].Adapter, -1)
	delete(m.running, id)
	delete(m.by, id)
	m.step(w, Finished{ID: id})
}

// change gives the engine to a new holder, with or without a hand-over.
func (m *takeoverModel) change(handed bool) {
	protection := Protection{All: m.now + takeoverGrace + takeoverDeadline}
	if handed {
		protection = Protection{Adapters: make(map[table.AdapterVersion]time.Duration)}
	}
	for id := range m.by {
		if handed {
			adapter := m.running[id].Adapter
			protection.Adapters[adapter] = max(protection.Adapters[adapter], m.running[id].Deadline)
		}
	}
	m.lost = m.now
	if handed {
		m.lost = -takeoverGrace
	}
	if !m.protected {
		protection = Protection{}
	}
	var resident []table.AdapterVersion
	for adapter := range m.resident {
		resident = append(resident, adapter)
	}
	former := m.holders[len(m.holders)-1]
	next := NewWorker("w", DefaultConfig(2, 8))
	m.holders = append(m.holders, next)
	m.step(former, Suspended{})
	m.step(next, Adopted{Resident: resident, Protection: protection})
}

// play runs a history and tells whether an adapter in use was evicted.
func (m *takeoverModel) play() bool {
	m.change(true)
	for i := range uint64(takeoverHistory) {
		m.now += time.Duration(m.random.IntN(100)) * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(m.running)) {
			if r := m.running[id]; r.Deadline <= m.now || m.random.IntN(8) == 0 {
				m.end(id)
			}
		}
		to := m.holders[len(m.holders)-1]
		if former := len(m.holders) - 2; former >= 0 && m.now < m.lost+takeoverGrace && m.random.IntN(3) == 0 {
			to = m.holders[former] // still uses what is resident
		}
		r := admission.Request{
			ID: i + 1, Arrived: m.now, Deadline: m.now + time.Duration(1+m.random.IntN(int(takeoverDeadline))),
			Adapter: table.AdapterVersion{Adapter: fmt.Sprint(m.random.IntN(4)), Version: "v1"},
		}
		m.running[r.ID] = r
		m.step(to, Arrive{Request: r})
		if m.now > m.lost+2*takeoverGrace+2*takeoverDeadline && m.random.IntN(10) == 0 {
			m.change(m.random.IntN(2) == 0)
		}
	}
	for _, operations := range m.history {
		if !porcupine.CheckOperations(pinModel, operations) {
			return true
		}
	}
	return false
}

func evictedInUse(seed uint64, protected bool) bool {
	m := &takeoverModel{
		random: rand.New(rand.NewPCG(seed, 1)), protected: protected, holders: []*Worker{NewWorker("w", DefaultConfig(2, 8))},
		running: make(map[uint64]admission.Request), by: make(map[uint64]*Worker),
		resident: make(map[table.AdapterVersion]bool), history: make(map[table.AdapterVersion][]porcupine.Operation),
	}
	return m.play()
}

// TestTakeOverEvictsNothingInUse checks the pins over changes of holder, and that
// a holder without the protection is found.
func TestTakeOverEvictsNothingInUse(t *testing.T) {
	found := 0
	for seed := range uint64(takeoverSeeds) {
		require.False(t, evictedInUse(seed, true), "seed %d", seed)
		if evictedInUse(seed, false) {
			found++
		}
	}
	t.Logf("%d of %d histories without protection evict in use", found, takeoverSeeds)
	require.Positive(t, found)
}
