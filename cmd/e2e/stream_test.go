package e2e

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/standin"
)

const (
	faultyTokens = 8
	faultyAt     = 3
)

// stream opens a stream through an entry.
func (s *system) stream(t *testing.T, entry int, prompt string) *http.Response {
	t.Helper()
	model := s.adapters(1)[0].String()
	response, err := post(s.callers[entry], "/v1/completions", completionBody{model, prompt, faultyTokens, true}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// worker returns the address of a worker by its name.
func (s *system) worker(name string) string {
	for i, address := range s.workers {
		if name == fmt.Sprintf("%s-%d", s.spec.EnginePool, i) {
			return address
		}
	}
	return ""
}

func switchEngine(t *testing.T, address, query string) {
	t.Helper()
	response, err := http.Get("http://" + address + "/fault?" + query)
	require.NoError(t, err)
	_ = response.Body.Close()
}

var streamFaults = []standin.StreamFaultKind{
	standin.CutStream, standin.EndStream, standin.RepeatEvent, standin.SkipEvent, standin.CrossEvent, standin.CrossAnswer,
}

// passable are the faults that a resumed stream does not meet again, since it
// starts behind them.
var passable = map[standin.StreamFaultKind]bool{standin.RepeatEvent: true, standin.CrossAnswer: true}

// TestBrokenStreamsAreResumedOrCut breaks streams at one worker, where another
// goes on, and then at all, where the caller must see that the answer is cut.
func TestBrokenStreamsAreResumedOrCut(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	model := s.adapters(1)[0].String()
	for i, kind := range streamFaults {
		t.Run(string(kind), func(t *testing.T) {
			prompt, entry := fmt.Sprintf("label %d", i), i%len(s.callers)
			clean := s.stream(t, entry, prompt)
			_, done, err := readEvents(clean.Body)
			require.True(t, done, err)
			address := s.worker(clean.Header.Get(httpx.WorkerHeader))
			require.NotEmpty(t, address)
			switchEngine(t, address, fmt.Sprintf("stream=%s&at=%d", kind, faultyAt))
			text, done, err := readEvents(s.stream(t, entry, prompt).Body)
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, standin.Answer(model, prompt, faultyTokens), text)

			for _, worker := range s.workers {
				switchEngine(t, worker, fmt.Sprintf("stream=%s&at=%d", kind, faultyAt))
			}
			broken := s.stream(t, entry, prompt)
			require.Equal(t, http.StatusOK, broken.StatusCode)
			got, cut := io.ReadAll(broken.Body)
			text, done, err = readEvents(strings.NewReader(string(got)))
			require.NoError(t, err)
			want := standin.Answer(model, prompt, faultyTokens)
			require.True(t, strings.HasPrefix(want, text), text)
			if passable[kind] {
				require.NoError(t, cut)
				require.Equal(t, want, text)
			} else {
				require.ErrorIs(t, cut, io.ErrUnexpectedEOF, "the answer is not closed as complete")
			}
			require.Equal(t, passable[kind], done)
			for _, worker := range s.workers {
				switchEngine(t, worker, "")
			}
		})
	}
}
