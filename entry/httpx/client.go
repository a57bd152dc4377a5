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

// maxIdleReuse is how long after its last answer a connection is still taken for
// a call. A connection may go silent without a sign; a longer time saves more
// connection set-ups and risks more calls that must wait for a timeout.
const maxIdleReuse = time.Second

// maxHosts is the number of addresses kept before unused ones are dropped.
const maxHosts = 1024

// ClientConfig bounds a client's waits.
type ClientConfig struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// ProgressTimeout bounds each read of an answer's body.
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

// Options tune one call.
type Options struct {
	// Fresh opens a connection for this call alone. An idle connection may have
	// been lost on the way without a sign, and a request that is written to it
	// can't be sent again when it is not idempotent.
	Fresh bool
	// HeadTimeout bounds the silence before the head of the answer. Zero leaves
	// only the call's deadline, for callees that say nothing while they work.
	HeadTimeout time.Duration
}

// Do sends request to address and returns when the head of the answer is there.
// The end of ctx closes the connection, which cancels the call at the other
// side, until the body is closed. The error is a *SendError.
func (c *Client) Do(ctx context.Context, address string, request *fasthttp.Request, options Options) (*Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &SendError{Err: err}
	}
	host := c.newHost(address)
	if !options.Fresh {
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
		alive := stop()
		host.ReleaseReader(reader)
		release(reuse && alive && !options.Fresh)
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

// acquire takes a connection that has carried an answer lately, or a new one.
// release gives it back or closes it.
func (c *Client) acquire(host *fasthttp.HostClient, options Options) (conn *progressConn, release func(reuse bool), err error) {
	for {
		cc, err := host.AcquireConn(c.config.ConnectTimeout, options.Fresh)
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
		return &progressConn{Conn: cc.Conn(), timeout: options.HeadTimeout}, release, nil
	}
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
	if err := readHead(response, reader, request.Header.IsHead()); err != nil {
		fasthttp.ReleaseResponse(response)
		return nil, err
	}
	return response, nil
}

// readHead reads past the interim responses that a callee sends while it works.
func readHead(response *fasthttp.Response, reader *bufio.Reader, isHead bool) error {
	for {
		if err := response.Header.Read(reader); err != nil {
			return err
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK {
			break
		}
	}
	status := response.StatusCode()
	response.StreamBody = true
	if isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		response.SkipBody = true
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
		MaxIdleConnDuration: maxIdleReuse,
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
	timeout  time.Duration // 0 leaves only the deadline
	deadline time.Time
}

// next returns the earlier of the call's deadline and a progress timeout from now.
func (c *progressConn) next() time.Time {
	if c.timeout == 0 {
		return c.deadline
	}
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
