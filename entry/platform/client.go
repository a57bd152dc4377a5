package platform

import (
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Keys that the platform publishes.
const (
	ManifestKey  = "bulrushwick/manifest"
	InstancesKey = "bulrushwick/instances"
	EndpointsKey = "bulrushwick/endpoints"
)

// watchMargin is added to the wait of a blocking query to give its timeout, after which
// the connection is taken for lost.
const watchMargin = time.Second

// Client reads keys of the configuration service. It is safe for concurrent use.
type Client struct {
	address string
	http    *fasthttp.Client
	calls   atomic.Uint64
}

// NewClient returns a client of the platform at address.
func NewClient(address string) *Client {
	return &Client{address: address, http: &fasthttp.Client{
		DialTimeout:               httpx.DialChecked,
		NoDefaultUserAgentHeader:  true,
		MaxResponseBodySize:       table.MaxChunkBytes,
		MaxIdemponentCallAttempts: 1,
	}}
}

// Calls returns the number of reads sent so far; a blocking query counts once.
func (c *Client) Calls() uint64 { return c.calls.Load() }

// Reconnect closes the idle connections, so that the next call opens a new one: any of
// them may have been lost silently.
func (c *Client) Reconnect() { c.http.CloseIdleConnections() }

// Value is one published value, and the index to pass to Get to wait for the next.
type Value struct {
	Data  []byte
	Index uint64
}

// Get reads a key. With an index above 0 it is a blocking query: it returns when the
// index of the value is above it, or after wait with the current value.
func (c *Client) Get(key string, index uint64, wait time.Duration) (Value, error) {
	return c.GetWithin(key, index, wait, wait+watchMargin)
}

// GetWithin is Get with a timeout, after which it fails and closes the connection, which
// is taken for lost.
func (c *Client) GetWithin(key string, index uint64, wait, timeout time.Duration) (Value, error) {
	c.calls.Add(1)
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s/v1/kv/%s?raw&index=%d&wait=%dms", c.address, key, index, wait.Milliseconds()))
	if err := c.http.DoTimeout(request, response, timeout); err != nil {
		return Value{}, oops.Code("platform_unreachable").With("key", key).Wrap(err)
	}
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return Value{}, oops.Code("platform_refused").With("key", key, "status", status).Errorf("platform responded with status %d", status)
	}
	valueIndex, err := strconv.ParseUint(string(response.Header.Peek("X-Consul-Index")), 10, 64)
	if err != nil {
		return Value{}, oops.Code("platform_malformed").With("key", key).Wrap(err)
	}
	return Value{Data: append([]byte(nil), response.Body()...), Index: valueIndex}, nil
}
