package owner

import (
	"encoding/json"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// handOver is what a holder passes to the next one.
type handOver struct {
	Pins []handedPin `json:"pins"`
	// AllMs is for how long no adapter may be evicted, since the holder took the
	// worker over without a hand-over itself.
	AllMs int64 `json:"allMs"`
}

// handedPin is an adapter that requests of former holders use.
type handedPin struct {
	Adapter string `json:"adapter"`
	// RemainingMs is what is left of the last request's deadline.
	RemainingMs int64 `json:"remainingMs"`
}

func encodeHandOver(now time.Duration, a authority) []byte {
	last := make(map[table.AdapterVersion]time.Duration)
	for adapter, until := range a.protect.Adapters {
		last[adapter] = until
	}
	for _, p := range a.sent {
		last[p.adapter] = max(last[p.adapter], p.deadline)
	}
	h := handOver{AllMs: remainingMs(now, a.protect.All)}
	for adapter, until := range last {
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

// remainingMs rounds up, so that a pin never ends early.
func remainingMs(now, until time.Duration) int64 {
	if until <= now {
		return 0
	}
	return (until - now).Milliseconds() + 1
}

// decodeHandOver returns what may not be evicted, or otherwise where the state
// can't be read.
func decodeHandOver(now time.Duration, state []byte, otherwise residency.Protection) residency.Protection {
	var h handOver
	if json.Unmarshal(state, &h) != nil {
		return otherwise
	}
	protect := residency.Protection{
		All:      now + time.Duration(h.AllMs)*time.Millisecond,
		Adapters: make(map[table.AdapterVersion]time.Duration, len(h.Pins)),
	}
	for _, p := range h.Pins {
		adapter, err := table.ParseAdapterVersion(p.Adapter)
		if err != nil {
			return otherwise
		}
		protect.Adapters[adapter] = now + time.Duration(p.RemainingMs)*time.Millisecond
	}
	return protect
}
