// Package ingress takes callers' requests: it parses them, resolves the route
// and the rank, chooses a worker and relays the answer.
package ingress
