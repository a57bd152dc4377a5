// Package stream relays an engine's server-sent events to the caller. It checks
// that each event belongs to the response of the request, and resumes a stream
// that failed after the last event delivered.
package stream
