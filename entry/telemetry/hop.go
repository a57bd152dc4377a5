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

// tracer starts spans. The zero value starts none.
type tracer struct{ trace.Tracer }

// propagator reads and writes the traceparent header.
var propagator = propagation.TraceContext{}

// traceparent is the W3C header that carries the trace context from hop to hop.
const traceparent = "traceparent"

// start begins a span whose parent is a traceparent. It returns the span and the
// span's own traceparent; without tracing, nil and the parent.
func (t tracer) start(parent, name string, attributes ...attribute.KeyValue) (trace.Span, string) {
	if t.Tracer == nil {
		return nil, parent
	}
	ctx := propagator.Extract(context.Background(), propagation.MapCarrier{traceparent: parent})
	ctx, span := t.Start(ctx, name, trace.WithAttributes(attributes...))
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return span, carrier[traceparent]
}

// endSpan ends a span, marked as failed if err is not nil.
func endSpan(span trace.Span, err error) {
	if span == nil {
		return
	}
	if err != nil {
		span.SetStatus(codes.Error, errorCode(err))
	}
	span.End()
}

// errorCode returns the code of a call.Error, or the text of any other error.
func errorCode(err error) string {
	var failed *call.Error
	if errors.As(err, &failed) {
		return failed.Code
	}
	return err.Error()
}

func requestAttributes(r *call.Request) []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("request", r.ID),
		attribute.Int("attempt", r.Attempt),
		attribute.String("rank", r.Rank.String()),
		attribute.String("adapter", adapterName(r)),
		attribute.String("worker", r.Worker),
	}
}

// adapterName returns the adapter of a request, or "" for a request without one.
func adapterName(r *call.Request) string {
	if r.Adapter == (table.AdapterVersion{}) {
		return ""
	}
	return r.Adapter.String()
}

// Hop is one step of a request, from its start to End. Its methods do nothing on a
// nil Hop, and End is safe for concurrent use.
type Hop struct {
	telemetry *Telemetry
	span      trace.Span
	startedAt time.Time
	rank      table.Rank
	kind      hopKind
	loadStall bool // whether the wait in the queue is a load stall
	once      sync.Once
}

// hopKind selects the metrics that a hop records at its end.
type hopKind int

const (
	plainHop hopKind = iota
	ingressHop
	queueHop
	loadHop
)

// newHop begins a hop whose parent is a traceparent and returns it with the
// traceparent of its span.
func (t *Telemetry) newHop(k hopKind, name, parent string, attributes ...attribute.KeyValue) (*Hop, string) {
	if t == nil {
		return nil, parent
	}
	h := &Hop{telemetry: t, kind: k, startedAt: time.Now()}
	h.span, parent = t.tracer.start(parent, name, attributes...)
	return h, parent
}

// Ingress begins the hop of a caller's request. It sets r.Trace, so that the later
// spans of the request are children of this one.
func (t *Telemetry) Ingress(r *call.Request) *Hop {
	hop, trace := t.newHop(ingressHop, "ingress", r.Trace, requestAttributes(r)...)
	if hop != nil {
		hop.rank = r.Rank
	}
	r.Trace = trace
	return hop
}

// Forward begins the hop that forwards an attempt to another instance. It returns
// the request to send, which carries the hop's trace context.
func (t *Telemetry) Forward(r *call.Request) (*Hop, *call.Request) { return t.childHop("forward", r) }

// Dispatch begins the hop of a call to an endpoint. It returns the request to send,
// which carries the hop's trace context.
func (t *Telemetry) Dispatch(r *call.Request) (*Hop, *call.Request) { return t.childHop("dispatch", r) }

// childHop begins a hop below r's trace and returns it with a copy of r that carries
// the hop's trace context.
func (t *Telemetry) childHop(name string, r *call.Request) (*Hop, *call.Request) {
	hop, trace := t.newHop(plainHop, name, r.Trace, requestAttributes(r)...)
	if hop == nil {
		return nil, r
	}
	sent := *r
	sent.Trace = trace
	return hop, &sent
}

// Queue begins a request's wait in the queue of its worker's owner. absent means
// that the worker doesn't hold the adapter; the wait then counts as a load stall.
func (t *Telemetry) Queue(r *call.Request, absent bool) *Hop {
	hop, _ := t.newHop(queueHop, "queue", r.Trace, append(requestAttributes(r), attribute.Bool("absent", absent))...)
	if hop != nil {
		hop.rank, hop.loadStall = r.Rank, absent
		t.metrics.queued[r.Rank].add(1)
	}
	return hop
}

// Load begins the hop of a load order. parent is the traceparent of a request that
// waits for the load.
func (t *Telemetry) Load(parent, worker string, adapter table.AdapterVersion) *Hop {
	hop, _ := t.newHop(loadHop, "load", parent, attribute.String("worker", worker), attribute.String("adapter", adapter.String()))
	return hop
}

// End ends the hop and records its metrics. Only the first call has an effect.
func (h *Hop) End(err error) {
	if h == nil {
		return
	}
	h.once.Do(func() {
		h.recordMetrics(err)
		endSpan(h.span, err)
	})
}

// recordMetrics records the metrics of the hop's kind.
func (h *Hop) recordMetrics(err error) {
	m, took := h.telemetry.metrics, time.Since(h.startedAt)
	switch h.kind {
	case ingressHop:
		outcome := OutcomeOf(err)
		m.requests[h.rank][outcome].Inc(1)
		if outcome == attempt.Served {
			m.latency[h.rank].RecordDuration(took)
		}
	case queueHop:
		m.queued[h.rank].add(-1)
		if h.loadStall {
			m.stalls[h.rank].RecordDuration(took)
		}
	case loadHop:
		h.telemetry.recordLoad(took, err == nil)
	case plainHop:
	}
}

// OutcomeOf returns the outcome that is reported to the caller for a request that
// ended with err.
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

// Stream begins a hop for the response body of r. It returns a body that ends both
// hops when it is closed or a read fails.
func (h *Hop) Stream(r *call.Request, body io.ReadCloser) io.ReadCloser {
	if h == nil {
		return body
	}
	stream, _ := h.telemetry.newHop(plainHop, "stream", r.Trace, requestAttributes(r)...)
	return &tracedBody{ReadCloser: body, hops: []*Hop{stream, h}}
}

// tracedBody ends its hops when it is closed. A read error other than io.EOF ends
// them as failed.
type tracedBody struct {
	io.ReadCloser
	hops []*Hop
}

// Read implements io.Reader.
func (s *tracedBody) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		s.end(err)
	}
	return n, err
}

// Close implements io.Closer.
func (s *tracedBody) Close() error {
	err := s.ReadCloser.Close()
	s.end(nil)
	return err
}

func (s *tracedBody) end(err error) {
	for _, hop := range s.hops {
		hop.End(err)
	}
}
