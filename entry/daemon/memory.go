package daemon

import (
	"cmp"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/intake"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// peerShare is the part of the budget for bodies that peers forward. Theirs were admitted
// by the instance that received them.
const peerShare = 4

// intakes bound the memory of callers' connections and that of peers'.
type intakes struct{ callers, peers *intake.Intake }

func newIntakes(s settings.Settings) intakes {
	budget := intake.BudgetOf(s.MemoryLimitMB)
	config := intake.Config{
		Bytes:         budget - budget/peerShare,
		Connections:   cmp.Or(s.MaxCallerConnections, intake.ConnectionsOf(s.MemoryLimitMB)),
		BodyTimeout:   headerReadTimeout,
		HeaderTimeout: func() time.Duration { return headerReadTimeout },
	}
	callers := intake.New(config)
	config.Bytes, config.Connections = budget/peerShare, connsLimit
	return intakes{callers: callers, peers: intake.New(config)}
}

// recordMemory adds what the intakes hold to the state gauges.
func (d *Daemon) recordMemory(s *telemetry.State) {
	for _, i := range []*intake.Intake{d.memory.callers, d.memory.peers} {
		state, counts := i.State(), i.Counts()
		s.BodyBudget += state.Limit
		s.BodyHeld += state.Held
		s.BodiesRefused += counts.TooLong.Load() + counts.NoRoom.Load()
		s.ConnectionsClosed += counts.Evicted.Load() + counts.TooMany.Load() + counts.SlowHeaders.Load()
	}
	s.CallerConnections = d.memory.callers.State().Connections
}
