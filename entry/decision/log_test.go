package decision

import (
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is an output whose writes block until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *blockingWriter) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

func TestBlockedOutputDoesNotBlockCallers(t *testing.T) {
	output := &blockingWriter{release: make(chan struct{})}
	config := DefaultConfig()
	config.LinesPerSecond, config.Burst = 1e9, 1e9
	l := New(config, output, "e0")
	start := time.Now()
	for range 5 * config.Buffer {
		l.Line(Placed).Str("request", "r").Send()
	}
	require.Less(t, time.Since(start), 5*time.Second)
	close(output.release)
	require.Eventually(t, func() bool {
		l.Summarize()
		return strings.Contains(output.String(), `"event":"lines_dropped"`)
	}, 5*time.Second, 10*time.Millisecond, "the overwritten lines are counted")
}

func TestEachEventHasItsOwnRateLimit(t *testing.T) {
	var output blockingWriter
	output.release = make(chan struct{})
	close(output.release)
	config := DefaultConfig()
	l := New(config, &output, "e0")
	for range 10 * config.Burst {
		l.Line(Placed).Send()
	}
	l.Line(StoreLost).Send()
	l.Summarize()
	require.NoError(t, l.Close())
	text := output.String()
	require.Contains(t, text, `"event":"store_lost"`)
	require.Contains(t, text, `"limited_placed":`)
	require.Less(t, strings.Count(text, `"event":"placed"`), 2*config.Burst)
}

// BenchmarkLine measures the processor time of one line.
func BenchmarkLine(b *testing.B) {
	config := DefaultConfig()
	config.LinesPerSecond, config.Burst = 1e12, 1<<40
	l := New(config, io.Discard, "e0")
	b.ReportAllocs()
	for b.Loop() {
		l.Line(Placed).Str("request", "9c41d07be2a35f68").Str("worker", "i-7f3a91c2").Str("adapter", "a3").
			Int("running", 12).Dur("estimate_ms", 180*time.Millisecond).Uint64("config", 7).Send()
	}
}
