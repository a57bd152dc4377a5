package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Client calls endpoints. It never repeats a call by itself.
type Client struct {
	http        *httpx.Client
	headTimeout time.Duration
}

// NewClient returns a client.
func NewClient(config httpx.ClientConfig) *Client {
	return &Client{http: httpx.NewClient(config), headTimeout: config.ProgressTimeout}
}

// Do makes one attempt at the endpoint at address and returns when the head of
// the answer is there. Its error is a *call.Error.
func (c *Client) Do(ctx context.Context, address string, r *call.Request) (*call.Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + r.Path)
	request.Header.SetMethod(r.Method)
	request.Header.SetContentType(r.Content)
	setHeader(request, httpx.RequestID, r.ID)
	setHeader(request, httpx.IdempotencyKey, r.Key)
	setHeader(request, httpx.Traceparent, r.Trace)
	request.Header.Set(httpx.AttemptID, strconv.Itoa(r.Attempt))
	request.Header.Set(httpx.RankHeader, r.Rank.String())
	if r.Offset > 0 {
		request.Header.Set(httpx.LastEventID, strconv.Itoa(r.Offset-1))
	}
	request.SetBodyRaw(r.Body)

	response, err := c.http.Do(ctx, address, request, c.options(r))
	if err != nil {
		return nil, httpx.CallError("endpoint_failed", err)
	}
	return &call.Answer{
		Status:  response.Status,
		Content: string(response.Header.ContentType()),
		Worker:  r.Worker,
		Body:    response,
	}, nil
}

// options bounds the wait for the head. Only a stream begins before the work is
// done; an idempotent call keeps half of its time for another attempt, since its
// connection may have gone silent.
func (c *Client) options(r *call.Request) httpx.Options {
	options := httpx.Options{Fresh: !r.Idempotent || r.Attempt > 1}
	if r.Stream {
		options.HeadTimeout = c.headTimeout
	}
	if half := r.Remaining() / 2; r.Idempotent && (options.HeadTimeout == 0 || half < options.HeadTimeout) {
		options.HeadTimeout = half
	}
	return options
}

func setHeader(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

// loadOrder is the published body of the adapter calls.
type loadOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path,omitempty"`
}

// Load orders an engine to load an adapter.
func (c *Client) Load(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	order := loadOrder{Name: adapter.String(), Path: adapter.String()}
	return c.order(address, "/v1/load_lora_adapter", order, fence, timeout)
}

// Unload orders an engine to drop an adapter.
func (c *Client) Unload(address string, adapter table.AdapterVersion, fence uint64, timeout time.Duration) error {
	return c.order(address, "/v1/unload_lora_adapter", loadOrder{Name: adapter.String()}, fence, timeout)
}

func (c *Client) order(address, path string, order loadOrder, fence uint64, timeout time.Duration) error {
	body, err := json.Marshal(order)
	if err != nil {
		return oops.Wrap(err)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(httpx.Fence, strconv.FormatUint(fence, 10))
	request.SetBodyRaw(body)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	response, err := c.http.Do(ctx, address, request, httpx.Options{})
	if err != nil {
		return oops.Code("order_failed").With("address", address).Wrap(err)
	}
	defer func() { _ = response.Close() }()
	if status := response.Status; status != fasthttp.StatusOK {
		return oops.Code("order_refused").With("address", address, "status", status).Errorf("%s answered %d", path, status)
	}
	_, err = io.Copy(io.Discard, response)
	return oops.Wrap(err)
}
