package httpx

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startResettingServer writes a part of a response on each new connection and resets it,
// before or while the request is written.
func startResettingServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// resetTries is the number of requests of a test whose connections are reset: which side
// of a connection gets the reset is a matter of chance.
const resetTries = 100

// resetUploads are requests that are written at once and over some time.
var resetUploads = map[string]string{"short": "x", "long": strings.Repeat("x", 8<<20)}

// TestResetDuringARequestEndsNoResponseOfAPeer guards against a truncated response of a
// peer that looks complete.
func TestResetDuringARequestEndsNoResponseOfAPeer(t *testing.T) {
	address := startResettingServer(t)
	client := &http.Client{Timeout: 5 * time.Second, Transport: StrictTransport{Next: &http.Transport{}}}
	for name, body := range resetUploads {
		for range resetTries {
			response, err := client.Post("http://"+address, "text/plain", strings.NewReader(body))
			if err != nil {
				continue
			}
			got, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.Error(t, err, "%s request: %q looks complete", name, got)
		}
	}
}

// TestResetDuringARequestEndsNoResponse covers the clients that read a response only after
// they have written the request.
func TestResetDuringARequestEndsNoResponse(t *testing.T) {
	address := startResettingServer(t)
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	checked := &fasthttp.Client{DialTimeout: DialChecked, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	client := NewClient(ClientConfig{ConnectTimeout: 5 * time.Second, ProgressTimeout: 5 * time.Second})
	for name, body := range resetUploads {
		request.SetBodyString(body)
		for range resetTries {
			response := fasthttp.AcquireResponse()
			require.Error(t, checked.DoTimeout(request, response, 5*time.Second), "%s request: %q looks complete", name, response.Body())
			fasthttp.ReleaseResponse(response)

			streamed, err := client.Do(t.Context(), address, request, Options{FreshConnection: true})
			if err != nil {
				continue
			}
			got, err := io.ReadAll(streamed)
			_ = streamed.Close() // never fails
			require.Error(t, err, "%s request: %q looks complete", name, got)
		}
	}
}

// TestStrictTransportPassesFramedResponses covers the framings that net/http's server uses.
func TestStrictTransportPassesFramedResponses(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/length":
			_, _ = io.WriteString(w, "whole")
		case "/chunks":
			_, _ = io.WriteString(w, "who")
			w.(http.Flusher).Flush()
			_, _ = io.WriteString(w, "le")
		case "/none":
			w.WriteHeader(http.StatusNoContent)
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Timeout: 5 * time.Second, Transport: StrictTransport{Next: &http.Transport{}}}
	for path, want := range map[string]string{"/length": "whole", "/chunks": "whole", "/none": "", "/empty": ""} {
		for _, method := range []string{http.MethodGet, http.MethodHead} {
			request, err := http.NewRequestWithContext(t.Context(), method, "http://"+listener.Addr().String()+path, nil)
			require.NoError(t, err)
			response, err := client.Do(request)
			require.NoError(t, err, "%s %s", method, path)
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			require.NoError(t, err)
			if method == http.MethodGet {
				require.Equal(t, want, string(body), path)
			}
		}
	}
}

// TestInvalidFieldNameIsNoResponseOfAPeer guards against a response of a peer that is used
// though a field name has a space or a control byte.
func TestInvalidFieldNameIsNoResponseOfAPeer(t *testing.T) {
	for line, valid := range map[string]bool{
		"X-Odd: 1": true, "x:": true, "!#$%&'*+-.^_`|~9: a:b c": true, "X-Odd: 1\r\n folded : 1": true,
		"X Odd: 1": false, "X-Odd : 1": false, "X-Odd\t: 1": false, "X-\x01Odd: 1": false, ": 1": false, "X-Odd": false, "X-\xe4: 1": false,
		"Content-Length : 2": false, "Content Length: 2": false, "Transfer-Encoding : chunked": false, "Connection : close": false,
	} {
		for place, text := range responsesWithField(line) {
			address := startRawServer(t, text)
			client := &http.Client{Timeout: 5 * time.Second, Transport: StrictTransport{Next: &http.Transport{DisableKeepAlives: true}}}
			response, err := client.Get("http://" + address)
			body := []byte(nil)
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if valid {
				require.NoError(t, err, "%q, %s", line, place)
				require.Equal(t, "whole", string(body))
			} else {
				require.Error(t, err, "%q, %s: %q looks complete", line, place, body)
			}
		}
	}
}
