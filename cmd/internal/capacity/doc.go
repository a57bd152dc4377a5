// Package capacity measures what each role of an entry instance costs at
// growing sizes, fits a line to it and works out the cost at the target size.
//
// Everything runs in this process over loopback; the figures are of this
// machine.
package capacity
