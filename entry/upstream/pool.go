// Package upstream sends requests to workers over kept connections, one request
// at a time on each, and tells exactly what is known of a request that failed.
package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Config bounds the connections.
type Config struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// IdleLimit is how long an unused connection is kept where the worker does
	// not say. Longer saves handshakes; shorter meets fewer connections that the
	// worker has just closed.
	IdleLimit time.Duration
	// HeaderBytes bounds an answer's header.
	HeaderBytes int
	// MaxIdle bounds the unused connections to one worker.
	MaxIdle int
}

// DefaultConfig returns bounds for workers in the same or a neighbouring region.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout: 700 * time.Millisecond, // ten round trips between regions and a handshake
		IdleLimit:      4 * time.Second,
		HeaderBytes:    16 << 10,
		MaxIdle:        32,
	}
}

// Pool keeps connections by address. It is safe for concurrent use.
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

// SendError is a request without an answer.
type SendError struct {
	// Sent is true where a byte of the request may have reached the worker.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "no answer: " + e.Cause.Error()
	}
	return "not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// NotSent tells whether err proves that no byte of the request left.
func NotSent(err error) bool {
	var failed *SendError
	return errors.As(err, &failed) && !failed.Sent
}

// Opened counts the connections that were opened since the start.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Forget closes the unused connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.net.Close() // nothing is owed on it
	}
}

// take returns an unused connection that has neither data nor an end waiting.
func (p *Pool) take(address string, now time.Time) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.goodUntil) && quiet(c.net) {
			return c
		}
		_ = c.net.Close() // nothing is owed on it
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.config.ConnectTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return newConn(address, raw, p.config.HeaderBytes), nil
}

// keep returns a connection whose last answer is complete.
func (p *Pool) keep(c *conn, limit time.Duration) {
	if limit <= 0 {
		limit = p.config.IdleLimit
	}
	c.goodUntil = time.Now().Add(limit)
	p.mu.Lock()
	if len(p.idle[c.address]) < p.config.MaxIdle {
		p.idle[c.address] = append(p.idle[c.address], c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	_ = c.net.Close() // nothing is owed on it
}

// Trim closes the connections that were unused for too long.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Before(c.goodUntil) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.net.Close() // nothing is owed on it
	}
}
