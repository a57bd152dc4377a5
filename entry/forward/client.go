package forward

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/telemetry"
)

// Paths of forwarded requests on the peer listener.
const (
	// Path is for attempts on workers that the receiver owns.
	Path = "/forward"
	// KeyedPath is for requests whose idempotency keys the receiver owns.
	KeyedPath = "/forward/keyed"
)

// maxProblemBytes is the maximum number of bytes read of a peer's problem body.
const maxProblemBytes = 64 << 10

// Client forwards requests to other instances. It is safe for concurrent use.
type Client struct {
	http      *httpx.Client
	telemetry *telemetry.Telemetry
}

// NewClient returns a client.
func NewClient(config httpx.ClientConfig) *Client {
	return &Client{http: httpx.NewClient(config)}
}

// Observe sets the telemetry that traces forwarded requests. It must be called
// before the first request.
func (c *Client) Observe(t *telemetry.Telemetry) { c.telemetry = t }

// Do forwards one attempt to the instance at address. Its error is a
// *call.Error.
func (c *Client) Do(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	return c.doTraced(ctx, address, Path, r)
}

// DoKeyed forwards a request with an idempotency key to the instance at
// address, which owns the key. Its error is a *call.Error.
func (c *Client) DoKeyed(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	return c.doTraced(ctx, address, KeyedPath, r)
}

// doTraced traces and forwards a request.
func (c *Client) doTraced(ctx context.Context, address, path string, r *call.Request) (*call.Response, error) {
	hop, traced := c.telemetry.Forward(r)
	answer, err := c.do(ctx, address, path, traced)
	hop.End(err)
	return answer, err
}

func (c *Client) do(ctx context.Context, address, path string, r *call.Request) (*call.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	encode(request, r)
	response, err := c.http.Do(ctx, address, request, httpx.Options{
		FreshConnection:       !r.Idempotent || r.Attempt > 1,
		ResponseHeaderTimeout: processingTimeout,
	})
	if err != nil {
		return nil, httpx.CallError("peer_failed", err)
	}
	if !matchesAttempt(response, r) {
		_ = response.Close()
		return nil, mismatchError(r)
	}
	outcome := attempt.Outcome(response.Header.Peek(httpx.Outcome))
	if outcome != attempt.Served {
		defer func() { _ = response.Close() }()
		return nil, parseRefusal(response, outcome)
	}
	return decodeAnswer(response), nil
}

// matchesAttempt reports whether the response belongs to this attempt. The
// response to another attempt, for example a late one, carries that attempt's
// ids. A response without a request id is accepted.
func matchesAttempt(response *httpx.Response, r *call.Request) bool {
	id, attemptNumber := response.Header.Peek(httpx.RequestID), response.Header.Peek(httpx.AttemptID)
	return len(id) == 0 || string(id) == r.ID && string(attemptNumber) == strconv.Itoa(r.Attempt)
}

// mismatchError returns the error for a response that belongs to another
// attempt.
func mismatchError(r *call.Request) *call.Error {
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    "answer_crossed",
		Err:     fmt.Errorf("the peer's answer is not to attempt %d of %s", r.Attempt, r.ID),
	}
}

// decodeAnswer returns the served response; its body is streamed from the peer.
func decodeAnswer(response *httpx.Response) *call.Response {
	waitMs, _ := strconv.ParseInt(string(response.Header.Peek(httpx.WaitMs)), 10, 64)
	return &call.Response{
		Status:      response.Status,
		ContentType: string(response.Header.ContentType()),
		Adapter:     string(response.Header.Peek(httpx.Adapter)),
		Worker:      string(response.Header.Peek(httpx.WorkerHeader)),
		Wait:        time.Duration(waitMs) * time.Millisecond,
		Body:        response,
	}
}

// parseRefusal returns the error for a response whose outcome is not served.
// Only an explicit outcome not-run proves that the request did not run.
func parseRefusal(response *httpx.Response, outcome attempt.Outcome) *call.Error {
	callErr := &call.Error{
		Failure: attempt.Failure{Sent: true, Refused: outcome == attempt.NotRun},
		Status:  response.Status,
		Code:    "peer_refused",
		Err:     fmt.Errorf("peer answered %d", response.Status),
	}
	if outcome != attempt.NotRun && outcome != attempt.Unknown {
		callErr.Status = fasthttp.StatusGatewayTimeout // whether the request ran is not known
		callErr.Code = "peer_outcome_missing"
		return callErr
	}
	seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil {
		callErr.RetryAfter = time.Duration(seconds) * time.Second
	}
	data, err := io.ReadAll(io.LimitReader(response, maxProblemBytes))
	if err != nil {
		return callErr
	}
	var problem httpx.Problem
	if json.Unmarshal(data, &problem) == nil && problem.Code != "" {
		callErr.Code = problem.Code
		callErr.Err = errors.New(problem.Message)
	}
	return callErr
}
