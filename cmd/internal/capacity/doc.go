// Package capacity measures the cost of each role of an entry instance at
// increasing sizes, fits a line to the measurements and extrapolates the cost to
// the target size.
//
// All instances run in one process over loopback, and the results are those of the
// machine that runs it.
package capacity
