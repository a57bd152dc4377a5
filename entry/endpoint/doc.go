// Package endpoint is the client of endpoints: model engines and plain services. It
// sends the requests of callers, and to engines control commands (orders).
package endpoint
