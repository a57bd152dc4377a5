package keys

import (
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// homeSettle is how long after a change of the published data centres another
// instance may still go by the former ones.
const homeSettle = 8 * time.Second

// homes remembers the published data centres, since the home of a key that
// names none is hashed over them.
type homes struct {
	current []string
	changes []homeChange
}

// homeChange is one change of the published data centres.
type homeChange struct {
	before []string
	// wall is when the instance saw the change, since the Unix epoch.
	wall time.Duration
}

// observe notes the data centres that are published now and forgets changes
// that are older than every key.
func (h *homes) observe(dataCentres []string, wall, retention time.Duration) {
	if h.current != nil && !slices.Equal(h.current, dataCentres) {
		h.changes = append(h.changes, homeChange{before: h.current, wall: wall})
	}
	h.current = dataCentres
	h.changes = slices.DeleteFunc(h.changes, func(c homeChange) bool { return c.wall+homeSettle < wall-retention })
}

// movedAt returns until when another home may have run the key, since the Unix
// epoch, or 0 where its home has not moved.
func (h *homes) movedAt(key attempt.Key) time.Duration {
	var moved time.Duration
	for _, c := range h.changes {
		if attempt.Home(key, c.before) != attempt.Home(key, h.current) {
			moved = max(moved, c.wall+homeSettle)
		}
	}
	return moved
}

// homeFloor returns the floor of a key whose home has moved, or 0. The lock must
// be held.
func (k *Keys) homeFloor(key attempt.Key, named string) time.Duration {
	k.observeHomes()
	if named != "" {
		return 0
	}
	moved := k.homes.movedAt(key)
	if moved == 0 {
		return 0
	}
	return moved + k.config.Record.FutureLimit + k.config.Record.ClockSkew
}

func (k *Keys) observeHomes() {
	if t := k.fleet.Table(); t != nil {
		k.homes.observe(t.DataCentres(), wall(), k.config.Record.Retention)
	}
}
