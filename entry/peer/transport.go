package peer

import (
	"net/http"
	"time"
)

// NewControlServer returns the server of the control listener. HTTP/2 carries
// repeated headers in few bytes; HTTP/1 stays for operators' tools.
func NewControlServer(handler http.Handler, headerTimeout time.Duration) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, Protocols: protocols}
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
