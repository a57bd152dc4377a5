// Package peer exchanges heartbeats and tables with the other instances.
package peer
