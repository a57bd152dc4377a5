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

// pinOperation is one operation on an adapter in an engine's history: +1 starts a
// request, -1 ends one, 0 evicts the adapter.
type pinOperation struct{ change int }

// pinModel accepts the eviction of an adapter only while no request uses it.
var pinModel = porcupine.Model{
	Init: func() any { return 0 },
	Step: func(state, input, _ any) (bool, any) {
		count, change := state.(int), input.(pinOperation).change
		return change != 0 || count == 0, count + change
	},
}

const (
	takeoverDeadline = 2 * time.Second
	takeoverGrace    = time.Second
	takeoverRequests = 400
	takeoverSeeds    = 200
)

// takeoverModel is one engine to which successive holders of the right send orders.
type takeoverModel struct {
	random    *rand.Rand
	protected bool
	now       time.Duration
	sequence  int64
	holders   []*Worker
	// lostAt is when the former holder lost the right; after a hand-over, it is set
	// so that no grace remains.
	lostAt       time.Duration
	running      map[uint64]admission.Request
	dispatchedBy map[uint64]*Worker
	resident     map[table.AdapterVersion]bool
	history      map[table.AdapterVersion][]porcupine.Operation
}

func (m *takeoverModel) record(adapter table.AdapterVersion, change int) {
	m.sequence++
	m.history[adapter] = append(m.history[adapter], porcupine.Operation{Input: pinOperation{change}, Call: m.sequence, Return: m.sequence})
}

func (m *takeoverModel) step(w *Worker, event Event) {
	for _, action := range w.Step(m.now, event) {
		switch a := action.(type) {
		case Dispatch:
			if w != m.holders[len(m.holders)-1] && m.now >= m.lostAt+takeoverGrace {
				// The former holder's grace is over, so the request is not sent.
				delete(m.running, a.ID)
				m.step(w, Finished(a))
				continue
			}
			m.dispatchedBy[a.ID] = w
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

func (m *takeoverModel) finish(id uint64) {
	w, dispatched := m.dispatchedBy[id]
	if !dispatched {
		return
	}
	m.record(m.running[id].Adapter, -1)
	delete(m.running, id)
	delete(m.dispatchedBy, id)
	m.step(w, Finished{ID: id})
}

// changeHolder transfers the right to a new holder, with or without a hand-over.
func (m *takeoverModel) changeHolder(handedOver bool) {
	protection := Protection{All: m.now + takeoverGrace + takeoverDeadline}
	if handedOver {
		protection = Protection{Adapters: make(map[table.AdapterVersion]time.Duration)}
	}
	for id := range m.dispatchedBy {
		if handedOver {
			adapter := m.running[id].Adapter
			protection.Adapters[adapter] = max(protection.Adapters[adapter], m.running[id].Deadline)
		}
	}
	m.lostAt = m.now
	if handedOver {
		m.lostAt = -takeoverGrace
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

// run plays a random history and reports whether an adapter in use was evicted.
func (m *takeoverModel) run() bool {
	m.changeHolder(true)
	for i := range uint64(takeoverRequests) {
		m.now += time.Duration(m.random.IntN(100)) * time.Millisecond
		for _, id := range slices.Sorted(maps.Keys(m.running)) {
			if r := m.running[id]; r.Deadline <= m.now || m.random.IntN(8) == 0 {
				m.finish(id)
			}
		}
		target := m.holders[len(m.holders)-1]
		if former := len(m.holders) - 2; former >= 0 && m.now < m.lostAt+takeoverGrace && m.random.IntN(3) == 0 {
			target = m.holders[former] // may use resident adapters during its grace
		}
		r := admission.Request{
			ID: i + 1, Arrived: m.now, Deadline: m.now + time.Duration(1+m.random.IntN(int(takeoverDeadline))),
			Adapter: table.AdapterVersion{Adapter: fmt.Sprint(m.random.IntN(4)), Version: "v1"},
		}
		m.running[r.ID] = r
		m.step(target, Arrive{Request: r})
		if m.now > m.lostAt+2*takeoverGrace+2*takeoverDeadline && m.random.IntN(10) == 0 {
			m.changeHolder(m.random.IntN(2) == 0)
		}
	}
	for _, operations := range m.history {
		if !porcupine.CheckOperations(pinModel, operations) {
			return true
		}
	}
	return false
}

// evictedInUse plays the history of a seed and reports whether an adapter in use
// was evicted.
func evictedInUse(seed uint64, protected bool) bool {
	m := &takeoverModel{
		random: rand.New(rand.NewPCG(seed, 1)), protected: protected, holders: []*Worker{NewWorker("w", DefaultConfig(2, 8))},
		running: make(map[uint64]admission.Request), dispatchedBy: make(map[uint64]*Worker),
		resident: make(map[table.AdapterVersion]bool), history: make(map[table.AdapterVersion][]porcupine.Operation),
	}
	return m.run()
}

// TestTakeOverEvictsNothingInUse checks that no adapter is evicted while a request
// of the former holder uses it, and that the check detects new holders without
// the protection.
func TestTakeOverEvictsNothingInUse(t *testing.T) {
	violations := 0
	for seed := range uint64(takeoverSeeds) {
		require.False(t, evictedInUse(seed, true), "seed %d", seed)
		if evictedInUse(seed, false) {
			violations++
		}
	}
	t.Logf("%d of %d histories without protection evict an adapter in use", violations, takeoverSeeds)
	require.Positive(t, violations)
}
