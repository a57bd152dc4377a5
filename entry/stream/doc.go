// Package stream passes an engine's server-sent events on to the caller only as
// far as they are the request's own answer, and resumes a stream that broke
// where it left off.
package stream
