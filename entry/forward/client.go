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
)

// Path is where the peer listener takes forwarded requests.
const Path = "/forward"

// problemLimit bounds the body of a peer's refusal, in bytes.
const problemLimit = 64 << 10

// Client forwards requests to other instances.
type Client struct {
	http *httpx.Client
}

// NewClient returns a client.
func NewClient(config httpx.ClientConfig) *Client {
	return &Client{http: httpx.NewClient(config)}
}

// Do forwards one attempt to the instance at address. Its error is a
// *call.Error.
func (c *Client) Do(ctx context.Context, address string, r *call.Request) (*call.Answer, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://" + address + Path)
	encode(request, r)
	response, err := c.http.Do(ctx, address, request)
	if err != nil {
		return nil, httpx.CallError("peer_failed", err)
	}
	outcome := attempt.Outcome(response.Header.Peek(httpx.Outcome))
	if outcome != attempt.Served {
		defer func() { _ = response.Close() }()
		return nil, refusal(response.Status, outcome, response)
	}
	return decodeAnswer(response), nil
}

func decodeAnswer(response *httpx.Response) *call.Answer {
	waitMs, _ := strconv.ParseInt(string(response.Header.Peek(httpx.WaitMs)), 10, 64)
	return &call.Answer{
		Status:  response.Status,
		Content: string(response.Header.ContentType()),
		Adapter: string(response.Header.Peek(httpx.Adapter)),
		Worker:  string(response.Header.Peek(httpx.WorkerHeader)),
		Wait:    time.Duration(waitMs) * time.Millisecond,
		Body:    response,
	}
}

// refusal reads why a peer did not serve. Only an explicit not-run proves that
// the request did not run.
func refusal(status int, outcome attempt.Outcome, body io.Reader) *call.Error {
	failed := &call.Error{
		Failure: attempt.Failure{Sent: true, Refused: outcome == attempt.NotRun},
		Status:  status,
		Code:    "peer_refused",
		Err:     fmt.Errorf("peer answered %d", status),
	}
	data, err := io.ReadAll(io.LimitReader(body, problemLimit))
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
