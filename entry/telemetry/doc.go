// Package telemetry records the metrics of an instance and traces each request
// across its hops.
//
// Metrics are exposed in Prometheus' text form by way of tally; their label sets
// don't grow with the number of adapters, callers or workers. Spans are exported by
// OpenTelemetry to a file of JSON lines or to a collector. The methods by which a
// package reports its work do nothing on a nil Telemetry or Hop, so that the
// package need not know whether it is observed.
package telemetry
