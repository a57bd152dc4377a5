// Package peer carries the control calls between instances: heartbeats with
// member reports and worker records, table synchronisation, lease votes, and
// loans of load permits.
package peer
