package capacity

import "time"

// Kind is the resource that a line measures.
type Kind string

// The kinds of resource and their units.
const (
	// Processor is CPU time, in seconds of one core.
	Processor Kind = "processor"
	// Bytes is the number of bytes sent and received at the sockets.
	Bytes Kind = "bytes"
	// Memory is heap in use, in bytes.
	Memory Kind = "memory"
	// Reads is the number of calls to the platform by the whole fleet.
	Reads Kind = "platform reads"
)

// Line is one cost of one role, measured at increasing sizes.
type Line struct {
	Role string `json:"role"`
	Cost string `json:"cost"`
	Kind Kind   `json:"kind"`
	// Driver names the units that Point.Size counts.
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Target is the size that the system is designed for.
	Target float64 `json:"target"`
	// PerSecond is how often the cost occurs per second at the target size; 1 for
	// memory.
	PerSecond float64 `json:"perSecond"`
	// Control reports whether the line counts towards the limits on control costs.
	Control bool `json:"control"`
}

// AtTarget returns the cost per second at the target size, or the total for memory.
func (l Line) AtTarget() float64 { return max(l.Fit.At(l.Target), 0) * l.PerSecond }

// Share returns the cost at the target size as a share of the limit for its kind.
func (l Line) Share() float64 {
	switch l.Kind {
	case Processor:
		return l.AtTarget() / maxProcessorCores
	case Bytes:
		return l.AtTarget() / maxBytesPerSecond
	case Reads:
		return l.AtTarget() / maxReadsPerSecond
	default:
		return l.AtTarget() / maxMemoryBytes
	}
}

// Totals returns the sum of the shares of the control lines, by kind.
func Totals(lines []Line) map[Kind]float64 {
	totals := make(map[Kind]float64)
	for _, l := range lines {
		if l.Control {
			totals[l.Kind] += l.Share()
		}
	}
	return totals
}

// measure calls cost at each size and returns the line with its points and fit.
func (l Line) measure(sizes []int, cost func(size int) (float64, error)) (Line, error) {
	for _, size := range sizes {
		value, err := cost(size)
		if err != nil {
			return Line{}, err
		}
		l.Points = append(l.Points, Point{Size: float64(size), Value: value})
	}
	l.Fit = NewFit(l.Points)
	return l, nil
}

// timingRuns is the number of timing runs, of which the fastest counts.
const timingRuns = 3

// timePerCall returns the duration of one call of work in seconds: the mean of the
// fastest of timingRuns runs, each of which lasts at least minDuration.
func timePerCall(minDuration time.Duration, work func()) float64 {
	best := time.Duration(0)
	for range timingRuns {
		calls := 0
		start := time.Now()
		for time.Since(start) < minDuration || calls == 0 {
			work()
			calls++
		}
		if perCall := time.Since(start) / time.Duration(calls); best == 0 || perCall < best {
			best = perCall
		}
	}
	return best.Seconds()
}

// retainedHeap calls build and returns the heap, in bytes, that its result keeps in
// use, with the result.
func retainedHeap[T any](build func() (T, error)) (float64, T, error) {
	heapBefore := heapInUse()
	kept, err := build()
	return heapInUse() - heapBefore, kept, err
}
