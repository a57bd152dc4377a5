package e2e

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Load of one node at the size that letter 1 asks for.
const (
	nodeRequestsPerSecond = 104
	nodeTokensPerSecond   = 28_000
)

const (
	pacedCalls   = 1000
	manyCalls    = 8000
	callers      = 8
	streams      = 64
	streamTokens = 2500
)

// benchSystem is one engine behind two instances of one data centre.
func benchSystem(b *testing.B, tokenTime string) *system {
	spec := deployment.Silttolge()
	spec.Regions = []table.Region{{Name: "ee-north", DataCentres: []string{"tln-a"}}}
	spec.Workers, spec.Services, spec.Batch = 1, 1, 256
	return startSystemWith(b, spec, 2, "--token-time", tokenTime)
}

// BenchmarkAddedLatency compares a completion of one token through two hops
// with the same call at the engine.
func BenchmarkAddedLatency(b *testing.B) {
	s := benchSystem(b, "0s")
	body := benchBody(b, s, 1, false)
	warm(b, s, body)
	entry := s.forwarder(b, body)
	for b.Loop() {
		direct := pacedLatencies(b, s.workers[0], body)
		through := pacedLatencies(b, entry, body)
		report := func(name string, quantile float64) {
			b.ReportMetric(float64(direct.ValueAtQuantile(quantile)), "direct-us-"+name)
			b.ReportMetric(float64(through.ValueAtQuantile(quantile)-direct.ValueAtQuantile(quantile)), "added-us-"+name)
		}
		report("p50", 50)
		report("p99", 99)
	}
}

// BenchmarkStreamedTokens relays streams through two hops and reports the
// processor time of the two instances, from start to exit.
func BenchmarkStreamedTokens(b *testing.B) {
	for b.Loop() {
		s := benchSystem(b, "2ms")
		body := benchBody(b, s, streamTokens, true)
		warm(b, s, benchBody(b, s, 1, false))
		entry := s.forwarder(b, benchBody(b, s, 1, false))
		start := time.Now()
		var group sync.WaitGroup
		for range streams {
			group.Go(func() { drain(b, entry, body) })
		}
		group.Wait()
		took := time.Since(start)
		tokens := float64(streams * streamTokens)
		cpu := s.stopEntries(b)
		perToken := cpu.Seconds() / tokens
		b.ReportMetric(tokens/took.Seconds(), "tokens/s")
		b.ReportMetric(1/perToken, "tokens/core-s")
		b.ReportMetric(perToken*nodeTokensPerSecond, "cores-at-28k-tokens/s")
	}
}

// BenchmarkRequests sends short completions through two hops and reports the
// processor time of the two instances a request.
func BenchmarkRequests(b *testing.B) {
	for b.Loop() {
		s := benchSystem(b, "0s")
		body := benchBody(b, s, 1, false)
		warm(b, s, body)
		entry := s.forwarder(b, body)
		sendMany(b, entry, body)
		cpu := s.stopEntries(b)
		b.ReportMetric(cpu.Seconds()/manyCalls*1e6, "cpu-us/request")
		b.ReportMetric(cpu.Seconds()/manyCalls*nodeRequestsPerSecond, "cores-at-104-requests/s")
	}
}

func benchBody(b *testing.B, s *system, tokens int, stream bool) string {
	data, err := json.Marshal(completionBody{s.adapters(1)[0].String(), "label", tokens, stream})
	require.NoError(b, err)
	return string(data)
}

// warm loads the adapter, so that no call waits for the store.
func warm(b *testing.B, s *system, body string) {
	for _, entry := range s.callers {
		drain(b, entry, body)
	}
}

// benchClient keeps a connection for each concurrent caller.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}

func drain(b *testing.B, address, body string) {
	response, err := benchClient.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		b.Errorf("%s answered %d", address, response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Error(err)
	}
}

// pacedLatencies times calls in microseconds at the request rate of one node.
func pacedLatencies(b *testing.B, address, body string) *hdrhistogram.Histogram {
	all := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	pace := time.NewTicker(time.Second / nodeRequestsPerSecond)
	defer pace.Stop()
	for range pacedCalls {
		<-pace.C
		group.Go(func() {
			start := time.Now()
			drain(b, address, body)
			took := time.Since(start).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = all.RecordValue(took)
		})
	}
	group.Wait()
	return all
}

// sendMany makes calls as fast as a few callers can.
func sendMany(b *testing.B, address, body string) {
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range manyCalls / callers {
				drain(b, address, body)
			}
		})
	}
	group.Wait()
}

// forwarder returns the address of the instance that does not own the engine.
func (s *system) forwarder(b *testing.B, body string) string {
	for i, address := range s.callers {
		response, err := benchClient.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
		require.NoError(b, err)
		_ = response.Body.Close()
		if response.Header.Get(httpx.OwnerHeader) != s.instances[i].Name {
			return address
		}
	}
	require.FailNow(b, "every instance owns the engine")
	return ""
}

// stopEntries stops the instances and returns the processor time they used.
func (s *system) stopEntries(b *testing.B) time.Duration {
	for _, entry := range s.entries {
		entry.signal(syscall.SIGTERM)
	}
	var cpu time.Duration
	for _, entry := range s.entries {
		entry.await(b, "stopped")
		<-entry.exited
		state := entry.command.ProcessState
		cpu += state.UserTime() + state.SystemTime()
	}
	return cpu
}
