package cost

import (
	"math"
	"time"
)

// Parameters of the expected length of responses.
const (
	// lengthMemory is the number of responses over which lengths are averaged.
	lengthMemory = 64
	// adapterPriorCount is the number of responses of an adapter that weigh as much as
	// its route's.
	adapterPriorCount = 4
	// maxAdapters is the number of adapters whose lengths are remembered, and
	// adapterRetention how long without a response.
	maxAdapters      = 4096
	adapterRetention = time.Minute
	// priorLogLength and priorVariance describe a response of which nothing is known:
	// about 90 tokens.
	priorLogLength = 4.5
	priorVariance  = 1.5
	// priorHintVariance is the assumed variance of the logarithm of the actual length
	// over the hint, until responses tell: a hint is often off by a factor of 3.
	priorHintVariance = 1.2
	// minLengthVariance bounds the trust in an estimate, and maxMeanVariance the
	// excess of the mean over the median.
	minLengthVariance = 0.02
	maxMeanVariance   = 1.0
	// overrunShare is the expected remainder of a response that is longer than
	// expected, relative to what it has made so far: lengths have a heavy tail.
	overrunShare = 0.25
)

// spread is a moving estimate of mean and variance. The zero value is ready for use.
type spread struct {
	mean, variance float64
	count          int
	at             time.Duration
}

// add adds a value; prior is the variance before the first one.
func (s *spread) add(now time.Duration, value, priorMean, prior float64) {
	if s.count == 0 {
		s.mean, s.variance = priorMean, prior
	}
	s.count = min(s.count+1, lengthMemory)
	difference := value - s.mean
	s.mean += difference / float64(s.count)
	weight := 1 / float64(s.count+1)
	s.variance += weight * (difference*difference - s.variance)
	s.at = now
}

// routeLengths is what is known of the responses of a route.
type routeLengths struct {
	all spread
	// hints describes the logarithm of the actual length over the hint.
	hints    spread
	adapters map[string]*spread
}

// Lengths learns how long responses are. It is not safe for concurrent use.
type Lengths struct{ routes map[string]*routeLengths }

// NewLengths returns a Lengths that knows no route.
func NewLengths() *Lengths { return &Lengths{routes: make(map[string]*routeLengths)} }

// Expect returns the expected number of tokens of a response. hint is the caller's
// estimate and bound the maximum that it allows; 0 if it gives none.
func (l *Lengths) Expect(route, adapter string, hint, bound int) float64 {
	mean, variance := priorLogLength, priorVariance
	known := l.routes[route]
	if known != nil && known.all.count > 0 {
		mean, variance = known.all.mean, known.all.variance
		if a := known.adapters[adapter]; a != nil {
			share := float64(a.count) / float64(a.count+adapterPriorCount)
			mean += share * (a.mean - mean)
			variance += share * (a.variance - variance)
		}
	}
	if hint > 0 {
		hinted, hintVariance := math.Log(float64(hint)), priorHintVariance
		if known != nil && known.hints.count > 0 {
			hinted += known.hints.mean
			hintVariance = known.hints.variance
		}
		variance, hintVariance = max(variance, minLengthVariance), max(hintVariance, minLengthVariance)
		trust := variance / (variance + hintVariance)
		mean += trust * (hinted - mean)
		variance = variance * hintVariance / (variance + hintVariance)
	}
	expected := math.Exp(mean + min(variance, maxMeanVariance)/2)
	if bound > 0 {
		expected = min(expected, float64(bound))
	}
	return max(expected, 1)
}

// Observe records a complete response.
func (l *Lengths) Observe(now time.Duration, route, adapter string, hint, tokens int) {
	if tokens < 1 {
		return
	}
	known := l.routes[route]
	if known == nil {
		known = &routeLengths{adapters: make(map[string]*spread)}
		l.routes[route] = known
	}
	value := math.Log(float64(tokens))
	known.all.add(now, value, priorLogLength, priorVariance)
	if hint > 0 {
		known.hints.add(now, value-math.Log(float64(hint)), 0, priorHintVariance)
	}
	if a := known.adapter(now, adapter); a != nil {
		a.add(now, value, known.all.mean, known.all.variance)
	}
}

// adapter returns the lengths of an adapter, or nil if there is no room for it.
func (r *routeLengths) adapter(now time.Duration, name string) *spread {
	if a := r.adapters[name]; a != nil {
		return a
	}
	if len(r.adapters) >= maxAdapters {
		for other, a := range r.adapters {
			if now-a.at > adapterRetention {
				delete(r.adapters, other)
			}
		}
	}
	if len(r.adapters) >= maxAdapters {
		return nil
	}
	a := &spread{}
	r.adapters[name] = a
	return a
}

// Remaining returns the expected number of tokens that follow in a response of an
// expected length of which some are made.
func Remaining(expected float64, made int) int {
	left := max(expected-float64(made), overrunShare*float64(made), 1)
	return int(math.Ceil(left))
}
