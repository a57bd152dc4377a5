// Package owner serves the requests of the workers that this instance owns:
// it queues them, orders loads and dispatches them to the endpoint.
package owner
