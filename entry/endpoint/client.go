package endpoint

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

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
	options := httpx.Options{FreshConnection: !r.Idempotent || r.Attempt > 1}
	if r.Stream {
		options.ResponseHeaderTimeout = c.headTimeout
	}
	if half := r.Remaining() / 2; r.Idempotent && (options.ResponseHeaderTimeout == 0 || half < options.ResponseHeaderTimeout) {
		options.ResponseHeaderTimeout = half
	}
	return options
}

func setHeader(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}
