package gossip

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

func resident(names ...string) []table.AdapterVersion {
	adapters := make([]table.AdapterVersion, len(names))
	for i, name := range names {
		adapters[i] = table.AdapterVersion{Adapter: name, Version: "v1"}
	}
	return adapters
}

func TestRecordIsSentOnce(t *testing.T) {
	l := NewLog()
	require.True(t, l.Set("w1", resident("b", "a"), 10))
	require.False(t, l.Set("w1", resident("a", "b"), 20), "the same adapters add no record")
	records, at := l.After(0, NotFrom("peer"), 10)
	require.Equal(t, []Record{{Worker: "w1", Version: 10, Resident: resident("a", "b")}}, records)
	records, _ = l.After(at, NotFrom("peer"), 10)
	require.Empty(t, records)
}

func TestHighestVersionWins(t *testing.T) {
	l := NewLog()
	require.True(t, l.Offer(Record{Worker: "w1", Version: 5, Resident: resident("a")}, "former"))
	require.False(t, l.Offer(Record{Worker: "w1", Version: 4}, "late"))
	require.False(t, l.Offer(Record{Worker: "w1", Version: 5}, "again"))
	require.True(t, l.Set("w1", resident("a"), 1), "a new owner adds a record even if the adapters are unchanged")
	records, _ := l.After(0, NotFrom("former"), 10)
	require.Equal(t, uint64(6), records[0].Version)
}

func TestNothingGoesBackToItsSender(t *testing.T) {
	l := NewLog()
	l.Offer(Record{Worker: "w1", Version: 1}, "a")
	toSender, _ := l.After(0, NotFrom("a"), 10)
	require.Empty(t, toSender)
	toOther, _ := l.After(0, NotFrom("b"), 10)
	require.Len(t, toOther, 1)
	own, _ := l.After(0, Own, 10)
	require.Empty(t, own)
}

func TestLimitedPagesReachTheEnd(t *testing.T) {
	const workers, rounds, limit = 100, 5, 7
	l := NewLog()
	for round := range rounds {
		for i := range workers {
			l.Set(fmt.Sprintf("w%d", i), resident(fmt.Sprint(round)), uint64(round))
		}
	}
	seen := make(map[string]string)
	for at := Position(0); at < l.End(); {
		records, reached := l.After(at, NotFrom("peer"), limit)
		require.LessOrEqual(t, len(records), limit)
		require.Greater(t, reached, at)
		for _, r := range records {
			seen[r.Worker] = r.Resident[0].Adapter
		}
		at = reached
	}
	require.Len(t, seen, workers)
	for worker, newest := range seen {
		require.Equal(t, fmt.Sprint(rounds-1), newest, worker)
	}
	l.Retain(func(worker string) bool { return worker == "w0" })
	require.Equal(t, 1, l.Len())
}
