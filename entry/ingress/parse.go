package ingress

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// defaultDeadline applies if neither the caller nor the route sets a deadline.
const defaultDeadline = 30 * time.Second

// Paths of the completion API.
const (
	completionsPath     = "/v1/completions"
	chatCompletionsPath = "/v1/chat/completions"
)

// completionRequest holds the fields of a completion request that routing
// needs.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// parse builds the internal request from a caller's HTTP request and resolves
// its route in table t.
func parse(ctx *fasthttp.RequestCtx, t *table.Table, body []byte) (*call.Request, *table.Route, *httpx.Problem) {
	r := &call.Request{
		ID:          uuid.NewString(),
		Method:      string(ctx.Method()),
		Path:        string(ctx.RequestURI()),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        body,
		Caller:      string(ctx.Request.Header.Peek(httpx.CallerHeader)),
		Key:         string(ctx.Request.Header.Peek(httpx.IdempotencyKey)),
		Home:        string(ctx.Request.Header.Peek(httpx.HomeHeader)),
		Trace:       string(ctx.Request.Header.Peek(httpx.Traceparent)),
	}
	route, problem := resolveRoute(ctx, t, r)
	if problem != nil {
		return nil, nil, problem
	}
	r.Route = route.Name
	r.Idempotent = route.Idempotent
	if problem := parseLimits(ctx, route, r); problem != nil {
		return nil, nil, problem
	}
	return r, route, nil
}

// resolveRoute finds the request's route. For a completion it also sets the
// adapter and the stream flag from the body.
func resolveRoute(ctx *fasthttp.RequestCtx, t *table.Table, r *call.Request) (*table.Route, *httpx.Problem) {
	path := string(ctx.Path())
	if path != completionsPath && path != chatCompletionsPath {
		route, found := t.ServiceRoute(path)
		if !found {
			return nil, notFound("unknown_route", fmt.Sprintf("no route matches %s", path))
		}
		return route, nil
	}
	if !ctx.IsPost() {
		return nil, malformed("method", "completions are called with POST")
	}
	var body completionRequest
	if err := json.Unmarshal(r.Body, &body); err != nil {
		return nil, malformed("body", err.Error())
	}
	adapter, err := table.ParseAdapterVersion(body.Model)
	if err != nil {
		return nil, malformed("model", err.Error())
	}
	route, problem := engineRoute(t, adapter)
	if problem != nil {
		return nil, problem
	}
	r.Adapter = adapter
	r.Stream = body.Stream
	return route, nil
}

// parseLimits sets the request's rank and deadline, and checks its idempotency
// key.
func parseLimits(ctx *fasthttp.RequestCtx, route *table.Route, r *call.Request) *httpx.Problem {
	var requested *table.Rank
	if name := string(ctx.Request.Header.Peek(httpx.RankHeader)); name != "" {
		rank, err := table.ParseRank(name)
		if err != nil {
			return malformed("rank", err.Error())
		}
		requested = &rank
	}
	r.Rank = route.Rank(requested)
	if r.Key != "" {
		if _, err := attempt.ParseKey(r.Key); err != nil {
			return malformed("idempotency_key", err.Error())
		}
	}
	deadline, problem := parseDeadline(ctx, route)
	if problem != nil {
		return problem
	}
	r.Deadline = time.Now().Add(deadline)
	return nil
}

// parseDeadline returns the time that the request may take: the caller's value,
// or else the route's, or else the default.
func parseDeadline(ctx *fasthttp.RequestCtx, route *table.Route) (time.Duration, *httpx.Problem) {
	header := strings.TrimSpace(string(ctx.Request.Header.Peek(httpx.DeadlineHeader)))
	if header == "" {
		if route.DeadlineMs > 0 {
			return time.Duration(route.DeadlineMs) * time.Millisecond, nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms < 1 || ms > call.MaxDeadline.Milliseconds() {
		return 0, malformed("deadline", fmt.Sprintf("%s must be from 1 to %d", httpx.DeadlineHeader, call.MaxDeadline.Milliseconds()))
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func malformed(code, message string) *httpx.Problem {
	return &httpx.Problem{Status: fasthttp.StatusBadRequest, Code: "malformed_" + code, Message: message, Outcome: attempt.NotRun}
}

func notFound(code, message string) *httpx.Problem {
	return &httpx.Problem{Status: fasthttp.StatusNotFound, Code: code, Message: message, Outcome: attempt.NotRun}
}
