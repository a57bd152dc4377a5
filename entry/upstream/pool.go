// Package upstream sends HTTP/1.1 requests to workers over pooled connections, one
// request at a time on each. The error of a failed request states whether any byte
// of it may have reached the worker.
package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// Config limits the connections.
type Config struct {
	// ConnectTimeout limits a connection attempt.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the response doesn't
	// state it. A longer one saves handshakes; with a shorter one, fewer requests
	// are sent on connections that the worker has just closed.
	IdleTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a response header.
	MaxHeaderBytes int
	// MaxIdle is the maximum number of idle connections to one worker.
	MaxIdle int
}

// DefaultConfig returns limits for workers in the same or a neighbouring region.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout: 700 * time.Millisecond, // ten round trips between regions plus a handshake
		IdleTimeout:    4 * time.Second,
		MaxHeaderBytes: 16 << 10,
		MaxIdle:        32,
	}
}

// Pool keeps idle connections by the address of the worker. It is safe for
// concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
	opened uint64
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// SendError is the error of a request that got no complete response.
type SendError struct {
	// Sent is true if any byte of the request may have reached the worker.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "no response: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// NotSent reports whether err proves that no byte of the request was sent.
func NotSent(err error) bool {
	var sendErr *SendError
	return errors.As(err, &sendErr) && !sendErr.Sent
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.net.Close() // no request is in progress on it
	}
}

// takeIdle removes and returns an idle connection that can be reused for a request
// with an ID, or nil if there is none. It closes those that can't be reused at all.
func (p *Pool) takeIdle(address, id string, now time.Time) *conn {
	for {
		c := p.popIdle(address, id)
		if c == nil {
			return nil
		}
		if now.Before(c.expiresAt) && isHealthy(c.net) {
			return c
		}
		_ = c.net.Close() // no request is in progress on it
	}
}

// popIdle removes and returns the idle connection that was used last and did not carry
// the ID, or nil.
func (p *Pool) popIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	for i, c := range slices.Backward(conns) {
		if !c.hasCarried(id) {
			p.idle[address] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// receiveBuffer is the size of the kernel's buffer for responses that have not been read,
// which it doubles. By default it grows to megabytes while a slow caller holds up reading.
const receiveBuffer = 64 << 10

// dial opens a connection. Its error means that no byte was sent.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.config.ConnectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(receiveBuffer) // a failure leaves the kernel's own size
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(address, raw, p.config.MaxHeaderBytes), nil
}

// CanConnect reports whether a connection to address can be opened, and keeps it for
// the next request.
func (p *Pool) CanConnect(ctx context.Context, address string) bool {
	c, err := p.dial(ctx, address)
	if err != nil {
		return false
	}
	p.putIdle(c, 0)
	return true
}

// putIdle adds a connection whose last response is complete to the pool, or closes
// it if the pool has enough for its address. An idleTimeout of 0 or less means
// Config.IdleTimeout.
func (p *Pool) putIdle(c *conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = p.config.IdleTimeout
	}
	c.expiresAt = time.Now().Add(idleTimeout)
	p.mu.Lock()
	if len(p.idle[c.address]) < p.config.MaxIdle {
		p.idle[c.address] = append(p.idle[c.address], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.net.Close() // no request is in progress on it
}

// CloseExpired closes the idle connections that have expired by now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.expiresAt) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.net.Close() // no request is in progress on it
	}
}
