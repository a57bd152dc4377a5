package cost

import (
	"math"
	"time"
)

// Parameters of the estimate of a worker's speed.
const (
	// ratioHalfLife is the half-life of the weight of past observations. One of 60
	// instances observes a worker about once in 16 s and all together 4 times a second.
	// In the scenarios uneven-both and uneven-changed 10 s served sooner than 20 s, and
	// 6 s not sooner than 10 s.
	ratioHalfLife = 10 * time.Second
	// maxRatioWeight bounds the weight of the past, so that a worker in constant use
	// follows a lasting change within some ten requests.
	maxRatioWeight = 8
	// correlationTime is the time in which two observations count as one: a shared
	// machine changes its pace about every 600 ms.
	correlationTime = 600 * time.Millisecond
	// minObservationWeight is the weight of an observation right after another one.
	minObservationWeight = 0.2
	// changeDeviation, in standard deviations of one observation, and changeCount are
	// how far and how often in succession observations lie on one side of the estimate
	// until it is replaced by them.
	changeDeviation = 1.5
	changeCount     = 3
	// thresholdDeviations is how many of its own standard errors an estimate must
	// differ from the prior to count. With 2, one of 20 equal workers has a factor, a
	// small one.
	thresholdDeviations = 2
)

// ratio estimates the logarithm of measured over expected time from noisy
// observations. The zero value is ready for use.
type ratio struct {
	mean, weight float64
	at           time.Duration
	// deviating sums the weights and values of the latest observations that all lie far
	// on the same side of the mean.
	deviating       int
	deviatingSum    float64
	deviatingWeight float64
}

// decayedWeight returns the weight of the observations as of now.
func (r *ratio) decayedWeight(now time.Duration) float64 {
	if r.weight == 0 {
		return 0
	}
	return r.weight * math.Exp2(-float64(max(now-r.at, 0))/float64(ratioHalfLife))
}

// observe adds an observation; deviation is the standard deviation of one. It returns
// the difference from the estimate before, false if there was none.
func (r *ratio) observe(now time.Duration, value, deviation float64) (float64, bool) {
	before := r.decayedWeight(now)
	added := 1.0
	if before > 0 {
		added = min(max(float64(now-r.at)/float64(correlationTime), minObservationWeight), 1)
	}
	difference := value - r.mean
	known := before >= 1
	r.noteDeviation(difference, value, added, deviation, known)
	if r.deviating >= changeCount {
		*r = ratio{mean: r.deviatingSum / r.deviatingWeight, weight: r.deviatingWeight, at: now}
		return difference, known
	}
	r.weight = min(before+added, maxRatioWeight)
	r.mean += difference * added / (before + added)
	r.at = now
	return difference, known
}

// noteDeviation counts successive observations far on one side of the mean.
func (r *ratio) noteDeviation(difference, value, added, deviation float64, known bool) {
	if !known || math.Abs(difference) < changeDeviation*deviation {
		r.deviating, r.deviatingSum, r.deviatingWeight = 0, 0, 0
		return
	}
	if r.deviating > 0 && difference*(r.deviatingSum/r.deviatingWeight-r.mean) < 0 {
		r.deviating, r.deviatingSum, r.deviatingWeight = 0, 0, 0
	}
	r.deviating++
	r.deviatingSum += added * value
	r.deviatingWeight += added
}
