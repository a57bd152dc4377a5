// Package forward carries a request from the instance that received it to the
// owner of its worker, and the answer back as a stream.
//
// A control call is unary twirp; an answer may be a stream, so a forwarded
// request travels over HTTP on a listener that callers can't reach.
package forward
