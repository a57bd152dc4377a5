package httpx

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// maxConnsPerHost bounds the connections to one peer or endpoint.
const maxConnsPerHost = 4096

// idleConnTimeout is how long an unused connection is kept.
const idleConnTimeout = 5 * time.Second

// maxHosts is the number of addresses kept before unused ones are dropped.
const maxHosts = 1024

// ClientConfig bounds a client's waits.
type ClientConfig struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// ProgressTimeout bounds each read and write.
	ProgressTimeout time.Duration
}

// Client makes single calls: it never repeats one by itself, its connections
// fail when the other side makes no progress, and a call ends when its context
// does. It is safe for concurrent use.
type Client struct {
	config ClientConfig

	mu    sync.Mutex
	hosts map[string]*fasthttp.HostClient
}

// NewClient returns a client without connections.
func NewClient(config ClientConfig) *Client {
	return &Client{config: config, hosts: make(map[string]*fasthttp.HostClient)}
}

// SendError is a call without a usable answer head.
type SendError struct {
	// Sent says that a byte of the request may have reached the other side.
	Sent bool
	Err  error
}

// Error implements error.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Do sends request to address and returns when the head of the answer is there.
// The end of ctx closes the connection, which cancels the call at the other
// side, until the body is closed. The error is a *SendError.
func (c *Client) Do(ctx context.Context, address string, request *fasthttp.Request) (*Response, error) {
	return do(ctx, c.config, c.host(address), request, true)
}

// DoFresh is Do over a connection of its own. An idle connection may have been
// lost on the way without a sign, and a request that is written to it can't be
// sent again when it is not idempotent.
func (c *Client) DoFresh(ctx context.Context, address string, request *fasthttp.Request) (*Response, error) {
	return do(ctx, c.config, c.newHost(address), request, false)
}

func do(ctx context.Context, config ClientConfig, host *fasthttp.HostClient, request *fasthttp.Request, keep bool) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &SendError{Err: err}
	}
	cc, err := host.AcquireConn(config.ConnectTimeout, !keep)
	if err != nil {
		return nil, &SendError{Err: err}
	}
	conn := &progressConn{Conn: cc.Conn(), timeout: config.ProgressTimeout}
	conn.deadline, _ = ctx.Deadline()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reader := host.AcquireReader(conn)
	release := func(reuse bool) {
		if !stop() || !keep {
			reuse = false
		}
		host.ReleaseReader(reader)
		if reuse {
			host.ReleaseConn(cc)
		} else {
			host.CloseConn(cc)
		}
	}
	response, err := roundTrip(host, conn, reader, request)
	if err != nil {
		release(false)
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &SendError{Sent: true, Err: err}
	}
	return newResponse(response, release), nil
}

// roundTrip writes the request and reads the head of the answer.
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
	response.StreamBody = true
	response.SkipBody = request.Header.IsHead()
	if err := response.ReadLimitBody(reader, 0); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
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
		c.dropUnused()
	}
	host = c.newHost(address)
	c.hosts[address] = host
	return host
}

// newHost returns an empty connection pool for an address.
func (c *Client) newHost(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                address,
		MaxConns:            maxConnsPerHost,
		MaxIdleConnDuration: idleConnTimeout,
		Dial: func(address string) (net.Conn, error) {
			return net.DialTimeout("tcp", address, c.config.ConnectTimeout)
		},
	}
}

// dropUnused forgets the addresses without a connection; endpoints and peers
// are replaced all the time.
func (c *Client) dropUnused() {
	for address, host := range c.hosts {
		if host.ConnsCount() == 0 {
			delete(c.hosts, address)
		}
	}
}

// progressConn bounds each read and write by the progress timeout, within the
// deadline of the whole call, so that a stream may last but not stall.
type progressConn struct {
	net.Conn
	timeout  time.Duration
	deadline time.Time
}

// next returns the earlier of the call's deadline and a progress timeout from now.
func (c *progressConn) next() time.Time {
	progress := time.Now().Add(c.timeout)
	if !c.deadline.IsZero() && c.deadline.Before(progress) {
		return c.deadline
	}
	return progress
}

// Read implements net.Conn.
func (c *progressConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.next()); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *progressConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(c.next()); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
