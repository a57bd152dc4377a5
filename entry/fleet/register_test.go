package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
)

const seed = 20261204

// register is the table register of one instance, as its requests see it.
type register interface {
	Offer(t *table.Table) bool
	Stamp() table.Stamp
}

// operation is an offer of a table, or a read of the stamp where offered is zero.
type operation struct{ offered table.Stamp }

// maxRegister is the model of one observer: its state is the highest stamp
// offered, and a read returns it.
var maxRegister = porcupine.Model{
	Init: func() any { return table.Stamp{} },
	Step: func(state, input, output any) (bool, any) {
		current, in := state.(table.Stamp), input.(operation)
		if in.offered == (table.Stamp{}) {
			return output.(table.Stamp) == current, current
		}
		above := in.offered.Above(current)
		if above {
			current = in.offered
		}
		return output.(bool) == above, current
	},
}

// runHistory offers tables in random order from several goroutines while others read
// the stamp, and returns the recorded operations.
func runHistory(r register, offered []*table.Table, random *rand.Rand) []porcupine.Operation {
	const offerers, readers = 4, 4
	var (
		mu    sync.Mutex
		all   []porcupine.Operation
		group sync.WaitGroup
		start = time.Now()
	)
	record := func(client int, in operation, run func() any) {
		began := time.Since(start)
		out := run()
		ended := time.Since(start)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, porcupine.Operation{ClientId: client, Input: in, Call: began.Nanoseconds(), Output: out, Return: ended.Nanoseconds()})
	}
	for client := range offerers {
		order := random.Perm(len(offered))
		group.Go(func() {
			for _, i := range order {
				record(client, operation{offered: offered[i].Stamp()}, func() any { return r.Offer(offered[i]) })
			}
		})
	}
	for client := range readers {
		group.Go(func() {
			for range 2 * len(offered) {
				record(offerers+client, operation{}, func() any { return r.Stamp() })
			}
		})
	}
	group.Wait()
	return all
}

// lastWins is a broken variant that installs every table, also an older one.
type lastWins struct {
	mu      sync.Mutex
	current table.Stamp
}

func (l *lastWins) Offer(t *table.Table) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	above := t.Stamp().Above(l.current)
	l.current = t.Stamp()
	return above
}

func (l *lastWins) Stamp() table.Stamp {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

func TestTablesAreAMaxRegister(t *testing.T) {
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	var offered []*table.Table
	for revision := range uint64(6) {
		for variant := range 2 { // two tables of each revision
			data := fmt.Appendf(nil, `{"regions": [{"name": "region-%d", "dataCentres": []}]}`, variant)
			built, err := table.Build(table.Snapshot{
				Manifest: table.Manifest{Revision: revision + 1, Chunks: []table.ChunkRef{{Key: "c", Digest: table.Digest(data)}}},
				Chunks:   map[string][]byte{"c": data},
			})
			require.NoError(t, err)
			offered = append(offered, built)
		}
	}
	violations := 0
	for range 20 {
		operations := runHistory(fleet.New("entry-0", "dc-a"), offered, random)
		require.True(t, porcupine.CheckOperations(maxRegister, operations))
		if !porcupine.CheckOperations(maxRegister, runHistory(&lastWins{}, offered, random)) {
			violations++
		}
	}
	require.Equal(t, 20, violations, "the broken variant must be found")
}
