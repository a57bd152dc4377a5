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

// reportInterval is how often tally reports its values to the Prometheus registry.
const reportInterval = time.Second

// Config configures the spans and where they are exported to.
type Config struct {
	// Instance and DataCentre are resource attributes of every span.
	Instance   string
	DataCentre string
	// TraceFile is the file that spans are appended to as JSON lines; empty for none.
	TraceFile string
	// TraceURL is the collector that receives spans by OTLP over HTTP; empty for none.
	TraceURL string
	// TraceShare is the fraction of the traces begun by this instance that are
	// recorded, from 0 to 1. The sampled flag of a caller's traceparent takes
	// precedence.
	TraceShare float64
}

// Telemetry records the metrics and spans of one instance. It is safe for
// concurrent use.
type Telemetry struct {
	metrics  *metrics
	reporter prometheus.Reporter
	spans    *trace.TracerProvider
	tracer   tracer
	closers  []io.Closer
}

// New returns a Telemetry, which must be closed. Without a trace file and a trace
// URL it records metrics only.
func New(config Config) (*Telemetry, error) {
	registry := newRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bulrushwick",
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		// tally's metrics about its own scopes say nothing about the instance.
		OmitCardinalityMetrics: true,
	}, reportInterval)
	t := &Telemetry{metrics: newMetrics(scope), reporter: reporter, closers: []io.Closer{closer}}
	if config.TraceFile == "" && config.TraceURL == "" {
		return t, nil
	}
	if err := t.startTracing(config); err != nil {
		return nil, errors.Join(err, t.Close())
	}
	return t, nil
}

// startTracing sets up the sampler and the span exporters.
func (t *Telemetry) startTracing(config Config) error {
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

// Handler returns the handler that serves the metrics in Prometheus' text form.
func (t *Telemetry) Handler() http.Handler { return t.reporter.HTTPHandler() }

// closeTimeout bounds the export of the remaining spans by Close.
const closeTimeout = 5 * time.Second

// Close exports the remaining spans and closes the trace file.
func (t *Telemetry) Close() error {
	var errs []error
	if t.spans != nil {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		errs = append(errs, t.spans.Shutdown(ctx))
	}
	for _, c := range t.closers {
		errs = append(errs, c.Close())
	}
	return errors.Join(errs...)
}
