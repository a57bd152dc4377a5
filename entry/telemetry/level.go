package telemetry

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// upDownGauge is a gauge that is changed by differences. It is safe for concurrent
// use.
type upDownGauge struct {
	count atomic.Int64
	gauge tally.Gauge
}

func newUpDownGauge(gauge tally.Gauge) *upDownGauge { return &upDownGauge{gauge: gauge} }

func (g *upDownGauge) add(n int64) { g.gauge.Update(float64(g.count.Add(n))) }
