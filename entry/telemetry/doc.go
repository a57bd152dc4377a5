// Package telemetry counts what an instance does and traces each request over
// its hops.
//
// Metrics go through tally to a Prometheus page, with label sets that don't
// grow with adapters, callers or workers. Spans go through OpenTelemetry to a
// file of JSON lines or to a collector. Every method of a nil Telemetry does
// nothing, so that a slice need not know whether it is observed.
package telemetry
