package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxConnsPerHost bounds the connections to one peer that are used for several calls.
const maxConnsPerHost = 4096

// maxIdleReuse is how long after its last response a connection is reused. An
// idle connection may be lost without notice: a longer time saves connection
// set-ups, but more calls must wait for a timeout.
const maxIdleReuse = time.Second

// maxHosts is the number of addresses kept before unused ones are removed.
const maxHosts = 1024

// ClientConfig holds a client's timeouts.
type ClientConfig struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// ProgressTimeout bounds each read of a response body.
	ProgressTimeout time.Duration
}

// Client makes single calls: it never retries by itself, its connections fail
// when the other side makes no progress, and a call ends when its context ends.
// It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, hosts: make(map[string]*fasthttp.HostClient)}
}

// SendError is the error of a call that got no valid response header.
type SendError struct {
	// Sent says that a byte of the request may have reached the other side.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Options are the options of one call.
type Options struct {
	// FreshConnection opens a connection that only this call uses, and tells the
	// other side so. An idle connection may have been lost without notice, and a
	// request that was written to it can't be retried if it is not idempotent.
	FreshConnection bool
	// ResponseHeaderTimeout bounds each read and write until the response header
	// was read, so an interim response restarts it. Zero leaves only the call's
	// deadline, for callees that send nothing while they work.
	ResponseHeaderTimeout time.Duration
}

// Do sends request to address and returns when the response header was read. If
// ctx ends before the body is closed, the connection is closed, which cancels
// the call at the other side. The error is a *SendError.
func (c *Client) Do(ctx context.Context, address string, request *fasthttp.Request, options Options) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &SendError{Err: err}
	}
	host := c.newHost(address)
	if options.FreshConnection {
		request.SetConnectionClose()
	} else {
		host = c.host(address)
	}
	conn, release, err := c.acquire(host, options)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	conn.deadline, _ = ctx.Deadline()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader := host.AcquireReader(conn)
	end := func(reuse bool) {
		notCancelled := stop()
		host.ReleaseReader(reader)
		release(reuse && notCancelled && !options.FreshConnection)
	}
	response, err := roundTrip(host, conn, reader, request)
	if err != nil {
		end(false)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	conn.timeout = c.config.ProgressTimeout
	return newResponse(response, end), nil
}

// acquire returns a connection that carried a response within maxIdleReuse, or
// a new one. release returns it to the pool or closes it.
func (c *Client) acquire(host *fasthttp.HostClient, options Options) (conn *progressConn, release func(reuse bool), err error) {
	for {
		cc, err := host.AcquireConn(c.config.ConnectTimeout, options.FreshConnection)
		if err != nil {
			return nil, nil, err
		}
		if used := cc.LastUseTime(); !used.IsZero() && time.Since(used) > maxIdleReuse {
			host.CloseConn(cc)
			continue
		}
		release = func(reuse bool) {
			if reuse {
				host.ReleaseConn(cc)
			} else {
				host.CloseConn(cc)
			}
		}
		return &progressConn{Conn: cc.Conn(), timeout: options.ResponseHeaderTimeout}, release, nil
	}
}

// roundTrip writes the request and reads the response header.
func roundTrip(host *fasthttp.HostClient, conn net.Conn, reader *bufio.Reader, request *fasthttp.Request) (*fasthttp.Response, error) {
	writer := host.AcquireWriter(conn)
	err := request.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	host.ReleaseWriter(writer)
	if err != nil {
		return nil, err
	}
	response := fasthttp.AcquireResponse()
	if err := readResponseHeader(response, reader, request.Header.IsHead()); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}

// readResponseHeader skips the interim responses that a callee sends while it
// works, reads the header of the final response and sets up its body for
// streaming.
func readResponseHeader(response *fasthttp.Response, reader *bufio.Reader, isHeadRequest bool) error {
	for {
		if err := ReadHeader(&response.Header, reader); err != nil {
			return err
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK {
			break
		}
	}
	status := response.StatusCode()
	response.StreamBody = true
	if isHeadRequest || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		response.SkipBody = true
		return nil
	}
	if response.Header.ContentLength() == chunked {
		response.SetBodyStream(newChunkedBody(reader), chunked)
		return nil
	}
	return response.ReadBody(reader, 0)
}

// host returns the connection pool of an address.
func (c *Client) host(address string) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	host, found := c.hosts[address]
	if found {
		return host
	}
	if len(c.hosts) >= maxHosts {
		c.removeUnusedHosts()
	}
	host = c.newHost(address)
	c.hosts[address] = host
	return host
}

// receiveBuffer is the size of the kernel's buffer for responses that have not been read,
// which it doubles. By default it grows to megabytes while a slow caller holds up reading.
const receiveBuffer = 64 << 10

// newHost returns an empty connection pool for an address.
func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            maxConnsPerHost,
		MaxIdleConnDuration: maxIdleReuse,
		Dial: func(address string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", address, c.config.ConnectTimeout)
			if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
				_ = tcp.SetReadBuffer(receiveBuffer) // a failure leaves the kernel's own size
			}
			return conn, err
		},
	}
}

// removeUnusedHosts removes the addresses without a connection: endpoints and
// peers are replaced all the time. c.mu must be held.
func (c *Client) removeUnusedHosts() {
	for address, host := range c.hosts {
		if host.ConnsCount() == 0 {
			delete(c.hosts, address)
		}
	}
}

// progressConn bounds each read and write by a timeout, and all of them by the
// deadline of the call, so that a stream may last long but not stall.
type progressConn struct {
	net.Conn
	timeout  time.Duration // 0 leaves only the deadline
	deadline time.Time
}

// nextDeadline returns the earlier of the call's deadline and the end of a
// timeout that starts now.
func (c *progressConn) nextDeadline() time.Time {
	if c.timeout == 0 {
		return c.deadline
	}
	timeoutAt := time.Now().Add(c.timeout)
	if !c.deadline.IsZero() && c.deadline.Before(timeoutAt) {
		return c.deadline
	}
	return timeoutAt
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.nextDeadline()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
