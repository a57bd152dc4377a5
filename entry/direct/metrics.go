package direct

import (
	"net/http"
	"strconv"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"github.com/bulrushwick/bulrushwick/coord/slots"
)

// latencyBuckets range from the latency of a plain call to the longest
// deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// metricsReportInterval is how often tally reports its counts to the metrics
// page.
const metricsReportInterval = time.Second

// metrics holds the instance's counters, histograms and gauges. Label sets are
// bounded: kinds, ranks, outcomes and reasons come from constants. It is safe
// for concurrent use.
type metrics struct {
	scope    tally.Scope
	reporter prometheus.Reporter
}

func newMetrics() *metrics {
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: prom.NewRegistry()})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "bulrushwick", CachedReporter: reporter, Separator: prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, metricsReportInterval)
	m := &metrics{scope: scope, reporter: reporter}
	m.tagged("task", "request").Counter("panics").Inc(0) // exported from the start, so that an alarm sees the first one
	m.scope.Counter("store_outages").Inc(0)
	m.scope.Counter("store_eras").Inc(0)
	for failed := range keyFailures {
		m.unauthenticated(failed).Inc(0)
	}
	return m
}

// countKeyFailure counts a request whose key is not accepted.
func (m *metrics) countKeyFailure(failed keyFailure) { m.unauthenticated(failed).Inc(1) }

func (m *metrics) unauthenticated(failed keyFailure) tally.Counter {
	return m.tagged("reason", string(failed)).Counter("unauthenticated")
}

func (m *metrics) handler() http.Handler { return m.reporter.HTTPHandler() }

func (m *metrics) tagged(name, value string) tally.Scope {
	return m.scope.Tagged(map[string]string{name: value})
}

// recordRequest counts a finished request with its outcome and duration.
func (m *metrics) recordRequest(kind string, rank int, outcome string, took time.Duration) {
	s := m.scope.Tagged(map[string]string{"kind": kind, "rank": strconv.Itoa(rank), "outcome": outcome})
	s.Counter("requests").Inc(1)
	s.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

// recordFirstByte records the time to the first byte of a response.
func (m *metrics) recordFirstByte(rank int, took time.Duration) {
	m.tagged("rank", strconv.Itoa(rank)).Histogram("first_byte_seconds", latencyBuckets).RecordDuration(took)
}

// recordLongestPause records the longest pause of a stream.
func (m *metrics) recordLongestPause(rank int, longest time.Duration) {
	m.tagged("rank", strconv.Itoa(rank)).Histogram("pause_seconds", latencyBuckets).RecordDuration(longest)
}

// countRefusal counts a refusal by its reason.
func (m *metrics) countRefusal(reason string) { m.tagged("reason", reason).Counter("refusals").Inc(1) }

// recordLoadWait records how long a request waited for an adapter, and whether
// it became ready.
func (m *metrics) recordLoadWait(ready bool, took time.Duration) {
	m.tagged("ready", strconv.FormatBool(ready)).Histogram("load_wait_seconds", latencyBuckets).RecordDuration(took)
}

// countPanic counts a panic by the task that it was confined to.
func (m *metrics) countPanic(task string) { m.tagged("task", task).Counter("panics").Inc(1) }

// countStoreOutage counts an outage of the store in which entries may have expired.
func (m *metrics) countStoreOutage() { m.scope.Counter("store_outages").Inc(1) }

// countStoreEra counts a return of the store from an older copy.
func (m *metrics) countStoreEra() { m.scope.Counter("store_eras").Inc(1) }

// countRetry counts a retried request by the cause of the retry.
func (m *metrics) countRetry(cause string) { m.tagged("cause", cause).Counter("repeats").Inc(1) }

// recordOrder records an order to a worker with its result and duration.
func (m *metrics) recordOrder(order slots.Order, result slots.Result, took time.Duration) {
	operation := "load_adapter"
	switch {
	case order.Unload:
		operation = "unload"
	case order.Adapter == "":
		operation = "load_model"
	}
	s := m.scope.Tagged(map[string]string{"operation": operation, "result": result.String()})
	s.Counter("orders").Inc(1)
	s.Histogram("order_seconds", latencyBuckets).RecordDuration(took)
}

// recordLoopDelay records how late a round of housekeeping began, which shows a
// busy or stalled processor.
func (m *metrics) recordLoopDelay(delay time.Duration) {
	m.scope.Histogram("loop_late_seconds", latencyBuckets).RecordDuration(delay)
}

// setGauge sets a gauge.
func (m *metrics) setGauge(name string, value float64) { m.scope.Gauge(name).Update(value) }
