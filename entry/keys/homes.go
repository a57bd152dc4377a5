package keys

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// homeChangeDelay is how long after a change of the published data centres
// another instance may still use the previous ones.
const homeChangeDelay = 8 * time.Second

// homeHistory holds the published data centres and their recent changes. It is
// needed because the home of a key that names none is computed from the
// published data centres by hashing.
type homeHistory struct {
	current []string
	changes []homeChange
}

// homeChange is one change of the published data centres.
type homeChange struct {
	// previous holds the data centres before the change.
	previous []string
	// seenAt is when this instance saw the change, by its wall clock, since the
	// Unix epoch.
	seenAt time.Duration
}

// observe updates the published data centres and drops the changes that are
// older than every key in use. now is the wall time, since the Unix epoch.
func (h *homeHistory) observe(dataCentres []string, now, retention time.Duration) {
	if h.current != nil && !slices.Equal(h.current, dataCentres) {
		h.changes = append(h.changes, homeChange{previous: h.current, seenAt: now})
	}
	h.current = dataCentres
	h.changes = slices.DeleteFunc(h.changes, func(c homeChange) bool { return c.seenAt+homeChangeDelay < now-retention })
}

// movedUntil returns the time until which another home may have run the key,
// since the Unix epoch, or 0 if the key's home has not moved.
func (h *homeHistory) movedUntil(key attempt.Key) time.Duration {
	var moved time.Duration
	for _, c := range h.changes {
		if attempt.Home(key, c.previous) != attempt.Home(key, h.current) {
			moved = max(moved, c.seenAt+homeChangeDelay)
		}
	}
	return moved
}

// homeFloor returns the floor of a key whose home has moved, since the Unix
// epoch, or 0 if it has not. A home that the caller names does not move. k.mu
// must be held.
func (k *Keys) homeFloor(key attempt.Key, named string) time.Duration {
	k.observeHomes()
	if named != "" {
		return 0
	}
	moved := k.homes.movedUntil(key)
	if moved == 0 {
		return 0
	}
	return moved + k.config.Record.FutureLimit + k.config.Record.ClockSkew
}

// observeHomes updates the home history from the current table. k.mu must be
// held.
func (k *Keys) observeHomes() {
	if t := k.fleet.Table(); t != nil {
		k.homes.observe(t.DataCentres(), wallTime(), k.config.Record.Retention)
	}
}
