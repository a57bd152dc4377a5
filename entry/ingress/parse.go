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

// defaultDeadline applies where neither the caller nor the route names one.
const defaultDeadline = 30 * time.Second

// Paths of the completion calls.
const (
	completionsPath     = "/v1/completions"
	chatCompletionsPath = "/v1/chat/completions"
)

// completionRequest is the part of a completion's body that routing reads.
type completionRequest struct {
	Model  string `json:"model"`
	Stream bool   `json:"stream"`
}

// parse reads a caller's request against the table in force.
func parse(ctx *fasthttp.RequestCtx, t *table.Table) (*call.Request, *table.Route, *httpx.Problem) {
	r := &call.Request{
		ID:          uuid.NewString(),
		Method:      string(ctx.Method()),
		Path:        string(ctx.RequestURI()),
		ContentType: string(ctx.Request.Header.ContentType()),
		Body:        append([]byte(nil), ctx.PostBody()...),
		Caller:      string(ctx.Request.Header.Peek(httpx.CallerHeader)),
		Key:         string(ctx.Request.Header.Peek(httpx.IdempotencyKey)),
		Home:        string(ctx.Request.Header.Peek(httpx.HomeHeader)),
		Trace:       string(ctx.Request.Header.Peek(httpx.Traceparent)),
	}
	route, problem := resolve(ctx, t, r)
	if problem != nil {
		return nil, nil, problem
	}
	r.Route = route.Name
	r.Idempotent = route.Idempotent
	if problem := limits(ctx, route, r); problem != nil {
		return nil, nil, problem
	}
	return r, route, nil
}

func resolve(ctx *fasthttp.RequestCtx, t *table.Table, r *call.Request) (*table.Route, *httpx.Problem) {
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

func limits(ctx *fasthttp.RequestCtx, route *table.Route, r *call.Request) *httpx.Problem {
	var asked *table.Rank
	if name := string(ctx.Request.Header.Peek(httpx.RankHeader)); name != "" {
		rank, err := table.ParseRank(name)
		if err != nil {
			return malformed("rank", err.Error())
		}
		asked = &rank
	}
	r.Rank = route.Rank(asked)
	if r.Key != "" {
		if _, err := attempt.ParseKey(r.Key); err != nil {
			return malformed("idempotency_key", err.Error())
		}
	}
	deadline, problem := deadlineOf(ctx, route)
	if problem != nil {
		return problem
	}
	r.Deadline = time.Now().Add(deadline)
	return nil
}

func deadlineOf(ctx *fasthttp.RequestCtx, route *table.Route) (time.Duration, *httpx.Problem) {
	text := strings.TrimSpace(string(ctx.Request.Header.Peek(httpx.DeadlineHeader)))
	if text == "" {
		if route.DeadlineMs > 0 {
			return time.Duration(route.DeadlineMs) * time.Millisecond, nil
		}
		return defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
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
