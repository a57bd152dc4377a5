package main

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// network carries the control calls between the instances. It can be cut into two sides:
// a call from one side to the other is held, as by a link that drops every packet.
type network struct {
	mu sync.Mutex
	// owners holds the name of the instance by control address.
	owners map[string]string
	// senders holds the instance that opened a connection, by the connection's address.
	senders map[string]string
	side    map[string]bool
	cut     chan struct{} // closed when the cut heals; nil without a cut
}

func newNetwork() *network {
	return &network{owners: make(map[string]string), senders: make(map[string]string)}
}

// serve forwards the calls to an instance from its control address to the address at which
// it listens.
func (n *network) serve(name, address, target string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.owners[address] = name
	n.mu.Unlock()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second}}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if !n.await(r.Context(), n.sender(r, body), name) {
			panic(http.ErrAbortHandler)
		}
		request, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+target+r.URL.RequestURI(), bytes.NewReader(body))
		request.Header = r.Header.Clone()
		response, err := client.Do(request)
		if err != nil {
			panic(http.ErrAbortHandler) // the instance is down: the connection ends
		}
		defer func() { _ = response.Body.Close() }()
		for key, values := range response.Header {
			w.Header()[key] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
	go func() {
		_ = (&http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second, ErrorLog: discardLog}).Serve(listener)
	}()
	return nil
}

// sender returns the instance that sent a call, or "" if that is unknown. A heartbeat
// begins with its sender's address, and a load names the request, whose id names the
// instance that received it; other calls are known by their connection.
func (n *network) sender(r *http.Request, body []byte) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	name := ""
	switch {
	case strings.HasSuffix(r.URL.Path, "/Beat"):
		name = n.owners[firstString(firstBytes(body))]
	case strings.HasSuffix(r.URL.Path, "/LoadAdapter"):
		name, _, _ = strings.Cut(firstString(body), "-")
	}
	if name == "" {
		return n.senders[r.RemoteAddr]
	}
	n.senders[r.RemoteAddr] = name
	return name
}

// firstBytes returns the first field of an encoded message if it has number 1 and is a
// message or a string.
func firstBytes(message []byte) []byte {
	if len(message) < 2 || message[0] != 0x0a {
		return nil
	}
	length, shift, at := 0, 0, 1
	for ; at < len(message); at++ {
		length |= int(message[at]&0x7f) << shift
		shift += 7
		if message[at] < 0x80 {
			at++
			break
		}
	}
	if at+length > len(message) {
		return nil
	}
	return message[at : at+length]
}

func firstString(message []byte) string { return string(firstBytes(message)) }

// await waits while the sender and the receiver are on different sides. It returns false if
// the sender gave up.
func (n *network) await(ctx context.Context, from, to string) bool {
	n.mu.Lock()
	healed := n.cut
	blocked := healed != nil && (from == "" || n.side[from] != n.side[to])
	n.mu.Unlock()
	if !blocked {
		return true
	}
	select {
	case <-healed:
		return true
	case <-ctx.Done():
		return false
	}
}

// split cuts the named instances off from all others, but not from each other.
func (n *network) split(names map[string]bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.side, n.cut = names, make(chan struct{})
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut != nil {
		close(n.cut)
		n.cut = nil
	}
}
