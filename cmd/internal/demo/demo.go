package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/standin"
)

// sample is one request of the demo and what its response must contain.
type sample struct {
	name       string
	rank       table.Rank
	path       string
	model      string
	body       string
	key        string
	wantInBody string
	// deadline is the deadline that the request asks for, or zero for the default of
	// its route.
	deadline time.Duration
}

// completionBody is the JSON body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Run starts both deployments, sends one request of each kind and writes a table
// of the responses to out. It returns an error if any response is wrong. With keep
// it then keeps serving until ctx is done.
func Run(ctx context.Context, out io.Writer, log zerolog.Logger, keep bool) error {
	cluster, err := Start(log, deployment.Silttolge(), deployment.Suzgec())
	if err != nil {
		return err
	}
	defer func() { _ = cluster.Stop() }()
	if err := cluster.WaitReady(ctx); err != nil {
		return err
	}
	if err := sendAll(out, cluster, samples()); err != nil {
		return err
	}
	if keep {
		printCurl(out, cluster.EntryAddresses[0])
		<-ctx.Done()
	}
	return nil
}

// samples returns one request of each kind, for both deployments.
func samples() []sample {
	return []sample{
		completionSample("batch", table.Patient, "tolk-0001@v1", "piim 1 l", false),
		completionSample("batch", table.Patient, "tolk-0001@v1", "leib 500 g", false),
		completionSample("draft", table.Normal, "tolk-0002@v2", "juust 200 g", true),
		completionSample("match", table.Urgent, "match-0007@v1", "tap 35 mm", false),
		serviceSample("order", "/orders", `{"label":"piim 1 l"}`, true),
		serviceSample("reread", "/labels/17", "", false),
		serviceSample("lookup", "/cartridges/35mm", "", false),
		serviceSample("reservation", "/reservations", `{"cartridge":"35mm"}`, true),
	}
}

// sampleTokens is the number of tokens that a completion requests.
const sampleTokens = 6

// completionSample expects the last token that the engine generates for prompt.
func completionSample(name string, rank table.Rank, model, prompt string, stream bool) sample {
	body, err := json.Marshal(completionBody{Model: model, Prompt: prompt, MaxTokens: sampleTokens, Stream: stream})
	if err != nil {
		panic(err) // a struct of strings always marshals
	}
	return sample{
		name: name, rank: rank, path: "/v1/completions", model: model, body: string(body),
		wantInBody: standin.Token(model, prompt, sampleTokens-1),
	}
}

// serviceSample returns a request that a service echoes. With keyed it has a new
// idempotency key, which the response must contain.
func serviceSample(name, path, body string, keyed bool) sample {
	s := sample{name: name, rank: table.Normal, path: path, body: body, wantInBody: `"path":"` + path}
	if keyed {
		s.key = uuid.Must(uuid.NewV7()).String()
		s.wantInBody = s.key
	}
	return s
}

// sendAll sends the samples one after the other, taking the instances in turn, and
// writes a table line for each. It returns the errors of all samples.
func sendAll(out io.Writer, cluster *Cluster, all []sample) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "REQUEST\tENTRY\tSERVED BY\tWORKER\tRANK\tWAIT\tTOOK\tOUTCOME\tRIGHT")
	var failures []error
	for i, s := range all {
		entry := cluster.EntryAddresses[i%len(cluster.EntryAddresses)]
		if err := sendSample(w, entry, s); err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", s.name, err))
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return errors.Join(failures...)
}

// sendSample sends a sample to an entry address, writes its table line and returns
// an error if the response is wrong.
func sendSample(w io.Writer, entry string, s sample) error {
	request := fasthttp.AcquireRequest()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + entry + s.path)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.Header.SetContentType("application/json")
	request.Header.Set(httpx.RankHeader, s.rank.String())
	if s.key != "" {
		request.Header.Set(httpx.IdempotencyKey, s.key)
	}
	if s.deadline > 0 {
		request.Header.Set(httpx.DeadlineHeader, strconv.FormatInt(s.deadline.Milliseconds(), 10))
	}
	request.SetBodyString(s.body)
	start := time.Now()
	err := fasthttp.DoTimeout(request, response, time.Minute)
	took := time.Since(start)
	if err == nil {
		err = checkResponse(response, s)
	}
	h := &response.Header
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s ms\t%d ms\t%s\t%t\n", s.name,
		h.Peek(httpx.Instance), h.Peek(httpx.Adapter), h.Peek(httpx.WorkerHeader), s.rank,
		h.Peek(httpx.WaitMs), took.Milliseconds(), h.Peek(httpx.Outcome), err == nil)
	return err
}

// checkResponse checks the status, the adapter that served the request and the
// body.
func checkResponse(response *fasthttp.Response, s sample) error {
	body := string(response.Body())
	if status := response.StatusCode(); status != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	if got := string(response.Header.Peek(httpx.Adapter)); got != s.model {
		return fmt.Errorf("served by adapter %q, requested %q", got, s.model)
	}
	if !strings.Contains(body, s.wantInBody) {
		return fmt.Errorf("the response body does not contain %q: %s", s.wantInBody, body)
	}
	return nil
}

// printCurl writes example requests to an entry address.
func printCurl(out io.Writer, entry string) {
	_, _ = fmt.Fprintf(out, `
Still serving; stop with Ctrl-C. Try:
  curl -s http://%[1]s/v1/completions -d '{"model":"tolk-0003@v1","prompt":"sai","max_tokens":5}'
  curl -sN http://%[1]s/v1/completions -d '{"model":"match-0003@v1","prompt":"tap","max_tokens":5,"stream":true}'
  curl -s http://%[1]s/labels/1 -H 'Bulrushwick-Rank: urgent'
`, entry)
}
