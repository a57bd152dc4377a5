// Package direct dispatches callers' requests straight to workers. Any instance
// may send a request to any worker, and a worker refuses what it does not hold,
// so no request passes through an owner.
//
// Only orders, which load and unload models and adapters, need coordination. A
// right is the exclusive, leased permission to send orders to a group of
// workers; every order carries its fencing token. An instance controls the
// workers whose right it holds.
package direct

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/condition"
	"github.com/bulrushwick/bulrushwick/coord/revision"
	"github.com/bulrushwick/bulrushwick/coord/routing"
	"github.com/bulrushwick/bulrushwick/coord/slots"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
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
	// Header holds the header lines to be forwarded, each with its line end.
	Header []byte
	// IdentityHeader holds the header lines in which the caller says who it is, each with
	// its line end. They are forwarded only where requests need no key.
	IdentityHeader []byte
	// Credential is the key that the caller sent.
	Credential Credential
	// Organisation holds the key; nil if there is none.
	Organisation *routing.Organisation
	// Wait is how long the caller waits; 0 if it does not say.
	Wait time.Duration
	// Model and Adapter are empty for plain services.
	Model, Adapter string
	// PromptParts identifies the parts of the prompt that other requests may
	// share, in order. The part that belongs to the request itself is left out.
	PromptParts []string
	// PartTokens holds the sizes of the PromptParts.
	PartTokens []int
	// PromptTokens and OutputTokens are the sizes that the caller states.
	PromptTokens, OutputTokens int
	// OutputHint is the number of tokens of the response that the caller expects; 0 if
	// it does not say.
	OutputHint int
	// ResumeAfter is the id of the last event that the caller has received.
	ResumeAfter string
}

// Credential is the digest of the key that a caller sent.
type Credential struct {
	// Present is set if the caller sent a credential, and Malformed if it is not a key.
	Present, Malformed bool
	Digest             routing.KeyDigest
}

// Attempt is one attempt to send a request to a worker.
type Attempt struct {
	Worker worker.Worker
	// Left is the remaining time of the caller's wait.
	Left time.Duration
	// Priority ranges from 0, the most urgent, to 9; negative for none.
	Priority int
	// ResumeAfter replaces the request's own when a response is resumed.
	ResumeAfter string
	// AdapterVersion is the version that must run; 0 for any.
	AdapterVersion int64
}

// ResponseInfo is what the header of a worker's response says.
type ResponseInfo struct {
	Status int
	// Signed is set if the response comes from the worker's own program, not
	// from something in between.
	Signed bool
	// NotRun is set if the response proves that the request did not run.
	NotRun bool
	// Misdirected is set if the worker is not the one meant, or does not hold
	// the model or adapter.
	Misdirected bool
	// Encoded is set if the body was encoded on the way; it is not the worker's
	// then.
	Encoded bool
	// Load is the load that the worker states; nil if it does not.
	Load *condition.LoadReport
	// Leaving is set if the worker says that it leaves.
	Leaving bool
	// HoldOff is how long a worker that turned the request away wants no further
	// request from this instance; 0 if it does not say.
	HoldOff time.Duration
	// KeepFor is how long the worker keeps the connection open: 0 if it does
	// not say, negative if it must not be reused.
	KeepFor time.Duration
}

// Codec translates between this package and the wire formats of callers and
// workers. It must be safe for concurrent use.
type Codec interface {
	// ParseRequest parses the header of a request, and takes its body if that is not
	// streamed. It returns an error if the request is malformed.
	ParseRequest(*fasthttp.RequestCtx) (*Request, error)
	// AppendHead appends the header of one attempt, with its end, to dst. The body
	// follows it unchanged.
	AppendHead(dst []byte, r *Request, a Attempt) []byte
	// Attribute returns the request that a response to r, or to an earlier request on
	// the same connection, belongs to.
	Attribute(r *Request, response *fasthttp.ResponseHeader) upstream.Attribution
	ParseResponse(*fasthttp.ResponseHeader) ResponseInfo
	// CopyHeader copies the header lines of a worker's response that the caller
	// may see.
	CopyHeader(to, from *fasthttp.ResponseHeader)
	DecodeConfig(document []byte) (*routing.Config, error)
	// ShareableConfig returns the configuration as this instance keeps it and sends it to
	// peers: with digests in place of keys. DecodeConfig accepts both.
	ShareableConfig(document []byte) ([]byte, error)
	// ReadinessPath is the path of the load balancer's health check.
	ReadinessPath() string
}

// Report is the state that a worker reports.
type Report struct {
	Held slots.WorkerState
	// Leaving is set if the worker says that it leaves.
	Leaving bool
	// Born is when the worker's process started, in Unix milliseconds.
	Born int64
	// OrdersAccepted is the number of orders that the process had accepted as of the
	// report. It also rises when an unload that waited for requests ends.
	OrdersAccepted uint64
}

// Orderer sends orders to workers and reads their reports. It must be safe for
// concurrent use.
type Orderer interface {
	// Order sends one order with a fencing token. An error comes with
	// slots.Unknown or slots.Rejected.
	Order(ctx context.Context, w worker.Worker, o slots.Order, fence uint64) (slots.Result, error)
	Report(ctx context.Context, w worker.Worker) (Report, error)
}

// Directory reads the metadata store. Run reports its contents, and changes to
// them, to sink until ctx ends.
type Directory interface {
	Run(ctx context.Context, sink DirectorySink)
	// Calls returns the number of calls to the store since the start.
	Calls() uint64
}

// DirectorySink receives the contents of the metadata store, and changes to
// them, from a Directory.
type DirectorySink interface {
	// Config takes a configuration document as published. silence is the time
	// since the store's previous response about what the operator publishes.
	Config(document []byte, silence time.Duration)
	// ConfigConfirmed reports that all configurations that were in the store some time ago
	// have been passed to Config.
	ConfigConfirmed(age time.Duration)
	// EraBegan reports that the store has returned from an older copy, in an era that was
	// not known, before its contents are reported. before is the last known version and at
	// the first of the era.
	EraBegan(before, at revision.Version)
	// EraRejected reports a response that states no usable era, and was not used.
	EraRejected(err error)
	// Workers replaces all workers by a listing as of a version.
	Workers(entries []worker.Entry, at revision.Version)
	WorkerPut(w worker.Worker, version revision.Version)
	WorkerDeleted(id string, version revision.Version)
	AdapterVersion(model, adapter string, version int64)
	// EntryRejected reports an entry that is invalid.
	EntryRejected(key string, err error)
	// CallFailed reports a call to the store without a usable response. openFor is how long
	// ago the call began if it timed out, since the store may have been unavailable all the
	// while; 0 if it was refused or its connection was closed.
	CallFailed(openFor time.Duration)
	// StoreResponded reports a response of the store, before its contents are reported.
	StoreResponded()
	// StoreLost reports that a reader gets no response from the store.
	StoreLost(err error)
	// StoreReturned reports that the reader gets responses again.
	StoreReturned()
	// Panicked reports a panic in a background task of the Directory.
	Panicked(p *recovery.Panic)
	// FirstListingDelay is how long to wait, after an outage, before a first
	// listing of the store.
	FirstListingDelay() time.Duration
}
