package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// host is the host name of all routes.
const host = "h.example"

var requestCount atomic.Uint64

// newID returns an id for a request.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2000000+requestCount.Add(1)) }

// attempt is one request and what its client has got.
type attempt struct {
	id, path string
	// sentAt is when the last byte of the request was sent, endedAt when the answer or the
	// connection ended.
	sentAt, endedAt time.Time
	// status is that of the answer; 0 without one. complete is set after the whole answer.
	status   int
	complete bool
	signed   bool
	// kept is set if the connection had carried another request before.
	kept bool
	body string
	err  error
}

func (a *attempt) String() string {
	switch {
	case a.complete:
		return fmt.Sprintf("%d, complete, %d bytes", a.status, len(a.body))
	case a.status != 0:
		return fmt.Sprintf("%d, cut after %d bytes: %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("no answer: %v", a.err)
}

// client is a client's kept connection to an instance.
type client struct {
	record *record
	conn   net.Conn
	reader *bufio.Reader
	// closes is set once an answer said that the connection will be closed.
	closes bool
	// sent is the number of requests sent.
	sent int
}

func dial(r *record, address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{record: r, conn: conn, reader: bufio.NewReader(conn)}, nil
}

// send sends a request and returns when its last byte is written.
func (c *client) send(method, path string, deadline time.Duration, body string) (*attempt, error) {
	return c.sendWith(method, path, deadline, "", body)
}

// sendWith sends a request with more header lines.
func (c *client) sendWith(method, path string, deadline time.Duration, header, body string) (*attempt, error) {
	a := &attempt{id: newID(), path: path, kept: c.sent > 0}
	c.sent++
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, a.id, deadline.Milliseconds()) + header
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.record.printf("client: sends %s %s %s to %s", a.id, method, path, c.conn.RemoteAddr())
	_, err := io.WriteString(c.conn, text+"\r\n"+body)
	a.sentAt = time.Now()
	_ = c.conn.SetReadDeadline(a.sentAt.Add(deadline))
	return a, err
}

// receive reads the answer. wrap, if it isn't nil, wraps the body, for instance to read
// it slowly.
func (c *client) receive(a *attempt, wrap func(io.Reader) io.Reader) {
	defer func() {
		a.endedAt = time.Now()
		c.record.printf("client: %s gets %v", a.id, a)
	}()
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return
	}
	a.status, a.signed = response.StatusCode, response.Header.Get("X-Server-Signature") != ""
	c.closes = response.Close
	var source io.Reader = response.Body
	if wrap != nil {
		source = wrap(source)
	}
	body := &strings.Builder{}
	_, a.err = io.Copy(body, source)
	a.body, a.complete = body.String(), a.err == nil
}

func (c *client) close() { _ = c.conn.Close() }
