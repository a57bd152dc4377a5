package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/standin"
)

// longStreamTokens is the length of a stream that is still in progress when the
// signal arrives.
const longStreamTokens = 200

// TestPlannedStopCutsNoStream guards against streams that are truncated when an
// instance is stopped by SIGTERM. All instances but the first are stopped while
// each relays a stream.
func TestPlannedStopCutsNoStream(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 2)
	adapter := s.adapterVersions(1)[0]
	responses := make([]*http.Response, len(s.callerAddresses))
	for i, address := range s.callerAddresses {
		body := completionBody{adapter.String(), fmt.Sprintf("label %d", i), longStreamTokens, true}
		response, err := post(address, "/v1/completions", body, map[string]string{httpx.RankHeader: table.Normal.String()})
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		require.NoError(t, checkServed(response, adapter.String()))
		responses[i] = response
	}
	for _, instance := range s.instances[1:] {
		instance.signal(syscall.SIGTERM)
	}
	for i, response := range responses {
		text, done, err := readEvents(response.Body)
		require.NoError(t, err)
		require.True(t, done, "stream %d ended without its final marker", i)
		require.Equal(t, standin.Answer(adapter.String(), fmt.Sprintf("label %d", i), longStreamTokens), text)
	}
	for _, instance := range s.instances[1:] {
		instance.await(t, "stopped")
	}
}

// TestLateRequestsOfAPlannedStopAreRefused guards against requests that arrive while an
// instance stops, and are accepted and cut off, or get no answer. Each is half sent before
// the signal, and its rest follows while a stream keeps the process from ending.
func TestLateRequestsOfAPlannedStopAreRefused(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	s.awaitKeyedCalls(t)
	adapter := s.adapterVersions(1)[0]
	stream, err := post(s.callerAddresses[0], "/v1/completions", completionBody{adapter.String(), "label", longStreamTokens, true}, nil)
	require.NoError(t, err)
	defer func() { _ = stream.Body.Close() }()
	require.NoError(t, checkServed(stream, adapter.String()))
	texts := s.callerRequests(startTimeout)
	conns := make([]net.Conn, len(texts))
	for i, text := range texts {
		conns[i], err = net.Dial("tcp", s.callerAddresses[0])
		require.NoError(t, err)
		defer func() { _ = conns[i].Close() }()
		_, err = io.WriteString(conns[i], text[:len(text)/2])
		require.NoError(t, err)
	}
	s.instances[0].signal(syscall.SIGTERM)
	s.instances[0].await(t, "leaving")
	for i, text := range texts {
		_, err = io.WriteString(conns[i], text[len(text)/2:])
		require.NoError(t, err)
		require.NoError(t, conns[i].SetReadDeadline(time.Now().Add(startTimeout)))
		response, err := http.ReadResponse(bufio.NewReader(conns[i]), nil)
		require.NoError(t, err, text)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err, text)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, text)
		require.Equal(t, "not-run", response.Header.Get(httpx.Outcome), text)
	}
	_, done, err := readEvents(stream.Body)
	require.NoError(t, err)
	require.True(t, done, "the stream ended without its final marker")
	s.instances[0].await(t, "stopped")
}

// TestNoSignalCutsAnInstance guards against signals that end a process while it runs or
// during its graceful stop, and cut a stream: SIGHUP has no meaning for `bulrushwick
// serve`, and a second SIGTERM does not change a stop.
func TestNoSignalCutsAnInstance(t *testing.T) {
	s := startSystem(t, deployment.Silttolge(), 1)
	adapter := s.adapterVersions(1)[0]
	instance := s.instances[0]
	stream, err := post(s.callerAddresses[0], "/v1/completions", completionBody{adapter.String(), "label", longStreamTokens, true}, nil)
	require.NoError(t, err)
	defer func() { _ = stream.Body.Close() }()
	require.NoError(t, checkServed(stream, adapter.String()))
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGUSR2, syscall.SIGHUP} {
		instance.signal(signal)
	}
	instance.await(t, "not_reloaded")
	instance.signal(syscall.SIGTERM)
	instance.await(t, "leaving")
	go func() {
		for ticker := time.NewTicker(10 * time.Millisecond); ; {
			select {
			case <-instance.exited:
				return
			case <-ticker.C:
				instance.signal(syscall.SIGHUP)
				instance.signal(syscall.SIGTERM)
			}
		}
	}()
	text, done, err := readEvents(stream.Body)
	require.NoError(t, err)
	require.True(t, done, "the stream ended without its final marker")
	require.Equal(t, standin.Answer(adapter.String(), "label", longStreamTokens), text)
	instance.await(t, "stopped")
	<-instance.exited
	require.Zero(t, instance.command.ProcessState.ExitCode())
}
