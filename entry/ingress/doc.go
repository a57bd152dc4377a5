// Package ingress handles callers' requests: it parses them, resolves the route
// and the rank, chooses a worker, retries failed attempts and relays the
// response.
package ingress
