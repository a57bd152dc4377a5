package capacity

import "time"

// Kind is what a line spends.
type Kind string

// The kinds of cost.
const (
	// Processor is seconds of one core.
	Processor Kind = "processor"
	// Bytes is bytes sent and received at the sockets.
	Bytes Kind = "bytes"
	// Memory is bytes of heap.
	Memory Kind = "memory"
	// Reads is calls to the platform by the whole fleet.
	Reads Kind = "platform reads"
)

// Line is one cost of one role over growing sizes.
type Line struct {
	Role string `json:"role"`
	Cost string `json:"cost"`
	Kind Kind   `json:"kind"`
	// Driver is what Size counts.
	Driver string  `json:"driver"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Target is the size that the system is built towards.
	Target float64 `json:"target"`
	// PerSecond is how often the cost is met at that size; 1 for memory.
	PerSecond float64 `json:"perSecond"`
	// Control says that the line counts towards the bounds for control.
	Control bool `json:"control"`
}

// AtTarget returns the cost at the target size, a second; for memory in all.
func (l Line) AtTarget() float64 { return max(l.Fit.At(l.Target), 0) * l.PerSecond }

// Share returns the cost at the target size as a share of the kind's bound.
func (l Line) Share() float64 {
	switch l.Kind {
	case Processor:
		return l.AtTarget() / boundProcessor
	case Bytes:
		return l.AtTarget() / boundBytes
	case Reads:
		return l.AtTarget() / boundReads
	default:
		return l.AtTarget() / boundMemory
	}
}

// Totals adds the shares of the control lines, by kind.
func Totals(lines []Line) map[Kind]float64 {
	totals := make(map[Kind]float64)
	for _, l := range lines {
		if l.Control {
			totals[l.Kind] += l.Share()
		}
	}
	return totals
}

// measure fits a line to what cost returns at each size.
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

// timedRuns is the number of runs of which the fastest counts.
const timedRuns = 3

// timed returns the seconds of one call of work, the least of a few runs that
// last at least for length each.
func timed(length time.Duration, work func()) float64 {
	best := time.Duration(0)
	for range timedRuns {
		calls := 0
		start := time.Now()
		for time.Since(start) < length || calls == 0 {
			work()
			calls++
		}
		if each := time.Since(start) / time.Duration(calls); best == 0 || each < best {
			best = each
		}
	}
	return best.Seconds()
}

// held returns the bytes of heap that what build returns keeps in use.
func held[T any](build func() (T, error)) (float64, T, error) {
	before := heap()
	kept, err := build()
	return heap() - before, kept, err
}
