package telemetry

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// level is a count that rises and falls, shown as a gauge.
type level struct {
	count atomic.Int64
	gauge tally.Gauge
}

func newLevel(gauge tally.Gauge) *level { return &level{gauge: gauge} }

func (l *level) add(n int64) { l.gauge.Update(float64(l.count.Add(n))) }
