package telemetry

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// tracer starts spans; the zero value starts none.
type tracer struct{ trace.Tracer }

var format = propagation.TraceContext{}

// traceparent is the header that carries a trace from hop to hop.
const traceparent = "traceparent"

// start begins a span under a traceparent and returns it with its own.
func (t tracer) start(parent, name string, attributes ...attribute.KeyValue) (trace.Span, string) {
	if t.Tracer == nil {
		return nil, parent
	}
	ctx := format.Extract(context.Background(), propagation.MapCarrier{traceparent: parent})
	ctx, span := t.Start(ctx, name, trace.WithAttributes(attributes...))
	carrier := propagation.MapCarrier{}
	format.Inject(ctx, carrier)
	return span, carrier[traceparent]
}

func finish(span trace.Span, err error) {
	if span == nil {
		return
	}
	if err != nil {
		span.SetStatus(codes.Error, codeOf(err))
	}
	span.End()
}

func codeOf(err error) string {
	var failed *call.Error
	if errors.As(err, &failed) {
		return failed.Code
	}
	return err.Error()
}

func attributesOf(r *call.Request) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("request", r.ID),
		attribute.Int("attempt", r.Attempt),
		attribute.String("rank", r.Rank.String()),
		attribute.String("adapter", adapterOf(r)),
		attribute.String("worker", r.Worker),
	}
}

func adapterOf(r *call.Request) string {
	if r.Adapter == (table.AdapterVersion{}) {
		return ""
	}
	return r.Adapter.String()
}

// Hop is one step of a request that has begun.
type Hop struct {
	telemetry *Telemetry
	span      trace.Span
	began     time.Time
	rank      table.Rank
	kind      kind
	stalled   bool
	once      sync.Once
}

// kind says what a hop counts at its end.
type kind int

const (
	plainHop kind = iota
	ingressHop
	queueHop
	loadHop
)

// hop begins a step under a traceparent.
func (t *Telemetry) hop(k kind, name, parent string, attributes ...attribute.KeyValue) (*Hop, string) {
	if t == nil {
		return nil, parent
	}
	h := &Hop{telemetry: t, kind: k, began: time.Now()}
	h.span, parent = t.tracer.start(parent, name, attributes...)
	return h, parent
}

// Ingress begins a caller's request. What follows hangs below its span.
func (t *Telemetry) Ingress(r *call.Request) *Hop {
	hop, trace := t.hop(ingressHop, "ingress", r.Trace, attributesOf(r)...)
	if hop != nil {
		hop.rank = r.Rank
	}
	r.Trace = trace
	return hop
}

// Forward begins the passing on of an attempt and returns the request to send.
func (t *Telemetry) Forward(r *call.Request) (*Hop, *call.Request) { return t.child("forward", r) }

// Dispatch begins a call to an endpoint and returns the request to send.
func (t *Telemetry) Dispatch(r *call.Request) (*Hop, *call.Request) { return t.child("dispatch", r) }

func (t *Telemetry) child(name string, r *call.Request) (*Hop, *call.Request) {
	hop, trace := t.hop(plainHop, name, r.Trace, attributesOf(r)...)
	if hop == nil {
		return nil, r
	}
	sent := *r
	sent.Trace = trace
	return hop, &sent
}

// Queue begins a wait at the owner; absent says that the worker doesn't hold
// the adapter, so that the wait is a load stall.
func (t *Telemetry) Queue(r *call.Request, absent bool) *Hop {
	hop, _ := t.hop(queueHop, "queue", r.Trace, append(attributesOf(r), attribute.Bool("absent", absent))...)
	if hop != nil {
		hop.rank, hop.stalled = r.Rank, absent
		t.metrics.queue[r.Rank].add(1)
	}
	return hop
}

// Load begins a load order, below the span of a request that waits for it.
func (t *Telemetry) Load(parent, worker string, adapter table.AdapterVersion) *Hop {
	hop, _ := t.hop(loadHop, "load", parent, attribute.String("worker", worker), attribute.String("adapter", adapter.String()))
	return hop
}

// End ends the hop; only the first end counts.
func (h *Hop) End(err error) {
	if h == nil {
		return
	}
	h.once.Do(func() {
		h.count(err)
		finish(h.span, err)
	})
}

func (h *Hop) count(err error) {
	m, took := h.telemetry.metrics, time.Since(h.began)
	switch h.kind {
	case ingressHop:
		outcome := OutcomeOf(err)
		m.requests[h.rank][outcome].Inc(1)
		if outcome == attempt.Served {
			m.seconds[h.rank].RecordDuration(took)
		}
	case queueHop:
		m.queue[h.rank].add(-1)
		if h.stalled {
			m.stalls[h.rank].RecordDuration(took)
		}
	case loadHop:
		h.telemetry.loaded(took, err == nil)
	case plainHop:
	}
}

// OutcomeOf returns what a caller is told of a request that ended with err.
func OutcomeOf(err error) attempt.Outcome {
	if err == nil {
		return attempt.Served
	}
	var failed *call.Error
	if errors.As(err, &failed) {
		return failed.Failure.Outcome()
	}
	return attempt.Unknown
}

// Stream begins the answer's body and returns one that ends this hop, and the
// stream's own span, when it is closed.
func (h *Hop) Stream(r *call.Request, body io.ReadCloser) io.ReadCloser {
	if h == nil {
		return body
	}
	stream, _ := h.telemetry.hop(plainHop, "stream", r.Trace, attributesOf(r)...)
	return &streamed{ReadCloser: body, hops: []*Hop{stream, h}}
}

// streamed ends its hops when it is closed; a read error ends them as failed.
type streamed struct {
	io.ReadCloser
	hops []*Hop
}

// Read implements io.Reader.
func (s *streamed) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (s *streamed) Close() error {
	err := s.ReadCloser.Close()
	s.end(nil)
	return err
}

func (s *streamed) end(err error) {
	for _, hop := range s.hops {
		hop.End(err)
	}
}
