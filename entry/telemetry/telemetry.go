package telemetry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"

	"go.opentelemetry.io/otel/attribute"
)

// reportEvery is how often tally hands its counts to the Prometheus page.
const reportEvery = time.Second

// Config says where telemetry goes.
type Config struct {
	// Instance and DataCentre stand in every span.
	Instance   string
	DataCentre string
	// TraceFile receives spans as JSON lines; empty for none.
	TraceFile string
	// TraceURL receives spans by OTLP over HTTP; empty for none.
	TraceURL string
	// TraceShare is the part of the traces that begin here and are recorded,
	// from 0 to 1. A caller's own choice in traceparent comes first.
	TraceShare float64
}

// Telemetry observes one instance. It is safe for concurrent use.
type Telemetry struct {
	metrics  *metrics
	reporter prometheus.Reporter
	spans    *trace.TracerProvider
	tracer   tracer
	closers  []io.Closer
}

// New returns telemetry that must be closed.
func New(config Config) (*Telemetry, error) {
	registry := newRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bulrushwick",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// tally's own counts of its scopes say nothing of the instance.
		OmitCardinalityMetrics: true,
	}, reportEvery)
	t := &Telemetry{metrics: newMetrics(scope), reporter: reporter, closers: []io.Closer{closer}}
	if config.TraceFile == "" && config.TraceURL == "" {
		return t, nil
	}
	if err := t.trace(config); err != nil {
		return nil, errors.Join(err, t.Close())
	}
	return t, nil
}

// trace sets up the exporters.
func (t *Telemetry) trace(config Config) error {
	options := []trace.TracerProviderOption{
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(config.TraceShare))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "bulrushwick"),
			attribute.String("service.instance.id", config.Instance),
			attribute.String("data_centre", config.DataCentre),
		)),
	}
	if config.TraceFile != "" {
		file, err := os.OpenFile(config.TraceFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return oops.Code("trace_file").With("file", config.TraceFile).Wrap(err)
		}
		t.closers = append(t.closers, file)
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		if err != nil {
			return oops.Code("trace_file").Wrap(err)
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	if config.TraceURL != "" {
		exporter, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpointURL(config.TraceURL))
		if err != nil {
			return oops.Code("trace_url").Wrap(err)
		}
		options = append(options, trace.WithBatcher(exporter))
	}
	t.spans = trace.NewTracerProvider(options...)
	t.tracer = tracer{t.spans.Tracer("github.com/bulrushwick/bulrushwick/entry")}
	return nil
}

// Handler serves the metrics in Prometheus' text form.
func (t *Telemetry) Handler() http.Handler { return t.reporter.HTTPHandler() }

// closeLimit bounds how long the last spans may take to be exported.
const closeLimit = 5 * time.Second

// Close exports what is left.
func (t *Telemetry) Close() error {
	var errs []error
	if t.spans != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeLimit)
		defer cancel()
		errs = append(errs, t.spans.Shutdown(ctx))
	}
	for _, c := range t.closers {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
