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

// Paths where the peer listener takes forwarded requests.
const (
	// Path takes attempts on workers that the receiver owns.
	Path = "/forward"
	// KeyedPath takes calls whose idempotency keys the receiver owns.
	KeyedPath = "/forward/keyed"
)

// problemLimit bounds the body of a peer's refusal, in bytes.
const problemLimit = 64 << 10

// Client forwards requests to other instances.
type Client struct {
	http      *httpx.Client
	telemetry *telemetry.Telemetry
}

// NewClient returns a client.
func NewClient(config httpx.ClientConfig) *Client {
	return &Client{http: httpx.NewClient(config)}
}

// Observe lets t trace what is forwarded; call it before the first.
func (c *Client) Observe(t *telemetry.Telemetry) { c.telemetry = t }

// Do forwards one attempt to the instance at address. Its error is a
// *call.Error.
func (c *Client) Do(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	return c.observed(ctx, address, Path, r)
}

// DoKeyed forwards a call that carries an idempotency key to the instance at
// address, the owner of the key. Its error is a *call.Error.
func (c *Client) DoKeyed(ctx context.Context, address string, r *call.Request) (*call.Response, error) {
	return c.observed(ctx, address, KeyedPath, r)
}

func (c *Client) observed(ctx context.Context, address, path string, r *call.Request) (*call.Response, error) {
	hop, sent := c.telemetry.Forward(r)
	answer, err := c.do(ctx, address, path, sent)
	hop.End(err)
	return answer, err
}

func (c *Client) do(ctx context.Context, address, path string, r *call.Request) (*call.Response, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + path)
	encode(request, r)
	response, err := c.http.Do(ctx, address, request, httpx.Options{
		Fresh:       !r.Idempotent || r.Attempt > 1,
		HeadTimeout: processingTimeout,
	})
	if err != nil {
		return nil, httpx.CallError("peer_failed", err)
	}
	if !answers(response, r) {
		_ = response.Close()
		return nil, crossed(r)
	}
	outcome := attempt.Outcome(response.Header.Peek(httpx.Outcome))
	if outcome != attempt.Served {
		defer func() { _ = response.Close() }()
		return nil, refusal(response, outcome)
	}
	return decodeAnswer(response), nil
}

// answers tells whether the response is the one to this attempt: a late or
// crossed one names another.
func answers(response *httpx.Response, r *call.Request) bool {
	id, number := response.Header.Peek(httpx.RequestID), response.Header.Peek(httpx.AttemptID)
	return len(id) == 0 || string(id) == r.ID && string(number) == strconv.Itoa(r.Attempt)
}

func crossed(r *call.Request) *call.Error {
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    "answer_crossed",
		Err:     fmt.Errorf("the peer's answer is not to attempt %d of %s", r.Attempt, r.ID),
	}
}

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

// refusal reads why a peer did not serve. Only an explicit not-run proves that
// the request did not run.
func refusal(response *httpx.Response, outcome attempt.Outcome) *call.Error {
	failed := &call.Error{
		Failure: attempt.Failure{Sent: true, Refused: outcome == attempt.NotRun},
		Status:  response.Status,
		Code:    "peer_refused",
		Err:     fmt.Errorf("peer answered %d", response.Status),
	}
	if outcome != attempt.NotRun && outcome != attempt.Unknown {
		failed.Status = fasthttp.StatusGatewayTimeout // nothing is known of the call
		failed.Code = "peer_outcome_missing"
		return failed
	}
	seconds, err := strconv.Atoi(string(response.Header.Peek(fasthttp.HeaderRetryAfter)))
	if err == nil {
		failed.RetryAfter = time.Duration(seconds) * time.Second
	}
	data, err := io.ReadAll(io.LimitReader(response, problemLimit))
	if err != nil {
		return failed
	}
	var problem httpx.Problem
	if json.Unmarshal(data, &problem) == nil && problem.Code != "" {
		failed.Code = problem.Code
		failed.Err = errors.New(problem.Message)
	}
	return failed
}
