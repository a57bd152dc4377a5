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

// Load of one instance at the required size of a deployment.
const (
	instanceRequestsPerSecond = 104
	instanceTokensPerSecond   = 28_000
)

const (
	pacedCalls        = 1000
	unpacedCalls      = 8000
	concurrentCallers = 8
	concurrentStreams = 64
	streamTokens      = 2500
)

// startBenchSystem starts one engine and two instances in one data centre.
func startBenchSystem(b *testing.B, tokenTime string) *system {
	spec := deployment.Silttolge()
	spec.Regions = []table.Region{{Name: "ee-north", DataCentres: []string{"tln-a"}}}
	spec.Workers, spec.Services, spec.Batch = 1, 1, 256
	return startSystemWithEngineFlags(b, spec, 2, "--token-time", tokenTime)
}

// BenchmarkAddedLatency compares the latency of a completion of one token through
// two instances with that of the same call sent to the engine.
func BenchmarkAddedLatency(b *testing.B) {
	s := startBenchSystem(b, "0s")
	body := benchBody(b, s, 1, false)
	warmUp(b, s, body)
	address := s.nonOwnerAddress(b, body)
	for b.Loop() {
		direct := pacedLatencies(b, s.workerAddresses[0], body)
		viaInstances := pacedLatencies(b, address, body)
		report := func(name string, quantile float64) {
			b.ReportMetric(float64(direct.ValueAtQuantile(quantile)), "direct-us-"+name)
			b.ReportMetric(float64(viaInstances.ValueAtQuantile(quantile)-direct.ValueAtQuantile(quantile)), "added-us-"+name)
		}
		report("p50", 50)
		report("p99", 99)
	}
}

// BenchmarkStreamedTokens relays streams through two instances and reports the
// processor time of both, from start to exit.
func BenchmarkStreamedTokens(b *testing.B) {
	for b.Loop() {
		s := startBenchSystem(b, "2ms")
		body := benchBody(b, s, streamTokens, true)
		warmUp(b, s, benchBody(b, s, 1, false))
		address := s.nonOwnerAddress(b, benchBody(b, s, 1, false))
		start := time.Now()
		var group sync.WaitGroup
		for range concurrentStreams {
			group.Go(func() { postAndDiscard(b, address, body) })
		}
		group.Wait()
		elapsed := time.Since(start)
		tokens := float64(concurrentStreams * streamTokens)
		cpu := s.stopInstances(b)
		cpuPerToken := cpu.Seconds() / tokens
		b.ReportMetric(tokens/elapsed.Seconds(), "tokens/s")
		b.ReportMetric(1/cpuPerToken, "tokens/core-s")
		b.ReportMetric(cpuPerToken*instanceTokensPerSecond, "cores-at-28k-tokens/s")
	}
}

// BenchmarkRequests sends short completions through two instances and reports the
// processor time of both, from start to exit, per request.
func BenchmarkRequests(b *testing.B) {
	for b.Loop() {
		s := startBenchSystem(b, "0s")
		body := benchBody(b, s, 1, false)
		warmUp(b, s, body)
		address := s.nonOwnerAddress(b, body)
		sendUnpaced(b, address, body)
		cpu := s.stopInstances(b)
		b.ReportMetric(cpu.Seconds()/unpacedCalls*1e6, "cpu-us/request")
		b.ReportMetric(cpu.Seconds()/unpacedCalls*instanceRequestsPerSecond, "cores-at-104-requests/s")
	}
}

// benchBody returns the body of a completion request.
func benchBody(b *testing.B, s *system, tokens int, stream bool) string {
	data, err := json.Marshal(completionBody{s.adapterVersions(1)[0].String(), "label", tokens, stream})
	require.NoError(b, err)
	return string(data)
}

// warmUp sends a request through each instance, so that the adapter is loaded and
// no measured call waits for the store.
func warmUp(b *testing.B, s *system, body string) {
	for _, address := range s.callerAddresses {
		postAndDiscard(b, address, body)
	}
}

// benchClient keeps one idle connection for each concurrent stream.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: concurrentStreams}}

// postAndDiscard sends a completion request and reads its response to the end.
func postAndDiscard(b *testing.B, address, body string) {
	response, err := benchClient.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		b.Errorf("%s responded with status %d", address, response.StatusCode)
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Error(err)
	}
}

// pacedLatencies sends pacedCalls requests at the request rate of one instance and
// returns their latencies in microseconds.
func pacedLatencies(b *testing.B, address, body string) *hdrhistogram.Histogram {
	latencies := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	pace := time.NewTicker(time.Second / instanceRequestsPerSecond)
	defer pace.Stop()
	for range pacedCalls {
		<-pace.C
		group.Go(func() {
			start := time.Now()
			postAndDiscard(b, address, body)
			elapsed := time.Since(start).Microseconds()
			mu.Lock()
			defer mu.Unlock()
			_ = latencies.RecordValue(elapsed)
		})
	}
	group.Wait()
	return latencies
}

// sendUnpaced makes unpacedCalls calls from concurrentCallers callers, each of
// which sends the next call when the former is done.
func sendUnpaced(b *testing.B, address, body string) {
	var group sync.WaitGroup
	for range concurrentCallers {
		group.Go(func() {
			for range unpacedCalls / concurrentCallers {
				postAndDiscard(b, address, body)
			}
		})
	}
	group.Wait()
}

// nonOwnerAddress returns the address of the instance that does not own the engine
// and therefore forwards to the owner.
func (s *system) nonOwnerAddress(b *testing.B, body string) string {
	for i, address := range s.callerAddresses {
		response, err := benchClient.Post("http://"+address+"/v1/completions", "application/json", strings.NewReader(body))
		require.NoError(b, err)
		_ = response.Body.Close()
		if response.Header.Get(httpx.OwnerHeader) != s.members[i].Name {
			return address
		}
	}
	require.FailNow(b, "every instance owns the engine")
	return ""
}

// stopInstances stops the instances and returns their total processor time, from
// start to exit.
func (s *system) stopInstances(b *testing.B) time.Duration {
	for _, instance := range s.instances {
		instance.signal(syscall.SIGTERM)
	}
	var cpu time.Duration
	for _, instance := range s.instances {
		instance.await(b, "stopped")
		<-instance.exited
		state := instance.command.ProcessState
		cpu += state.UserTime() + state.SystemTime()
	}
	return cpu
}
