package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// progressInterval is the interval between progress reports.
const progressInterval = time.Second

// request is one completion to send.
type request struct {
	entry string
	model string
	rank  table.Rank
}

// response is the result of a request.
type response struct {
	outcome attempt.Outcome
	// matches reports whether the response has the requested model and a choice.
	matches bool
	latency time.Duration // to the last byte
}

// Run sends the load and returns the final report once the last response is in.
// When ctx is done it starts no more requests. It calls progress each second from
// another goroutine, and no more after it has returned.
func Run(ctx context.Context, c Config, progress func(Report)) (Report, error) {
	if err := c.Validate(); err != nil {
		return Report{}, err
	}
	results := newCollector()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		reportProgress(results, progress, stop)
	}()
	sendLoad(ctx, c, results)
	close(stop)
	<-stopped
	return results.report(), nil
}

func reportProgress(results *collector, progress func(Report), stop <-chan struct{}) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			progress(results.report())
		}
	}
}

// sendLoad starts requests at c.Rate for c.Duration, or until ctx is done, and
// waits for their responses.
func sendLoad(ctx context.Context, c Config, results *collector) {
	sending, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	random := rand.New(rand.NewPCG(c.Seed, 0))
	zipf := rand.NewZipf(random, c.Skew, 1, uint64(c.Adapters-1))
	limiter := rate.NewLimiter(rate.Limit(c.Rate), 1)
	client := &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxConnsPerHost: c.Concurrency, MaxIdemponentCallAttempts: 1}
	var group errgroup.Group
	group.SetLimit(c.Concurrency)
	for i := 0; limiter.Wait(sending) == nil; i++ {
		r := request{
			entry: c.Entries[i%len(c.Entries)],
			model: fmt.Sprintf("%s%04d@%s", c.Prefix, zipf.Uint64(), c.Version),
			rank:  c.Mix.rank(random.IntN(c.Mix.total())),
		}
		started := group.TryGo(func() error {
			results.start(r.rank)
			results.finish(r.rank, sendCompletion(client, c, r))
			return nil // failures are counted in results
		})
		if !started {
			results.skip()
		}
	}
	_ = group.Wait() // no request returns an error
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// completionResponse is the part of a response body that is checked.
type completionResponse struct {
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
}

// responseMargin is the time after the deadline until a response counts as lost.
const responseMargin = 5 * time.Second

// sendCompletion sends one request. The outcome is NotRun if no connection was free
// or the dial timed out, and Unknown after any other transport error.
func sendCompletion(client *fasthttp.Client, c Config, r request) response {
	body, err := json.Marshal(completionBody{Model: r.model, Prompt: "load", MaxTokens: c.Tokens})
	if err != nil {
		panic(err) // a struct of strings and integers always marshals
	}
	out := fasthttp.AcquireRequest()
	in := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(out)
	defer fasthttp.ReleaseResponse(in)
	out.SetRequestURI("http://" + r.entry + "/v1/completions")
	out.Header.SetMethod(fasthttp.MethodPost)
	out.Header.SetContentType("application/json")
	out.Header.Set(httpx.RankHeader, r.rank.String())
	out.Header.Set(httpx.CallerHeader, "bulrushctl-load")
	out.Header.Set(httpx.DeadlineHeader, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	out.SetBodyRaw(body)
	started := time.Now()
	if err := client.DoTimeout(out, in, c.Deadline+responseMargin); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
			return response{outcome: attempt.NotRun}
		}
		return response{outcome: attempt.Unknown}
	}
	res := response{outcome: attempt.Outcome(in.Header.Peek(httpx.Outcome)), latency: time.Since(started)}
	var got completionResponse
	res.matches = json.Unmarshal(in.Body(), &got) == nil && got.Model == r.model && len(got.Choices) > 0
	return res
}
