package peer

import (
	"net/http"
	"time"

	"github.com/klauspost/compress/gzhttp"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Bounds on what a peer, or what answers at its address, may send.
const (
	maxHeaderBytes = 64 << 10
	// maxMessageBytes bounds a call and a response: the largest value that the platform
	// stores, 1 MiB, or the records of all workers of a data centre.
	maxMessageBytes = 8 << 20
)

// minCompressBytes is the size from which a response is compressed, in bytes.
const minCompressBytes = 512

// compress wraps a handler so that its responses are compressed for clients that
// accept it, as those of newControlClient do.
var compress = newCompress()

func newCompress() func(http.Handler) http.HandlerFunc {
	wrapper, err := gzhttp.NewWrapper(gzhttp.MinSize(minCompressBytes))
	if err != nil {
		panic(err) // the options are constant, so an error shows at every start
	}
	return wrapper
}

// NewControlServer returns the server of the control listener. It speaks HTTP/2,
// whose header compression makes repeated headers small, and HTTP/1 for operators'
// tools. Large responses, which are tables, are compressed. Calls above maxMessageBytes
// fail.
func NewControlServer(handler http.Handler, headerTimeout time.Duration) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           http.MaxBytesHandler(compress(handler), maxMessageBytes),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         protocols,
	}
}

// newControlClient returns the HTTP client for control calls. An HTTP/2 ping detects
// a connection on which nothing arrives any more, and the connection is replaced.
func newControlClient(heartbeatEvery time.Duration) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Timeout: 2 * heartbeatEvery,
		Transport: bounded(&http.Transport{
			Protocols: protocols,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: 2 * heartbeatEvery,
				PingTimeout:     heartbeatEvery,
			},
		}),
	}
}

// bounded applies the bounds on responses to a transport, and rejects those that no peer
// sends.
func bounded(t *http.Transport) http.RoundTripper {
	t.MaxResponseHeaderBytes = maxHeaderBytes
	return httpx.BoundedTransport{Next: httpx.StrictTransport{Next: t}, MaxBytes: maxMessageBytes}
}

// newTablesClient returns the HTTP client for table calls. These go to many peers
// and rarely to the same one, so each call opens its own connection: no idle
// connection costs pings, and no call meets one that has broken unnoticed.
func newTablesClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: bounded(&http.Transport{DisableKeepAlives: true})}
}
