package owner

import (
	"encoding/json"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// handOver is the state that a holder of the right passes to the next one. Its
// JSON form crosses the wire.
type handOver struct {
	Pins []handedPin `json:"pins"`
	// AllMs is the time during which no adapter may be evicted, in
	// milliseconds. It is greater than 0 if a holder had to take the worker
	// over without a hand-over, so that unknown requests of former holders may
	// still be in progress.
	AllMs int64 `json:"allMs"`
}

// handedPin is an adapter that requests of this or a former holder use.
type handedPin struct {
	Adapter string `json:"adapter"`
	// RemainingMs is the time until the latest deadline of these requests, in
	// milliseconds.
	RemainingMs int64 `json:"remainingMs"`
}

// encodeHandOver returns the hand-over as JSON, or nil if it cannot be encoded.
func encodeHandOver(now time.Duration, a authority) []byte {
	deadlines := make(map[table.AdapterVersion]time.Duration)
	for adapter, until := range a.protection.Adapters {
		deadlines[adapter] = until
	}
	for _, p := range a.dispatched {
		deadlines[p.adapter] = max(deadlines[p.adapter], p.deadline)
	}
	h := handOver{AllMs: remainingMs(now, a.protection.All)}
	for adapter, until := range deadlines {
		if until > now {
			h.Pins = append(h.Pins, handedPin{Adapter: adapter.String(), RemainingMs: remainingMs(now, until)})
		}
	}
	state, err := json.Marshal(h)
	if err != nil {
		return nil
	}
	return state
}

// remainingMs returns the time from now until an instant, in milliseconds. It
// rounds up, so that a pin never ends early.
func remainingMs(now, until time.Duration) int64 {
	if until <= now {
		return 0
	}
	return (until - now).Milliseconds() + 1
}

// decodeHandOver returns the adapters that must not be evicted, or fallback if
// the state cannot be read.
func decodeHandOver(now time.Duration, state []byte, fallback residency.Protection) residency.Protection {
	var h handOver
	if json.Unmarshal(state, &h) != nil {
		return fallback
	}
	protection := residency.Protection{
		All:      now + time.Duration(h.AllMs)*time.Millisecond,
		Adapters: make(map[table.AdapterVersion]time.Duration, len(h.Pins)),
	}
	for _, p := range h.Pins {
		adapter, err := table.ParseAdapterVersion(p.Adapter)
		if err != nil {
			return fallback
		}
		protection.Adapters[adapter] = now + time.Duration(p.RemainingMs)*time.Millisecond
	}
	return protection
}
