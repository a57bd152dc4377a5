package peer

import (
	"net/http"
	"time"

	"github.com/klauspost/compress/gzhttp"
)

// compressFrom is the size of an answer from which it is compressed, in bytes.
const compressFrom = 512

// compressed compresses the answers of a handler for clients that take it, as
// newControlClient's do.
var compressed = newCompressed()

func newCompressed() func(http.Handler) http.HandlerFunc {
	wrapper, err := gzhttp.NewWrapper(gzhttp.MinSize(compressFrom))
	if err != nil {
		panic(err) // a constant size is right or wrong at every start
	}
	return wrapper
}

// NewControlServer returns the server of the control listener. HTTP/2 carries
// repeated headers in few bytes; HTTP/1 stays for operators' tools. Large
// answers, which are tables, are compressed.
func NewControlServer(handler http.Handler, headerTimeout time.Duration) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: compressed(handler), ReadHeaderTimeout: headerTimeout, Protocols: protocols}
}

// newControlClient returns the client for control calls. A connection that has
// gone silent is found by a ping and replaced.
func newControlClient(heartbeatEvery time.Duration) *http.Client {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{
		Timeout: 2 * heartbeatEvery,
		Transport: &http.Transport{
			Protocols: protocols,
			HTTP2: &http.HTTP2Config{
				SendPingTimeout: 2 * heartbeatEvery,
				PingTimeout:     heartbeatEvery,
			},
		},
	}
}

// newTablesClient returns the client for calls about tables. They go to many
// peers, to each one seldom, so every call takes a connection of its own: none
// is kept alive by pings, and none can have gone silent before.
func newTablesClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}
