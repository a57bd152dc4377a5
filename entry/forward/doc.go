// Package forward sends a request from the instance that received it to the
// instance that owns its worker or its idempotency key, and streams the
// response back.
//
// Control calls use unary twirp. A response may be a stream, so forwarded
// requests use plain HTTP, on a listener that callers can't reach.
package forward
