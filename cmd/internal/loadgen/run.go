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

// progressEvery is the interval between two reports of progress.
const progressEvery = time.Second

// request is one completion to send.
type request struct {
	entry string
	model string
	rank  table.Rank
}

// answer is how a request ended.
type answer struct {
	outcome attempt.Outcome
	right   bool
	took    time.Duration
}

// Run sends the load, tells progress each second and returns when the last
// answer is there, or soon after ctx is done.
func Run(ctx context.Context, c Config, progress func(Report)) (Report, error) {
	if err := c.Validate(); err != nil {
		return Report{}, err
	}
	counted := newTally()
	stop := make(chan struct{})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tell(counted, progress, stop)
	}()
	send(ctx, c, counted)
	close(stop)
	<-stopped
	return counted.report(), nil
}

func tell(counted *tally, progress func(Report), stop <-chan struct{}) {
	ticker := time.NewTicker(progressEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			progress(counted.report())
		}
	}
}

// send begins requests at the rate for the duration and waits for the answers.
func send(ctx context.Context, c Config, counted *tally) {
	begin, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	random := rand.New(rand.NewPCG(c.Seed, 0))
	popular := rand.NewZipf(random, c.Skew, 1, uint64(c.Adapters-1))
	limiter := rate.NewLimiter(rate.Limit(c.Rate), 1)
	client := &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxConnsPerHost: c.Concurrency, MaxIdemponentCallAttempts: 1}
	var group errgroup.Group
	group.SetLimit(c.Concurrency)
	for i := 0; limiter.Wait(begin) == nil; i++ {
		r := request{
			entry: c.Entries[i%len(c.Entries)],
			model: fmt.Sprintf("%s%04d@%s", c.Prefix, popular.Uint64(), c.Version),
			rank:  c.Mix.rank(random.IntN(c.Mix.total())),
		}
		room := group.TryGo(func() error {
			counted.begin(r.rank)
			counted.end(r.rank, complete(client, c, r))
			return nil // the answer is counted, whatever it is
		})
		if !room {
			counted.holdBack()
		}
	}
	_ = group.Wait() // no request returns an error
}

// completionBody is the body of a completion call.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// completionAnswer is the part of an answer that is checked.
type completionAnswer struct {
	Model   string            `json:"model"`
	Choices []json.RawMessage `json:"choices"`
}

// answerMargin is added to the deadline before an answer counts as lost.
const answerMargin = 5 * time.Second

func complete(client *fasthttp.Client, c Config, r request) answer {
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
	if err := client.DoTimeout(out, in, c.Deadline+answerMargin); err != nil {
		if errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, fasthttp.ErrDialTimeout) {
			return answer{outcome: attempt.NotRun}
		}
		return answer{outcome: attempt.Unknown}
	}
	a := answer{outcome: attempt.Outcome(in.Header.Peek(httpx.Outcome)), took: time.Since(started)}
	var got completionAnswer
	a.right = json.Unmarshal(in.Body(), &got) == nil && got.Model == r.model && len(got.Choices) > 0
	return a
}
