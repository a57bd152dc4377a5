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
	streamTokenCount = 8
	faultyEvent      = 3
)

// openStream sends a streamed completion request to an instance.
func (s *system) openStream(t *testing.T, instance int, prompt string) *http.Response {
	t.Helper()
	model := s.adapterVersions(1)[0].String()
	response, err := post(s.callerAddresses[instance], "/v1/completions", completionBody{model, prompt, streamTokenCount, true}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// workerAddress returns the address of a worker by its name, or "" if there is none.
func (s *system) workerAddress(name string) string {
	for i, address := range s.workerAddresses {
		if name == fmt.Sprintf("%s-%d", s.spec.EnginePool, i) {
			return address
		}
	}
	return ""
}

// setEngineFault sets the faults of an engine as query says; an empty query clears
// them.
func setEngineFault(t *testing.T, address, query string) {
	t.Helper()
	response, err := http.Get("http://" + address + "/fault?" + query)
	require.NoError(t, err)
	_ = response.Body.Close()
}

var streamFaults = []standin.StreamFaultKind{
	standin.CutStream, standin.EndStream, standin.RepeatEvent, standin.SkipEvent, standin.CrossEvent, standin.CrossAnswer,
}

// recoverableFaults are the faults that do not affect a resumed stream, since it
// starts after the faulty event.
var recoverableFaults = map[standin.StreamFaultKind]bool{standin.RepeatEvent: true, standin.CrossAnswer: true}

// TestBrokenStreamsAreResumedOrCut guards against broken streams that look
// complete to the caller. If one worker breaks a stream, another must continue it.
// If all workers break it, the caller must see that the response is truncated,
// unless the fault does not affect a resumed stream.
func TestBrokenStreamsAreResumedOrCut(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	model := s.adapterVersions(1)[0].String()
	for i, kind := range streamFaults {
		t.Run(string(kind), func(t *testing.T) {
			prompt, instance := fmt.Sprintf("label %d", i), i%len(s.callerAddresses)
			clean := s.openStream(t, instance, prompt)
			_, done, err := readEvents(clean.Body)
			require.True(t, done, err)
			address := s.workerAddress(clean.Header.Get(httpx.WorkerHeader))
			require.NotEmpty(t, address)
			setEngineFault(t, address, fmt.Sprintf("stream=%s&at=%d", kind, faultyEvent))
			text, done, err := readEvents(s.openStream(t, instance, prompt).Body)
			require.NoError(t, err)
			require.True(t, done)
			require.Equal(t, standin.Answer(model, prompt, streamTokenCount), text)

			for _, worker := range s.workerAddresses {
				setEngineFault(t, worker, fmt.Sprintf("stream=%s&at=%d", kind, faultyEvent))
			}
			broken := s.openStream(t, instance, prompt)
			require.Equal(t, http.StatusOK, broken.StatusCode)
			got, readErr := io.ReadAll(broken.Body)
			text, done, err = readEvents(strings.NewReader(string(got)))
			require.NoError(t, err)
			want := standin.Answer(model, prompt, streamTokenCount)
			require.True(t, strings.HasPrefix(want, text), text)
			if recoverableFaults[kind] {
				require.NoError(t, readErr)
				require.Equal(t, want, text)
			} else {
				require.ErrorIs(t, readErr, io.ErrUnexpectedEOF, "a truncated response must not end as if it were complete")
			}
			require.Equal(t, recoverableFaults[kind], done)
			for _, worker := range s.workerAddresses {
				setEngineFault(t, worker, "")
			}
		})
	}
}
