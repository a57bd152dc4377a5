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

// askedTrace is the trace that the test's caller asks for, with its own span.
const (
	askedTrace  = "0af7651916cd43dd8448eb211c80319c"
	askedParent = "b7ad6b7169203331"
)

// span is the part of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

// TestOperatorsSeeARequest follows one request through metrics, status, explain
// and traces.
func TestOperatorsSeeARequest(t *testing.T) {
	s := &system{spec: deployment.Silttolge(), traced: true}
	s.startAll(t, 2)
	adapter := s.adapters(1)[0]
	headers := map[string]string{
		httpx.RankHeader:  "urgent",
		httpx.Traceparent: "00-" + askedTrace + "-" + askedParent + "-01",
	}
	for _, entry := range s.callers { // at least one of them forwards
		response, err := post(entry, "/v1/completions", completionBody{adapter.String(), "piim", 4, true}, headers)
		require.NoError(t, err)
		require.NoError(t, served(response, adapter.String()))
		_, done, err := readEvents(response.Body)
		require.NoError(t, err)
		require.True(t, done)
		require.NoError(t, response.Body.Close())
	}
	t.Run("status", func(t *testing.T) {
		out := run(t, "bulrushctl", append([]string{"status"}, s.operators...)...)
		require.Equal(t, len(s.operators), strings.Count(out, " ready "), out)
	})
	t.Run("explain", func(t *testing.T) {
		out := run(t, "bulrushctl", "explain", s.operators[0], "--adapter", adapter.String(), "--output", "json")
		var e ingress.Explanation
		require.NoError(t, json.Unmarshal([]byte(out), &e))
		require.Len(t, e.Candidates, s.spec.Workers)
		require.NotEmpty(t, e.Candidates[0].Owner)
		require.GreaterOrEqual(t, e.Candidates[0].Score, e.Candidates[1].Score)
	})
	for _, entry := range s.entries {
		entry.signal(syscall.SIGTERM)
	}
	for _, entry := range s.entries {
		entry.await(t, "stopped")
	}
	t.Run("traces", func(t *testing.T) { s.wantTrace(t) })
}

// wantTrace wants a span of each hop, each below another of the same trace.
func (s *system) wantTrace(t *testing.T) {
	spans := make(map[string]span)
	names := make(map[string]int)
	for _, file := range s.traces {
		for _, sp := range readSpans(t, file) {
			require.Equal(t, askedTrace, sp.SpanContext.TraceID, sp.Name)
			spans[sp.SpanContext.SpanID] = sp
			names[sp.Name]++
		}
	}
	for _, hop := range []string{"ingress", "forward", "queue", "load", "dispatch", "stream"} {
		require.Positive(t, names[hop], "no span of %s among %v", hop, names)
	}
	for _, sp := range spans {
		_, known := spans[sp.Parent.SpanID]
		require.True(t, known || sp.Name == "ingress" && sp.Parent.SpanID == askedParent, "%s hangs below nothing", sp.Name)
	}
}

func readSpans(t *testing.T, file string) []span {
	t.Helper()
	f, err := os.Open(file)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	var spans []span
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var sp span
		require.NoError(t, json.Unmarshal(lines.Bytes(), &sp))
		spans = append(spans, sp)
	}
	require.NoError(t, lines.Err())
	return spans
}

// TestMetricsNameNoAdapter reads the metrics until they show the request.
func TestMetricsNameNoAdapter(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	adapter := s.adapters(1)[0]
	for _, entry := range s.callers {
		require.NoError(t, complete(entry, adapter, 0, "piim", 2))
	}
	for _, want := range []string{
		`bulrushwick_requests{outcome="served",rank="urgent"} 1`,
		`bulrushwick_revision 1`,
		`bulrushwick_instances_usable 3`,
		`bulrushwick_workers_owned`,
		`bulrushwick_queue{rank="urgent"} 0`,
		`bulrushwick_request_seconds_count{rank="urgent"} 1`,
	} {
		page := awaitMetric(t, s.operators[0], want)
		require.NotContains(t, page, adapter.Adapter)
	}
	stalls := 0
	for _, address := range s.operators {
		page := awaitMetric(t, address, "bulrushwick_revision 1")
		stalls += strings.Count(page, `bulrushwick_load_stall_seconds_count{rank="urgent"} `)
	}
	require.Positive(t, stalls, "the first request waited for a load at its owner")
}

// metricReads is how often the page is read at most; tally renews it each
// second.
const metricReads = 20000

// awaitMetric reads the page until it holds want.
func awaitMetric(t *testing.T, address, want string) string {
	t.Helper()
	page := ""
	for range metricReads {
		response, err := http.Get("http://" + address + operator.MetricsPath)
		require.NoError(t, err)
		data, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		if page = string(data); strings.Contains(page, want) {
			return page
		}
	}
	require.FailNow(t, "no such metric", "%s in\n%s", want, page)
	return ""
}

// TestLoadStopsByItself sends a small load to two instances.
func TestLoadStopsByItself(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	out := run(t, "bulrushctl", "load", s.callers[0], s.callers[1],
		"--rate", "100", "--duration", "500ms", "--adapters", "8", "--skew", "1.5", "--output", "json")
	var report loadgen.Report
	require.NoError(t, json.Unmarshal([]byte(out), &report))
	require.Zero(t, report.InProgress)
	require.Zero(t, report.Wrong())
	for _, rank := range report.Ranks {
		require.Equal(t, rank.Sent, rank.Served+rank.NotRun+rank.Unknown, rank.Rank)
	}
}
