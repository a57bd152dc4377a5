package endpoint

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Client calls endpoints. It never retries a call by itself, and uses a connection for
// one call only: an endpoint's responses do not name their requests, so on a connection
// that is used again the copy of an earlier response would be taken for the response to
// the next request. It is safe for concurrent use.
type Client struct {
	http        *httpx.Client
	headTimeout time.Duration
}

// NewClient returns a client. config.ProgressTimeout also bounds the wait for the head
// of a streamed response.
func NewClient(config httpx.ClientConfig) *Client {
	return &Client{http: httpx.NewClient(config), headTimeout: config.ProgressTimeout}
}

// Do sends r once to the endpoint at address and returns when the head of the response
// has arrived. Its error is a *call.Error.
func (c *Client) Do(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + r.Path)
	request.Header.SetMethod(r.Method)
	request.Header.SetContentType(r.ContentType)
	setNonEmptyHeader(request, httpx.RequestID, r.ID)
	setNonEmptyHeader(request, httpx.IdempotencyKey, r.Key)
	setNonEmptyHeader(request, httpx.Traceparent, r.Trace)
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
	return &call.Response{
		Status:      response.Status,
		ContentType: string(response.Header.ContentType()),
		Worker:      r.Worker,
		Body:        response,
	}, nil
}

// options bounds the wait for the head of the response. The progress timeout applies
// only to streams, since other responses begin when the work is done. An idempotent
// call keeps half of its remaining time for another attempt, since its connection
// may have been lost silently.
func (c *Client) options(r *call.Request) httpx.Options {
	options := httpx.Options{FreshConnection: true}
	if r.Stream {
		options.ResponseHeaderTimeout = c.headTimeout
	}
	if half := r.Remaining() / 2; r.Idempotent && (options.ResponseHeaderTimeout == 0 || half < options.ResponseHeaderTimeout) {
		options.ResponseHeaderTimeout = half
	}
	return options
}

// setNonEmptyHeader sets a header unless the value is empty.
func setNonEmptyHeader(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}
