// Package direct serves callers without an owner in the request's way: any
// instance sends a request straight to a worker that refuses what it does not
// hold, and only orders to workers go through the instance that holds the right
// to give them.
package direct

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/upstream"
)

// Request is a caller's request.
type Request struct {
	ID     string
	Method string
	Host   string
	// Target is the path and query as sent.
	Target string
	Path   string
	Body   []byte
	// Header holds the header lines that are passed on, each with its line end.
	Header []byte
	// Wait is how long the caller waits; 0 where it does not say.
	Wait time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens, OutputTokens int
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
}

// Send is one attempt of a request at a worker.
type Send struct {
	Worker worker.Worker
	// Left is what remains of the caller's wait.
	Left time.Duration
	// Priority is from 0, the most urgent, to 9; negative for none.
	Priority int
	// ResumeAfter overrides the caller's when an answer is continued.
	ResumeAfter string
	// AdapterVersion is the version that must run; 0 for any.
	AdapterVersion int64
}

// Answer is what the header of a worker's answer says.
type Answer struct {
	Status int
	// Signed answers come from the worker's own program.
	Signed bool
	// NotRun answers prove that the request did not run.
	NotRun bool
	// Misdirected answers say that the worker is another one, or does not hold
	// the model or adapter.
	Misdirected bool
	// Encoded bodies are not the worker's.
	Encoded bool
	// KeepFor is how long the worker keeps the connection: 0 where it does not
	// say, negative where it must not be used again.
	KeepFor time.Duration
}

// Codec translates between the callers' and workers' wire and this package.
type Codec interface {
	// ParseRequest returns an error for a request that is malformed.
	ParseRequest(*fasthttp.RequestCtx) (*Request, error)
	AppendRequest(dst []byte, r *Request, s Send) []byte
	// Matches tells whether an answer belongs to r.
	Matches(r *Request) upstream.Matches
	ParseAnswer(*fasthttp.ResponseHeader) Answer
	// CopyHeader copies what a caller may see of a worker's header.
	CopyHeader(to, from *fasthttp.ResponseHeader)
	DecodeConfig(document []byte) (*routing.Config, error)
	// ReadinessPath is where the load balancer asks.
	ReadinessPath() string
}

// Report is a worker's own account of itself.
type Report struct {
	Held slots.WorkerState
	// Born is the start of the worker's process, in Unix milliseconds.
	Born int64
}

// Orderer speaks to workers about what they hold.
type Orderer interface {
	// Order sends one order; an error goes with slots.Unknown or slots.Rejected.
	Order(ctx context.Context, w worker.Worker, o slots.Order, fence uint64) (slots.Result, error)
	Report(ctx context.Context, w worker.Worker) (Report, error)
}

// Directory reports what the metadata store says until ctx ends.
type Directory interface {
	Run(ctx context.Context, sink DirectorySink)
	// Calls counts the calls to the store since the start.
	Calls() uint64
}

// DirectorySink takes news from a Directory.
type DirectorySink interface {
	Config(document []byte)
	// Workers takes a whole listing as of a revision.
	Workers(entries []worker.Entry, at uint64)
	WorkerPut(w worker.Worker, revision uint64)
	WorkerDeleted(id string, revision uint64)
	AdapterVersion(model, adapter string, version int64)
	// EntryRejected reports an entry that can't be used.
	EntryRejected(key string, err error)
	Lost(err error)
	Returned()
}
