package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/cmd/internal/loadgen"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/ingress"
	"github.com/bulrushwick/bulrushwick/entry/operator"
)

// Trace and span of the traceparent header that the test's caller sends.
const (
	callerTraceID = "0af7651916cd43dd8448eb211c80319c"
	callerSpanID  = "b7ad6b7169203331"
)

// span holds the fields of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// TestOperatorsSeeARequest guards against operator tools that do not show what
// the instances do: status must list every instance as ready, explain must list
// every worker, the one with the highest score first, and the exported spans must form one trace.
func TestOperatorsSeeARequest(t *testing.T) {
	s := &system{spec: deployment.Silttolge(), traceSpans: true}
	s.startAll(t, 2)
	adapter := s.adapterVersions(1)[0]
	headers := map[string]string{
		httpx.RankHeader:  "urgent",
		httpx.Traceparent: "00-" + callerTraceID + "-" + callerSpanID + "-01",
	}
	for _, address := range s.callerAddresses { // at least one of the instances forwards the request
		response, err := post(address, "/v1/completions", completionBody{adapter.String(), "piim", 4, true}, headers)
		require.NoError(t, err)
		require.NoError(t, checkServed(response, adapter.String()))
		_, done, err := readEvents(response.Body)
		require.NoError(t, err)
		require.True(t, done)
		require.NoError(t, response.Body.Close())
	}
	t.Run("status", func(t *testing.T) {
		out := runProgram(t, "bulrushctl", append([]string{"status"}, s.operatorAddresses...)...)
		require.Equal(t, len(s.operatorAddresses), strings.Count(out, " ready "), out)
	})
	t.Run("explain", func(t *testing.T) {
		out := runProgram(t, "bulrushctl", "explain", s.operatorAddresses[0], "--adapter", adapter.String(), "--output", "json")
		var e ingress.Explanation
		require.NoError(t, json.Unmarshal([]byte(out), &e))
		require.Len(t, e.Candidates, s.spec.Workers)
		require.NotEmpty(t, e.Candidates[0].Owner)
		require.GreaterOrEqual(t, e.Candidates[0].Score, e.Candidates[1].Score)
	})
	for _, instance := range s.instances {
		instance.signal(syscall.SIGTERM)
	}
	for _, instance := range s.instances {
		instance.await(t, "stopped")
	}
	t.Run("traces", func(t *testing.T) { s.checkTrace(t) })
}

// checkTrace requires a span of each hop, and that each span belongs to the
// caller's trace and has a recorded parent or, at ingress, the caller's span.
func (s *system) checkTrace(t *testing.T) {
	spans := make(map[string]span)
	names := make(map[string]int)
	for _, file := range s.spanFiles {
		for _, sp := range readSpans(t, file) {
			require.Equal(t, callerTraceID, sp.SpanContext.TraceID, sp.Name)
			spans[sp.SpanContext.SpanID] = sp
			names[sp.Name]++
		}
	}
	for _, hop := range []string{"ingress", "forward", "queue", "load", "dispatch", "stream"} {
		require.Positive(t, names[hop], "no span named %s in %v", hop, names)
	}
	for _, sp := range spans {
		_, known := spans[sp.Parent.SpanID]
		require.True(t, known || sp.Name == "ingress" && sp.Parent.SpanID == callerSpanID, "the parent of span %s was not exported", sp.Name)
	}
}

// readSpans reads a file with one JSON span per line.
func readSpans(t *testing.T, file string) []span {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	var spans []span
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var sp span
		require.NoError(t, json.Unmarshal(scanner.Bytes(), &sp))
		spans = append(spans, sp)
	}
	require.NoError(t, scanner.Err())
	return spans
}

// TestMetricsNameNoAdapter guards against missing metrics and against metrics that
// are labelled with an adapter: after a request the expected series must appear,
// and the page must not contain the adapter's name.
func TestMetricsNameNoAdapter(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	adapter := s.adapterVersions(1)[0]
	for _, address := range s.callerAddresses {
		require.NoError(t, requestCompletion(address, adapter, 0, "piim", 2))
	}
	for _, want := range []string{
		`bulrushwick_requests{outcome="served",rank="urgent"} 1`,
		`bulrushwick_revision 1`,
		`bulrushwick_instances_usable 3`,
		`bulrushwick_workers_owned`,
		`bulrushwick_queue{rank="urgent"} 0`,
		`bulrushwick_request_seconds_count{rank="urgent"} 1`,
	} {
		metrics := awaitMetric(t, s.operatorAddresses[0], want)
		require.NotContains(t, metrics, adapter.Adapter)
	}
	stalls := 0
	for _, address := range s.operatorAddresses {
		metrics := awaitMetric(t, address, "bulrushwick_revision 1")
		stalls += strings.Count(metrics, `bulrushwick_load_stall_seconds_count{rank="urgent"} `)
	}
	require.Positive(t, stalls, "the first request must wait for a load at the owner of its worker")
}

// maxMetricReads limits the reads of the metrics page in awaitMetric. The reads
// must go on for more than a second, the interval at which tally updates the page.
const maxMetricReads = 20000

// awaitMetric reads the metrics page until it contains want, and returns the page.
func awaitMetric(t *testing.T, address, want string) string {
	t.Helper()
	metrics := ""
	for range maxMetricReads {
		response, err := http.Get("http://" + address + operator.MetricsPath)
		require.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		if metrics = string(data); strings.Contains(metrics, want) {
			return metrics
		}
	}
	require.FailNow(t, "metric not found", "%s in\n%s", want, metrics)
	return ""
}

// TestLoadStopsByItself guards against a load generator that runs on after its
// duration, leaves requests in progress or counts requests without an outcome.
func TestLoadStopsByItself(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	out := runProgram(t, "bulrushctl", "load", s.callerAddresses[0], s.callerAddresses[1],
		"--rate", "100", "--duration", "500ms", "--adapters", "8", "--skew", "1.5", "--output", "json")
	var report loadgen.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Zero(t, report.InProgress)
	require.Zero(t, report.Wrong())
	for _, rank := range report.Ranks {
		require.Equal(t, rank.Sent, rank.Served+rank.NotRun+rank.Unknown, rank.Rank)
	}
}
