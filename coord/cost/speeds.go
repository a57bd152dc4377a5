package cost

import (
	"math"
	"time"
)

// Factors are the times that work is expected to take at a worker relative to the
// typical worker of its service; 1 where nothing significant is known.
type Factors struct {
	// Prompt is that of processing prompts, Step that of a step of the batch, Load that
	// of loading an adapter.
	Prompt, Step, Load float64
}

// Neutral are the factors of a worker of which nothing is known.
func Neutral() Factors { return Factors{Prompt: 1, Step: 1, Load: 1} }

// Bounds and intervals of the learned factors.
const (
	// maxLogRatio bounds one observation: beyond a factor of 8 something other than
	// the worker's speed was measured.
	maxLogRatio = 2.0794
	// maxLogFactor bounds a factor to a quarter or four times the typical time.
	maxLogFactor = 1.3863
	// refreshInterval is how long computed factors are used; observations of one
	// instance are some ten per second.
	refreshInterval = 100 * time.Millisecond
	// maxRefreshInterval is how long they are used if nothing is observed: the weight
	// of past observations decays.
	maxRefreshInterval = time.Second
	// priorDeviation is the assumed standard deviation of the logarithm of one
	// observation, and minDeviation its lower bound.
	priorDeviation = 0.4
	minDeviation   = 0.05
	// deviationWeight is the weight of the newest observation in the standard
	// deviation.
	deviationWeight = 0.02
)

// kind selects one of the learned times.
type kind uint8

const (
	promptTime kind = iota
	stepTime
	loadTime
	kinds
)

// workerSpeed is what is known of one worker.
type workerSpeed struct {
	id, service string
	ratios      [kinds]ratio
	factors     Factors
	// peers is what the requests of other instances showed.
	peers  Estimate
	parts  kept
	loaded kept
}

// serviceSpeed is what the workers of a service have in common.
type serviceSpeed struct {
	// variances holds the variance of single observations, centers the mean over the
	// workers of their estimates.
	variances, centers [kinds]float64
	workers            map[string]*workerSpeed
	// known is the number of workers with own observations.
	known int
	// listed holds the workers by the position at which they were last asked for, to
	// find them without a search.
	listed      []*workerSpeed
	refreshedAt time.Duration
	stale       bool
	// tokenTime averages the time per token of responses, in seconds, loadTimes the
	// logarithm of load times in seconds, without and with a recent load of the same
	// adapter at the same worker.
	tokenTime average
	loadTimes [2]average
}

// average is a moving average with a bounded memory. The zero value is ready for use.
type average struct {
	value float64
	count int
}

// add adds a value that has at least the weight 1/memory.
func (a *average) add(value float64, memory int) {
	a.count = min(a.count+1, memory)
	a.value += (value - a.value) / float64(a.count)
}

// Speeds learns the speeds of workers. It is not safe for concurrent use.
type Speeds struct {
	services map[string]*serviceSpeed
	workers  map[string]*workerSpeed
}

// NewSpeeds returns a Speeds that knows no worker.
func NewSpeeds() *Speeds {
	return &Speeds{services: make(map[string]*serviceSpeed), workers: make(map[string]*workerSpeed)}
}

// entry returns the state of a worker and of its service.
func (s *Speeds) entry(service, id string) (*serviceSpeed, *workerSpeed) {
	all := s.services[service]
	if all == nil {
		all = &serviceSpeed{workers: make(map[string]*workerSpeed)}
		for k := range all.variances {
			all.variances[k] = priorDeviation * priorDeviation
		}
		s.services[service] = all
	}
	w := s.workers[id]
	if w == nil || w.service != service {
		w = &workerSpeed{id: id, service: service, factors: Neutral()}
		s.workers[id] = w
		all.workers[id] = w
	}
	return all, w
}

// observe adds one observation of a worker.
func (s *Speeds) observe(now time.Duration, service, id string, k kind, measured, expected time.Duration) {
	if measured <= 0 || expected <= 0 {
		return
	}
	s.observeLog(now, service, id, k, math.Log(float64(measured)/float64(expected)))
}

func (s *Speeds) observeLog(now time.Duration, service, id string, k kind, value float64) {
	all, w := s.entry(service, id)
	value = min(max(value, all.centers[k]-maxLogRatio), all.centers[k]+maxLogRatio)
	difference, known := w.ratios[k].observe(now, value, math.Sqrt(all.variances[k]))
	if known {
		all.variances[k] += deviationWeight * (difference*difference - all.variances[k])
		all.variances[k] = max(all.variances[k], minDeviation*minDeviation)
	}
	all.stale = true
}

// ObservePrompt records the time from sending a request until its first event, and the
// time that was expected of a typical worker.
func (s *Speeds) ObservePrompt(now time.Duration, service, id string, measured, expected time.Duration) {
	s.observe(now, service, id, promptTime, measured, expected)
}

// ObserveStep records the shortest time between two events of a response, and the time
// that a step of the batch was expected to take.
func (s *Speeds) ObserveStep(now time.Duration, service, id string, measured, expected time.Duration) {
	s.observe(now, service, id, stepTime, measured, expected)
}

// ObserveResponse records the mean time per token of a response.
func (s *Speeds) ObserveResponse(service, id string, perToken time.Duration) {
	all, _ := s.entry(service, id)
	value := perToken.Seconds()
	if all.tokenTime.count > 0 {
		value = min(value, maxResponseRatio*all.tokenTime.value)
	}
	all.tokenTime.add(value, averageMemory)
}

// maxResponseRatio bounds the time of one response relative to the average: events are
// timed when the caller takes them, so a slow caller looks like a slow worker.
const maxResponseRatio = 4

// averageMemory is the number of responses over which times of a service are averaged.
const averageMemory = 200

// ObserveLoad records how long a load took that the worker had not begun before.
func (s *Speeds) ObserveLoad(now time.Duration, service, id, adapter string, measured time.Duration) {
	if measured <= 0 {
		return
	}
	all, w := s.entry(service, id)
	class := 0
	if w.loaded.has(now, PartHash(adapter), loadedRetention) {
		class = 1
	}
	value, typical := math.Log(measured.Seconds()), &all.loadTimes[class]
	typical.add(value, averageMemory)
	s.observeLog(now, service, id, loadTime, value-typical.value)
	w.loaded.add(now, PartHash(adapter))
}

// loadedRetention is how long a worker is expected to keep a copy of an adapter in host
// memory.
const loadedRetention = time.Minute

// RecordParts records that a worker has processed parts of a prompt.
func (s *Speeds) RecordParts(now time.Duration, service, id string, parts []Part) {
	_, w := s.entry(service, id)
	for _, p := range parts {
		w.parts.add(now, p.Hash)
	}
}

// View gives access to what is known of the workers of one service at one time.
type View struct {
	now     time.Duration
	service *serviceSpeed
}

// View returns the current figures of a service.
func (s *Speeds) View(now time.Duration, service string) View {
	all := s.services[service]
	if all != nil && all.refreshDue(now) {
		all.refresh(now)
	}
	return View{now: now, service: all}
}

// RefreshDue reports whether the next View computes the factors of a service anew. What
// peers have observed should be set before.
func (s *Speeds) RefreshDue(now time.Duration, service string) bool {
	all := s.services[service]
	return all == nil || all.refreshDue(now)
}

func (a *serviceSpeed) refreshDue(now time.Duration) bool {
	return a.stale && now-a.refreshedAt >= refreshInterval || now-a.refreshedAt >= maxRefreshInterval
}

// SetPeers sets what other instances observed of a worker.
func (s *Speeds) SetPeers(service, id string, peers Estimate) {
	if peers.Precision <= 0 && s.workers[id] == nil {
		return
	}
	all, w := s.entry(service, id)
	if w.peers != peers {
		w.peers, all.stale = peers, true
	}
}

// Observed returns what own requests showed of a worker, to be sent to peers, and whether
// it is new. It is empty if it is too little: an instance that knows few workers does
// not know the typical one.
func (s *Speeds) Observed(now time.Duration, id string) (observed Estimate, isNew bool) {
	w := s.workers[id]
	if w == nil {
		return Estimate{}, false
	}
	all := s.services[w.service]
	if all.known < minKnownWorkers {
		return Estimate{}, false
	}
	observed = all.estimate(now, w, promptTime).Plus(all.estimate(now, w, stepTime))
	if observed.Precision < minPrecision {
		return Estimate{}, false
	}
	return observed, now-max(w.ratios[promptTime].at, w.ratios[stepTime].at) <= newTime
}

// EachNew calls each with the workers of which something new was observed.
func (s *Speeds) EachNew(now time.Duration, each func(id string, observed Estimate)) {
	for id := range s.workers {
		if observed, isNew := s.Observed(now, id); isNew {
			each(id, observed)
		}
	}
}

// Bounds of what is sent to peers.
const (
	minKnownWorkers = 8
	// minPrecision is that of an estimate with a standard error of a factor of 2.
	minPrecision = 2
	// newTime is how long an observation is sent though no request is in progress at the
	// worker: a heartbeat interval and a margin.
	newTime = 300 * time.Millisecond
)

// Worker returns a worker's factors, and the number of prompt tokens that it has
// processed already for a prompt that begins with these parts. position is that of the
// worker among those that are asked for, and should be the same each time.
func (v View) Worker(position int, id string, parts []Part) (Factors, int) {
	if v.service == nil {
		return Neutral(), 0
	}
	w := v.service.find(position, id)
	if w == nil {
		return Neutral(), 0
	}
	return w.factors, w.parts.prefixTokens(v.now, parts)
}

// find returns a worker, or nil if nothing is known of it.
func (a *serviceSpeed) find(position int, id string) *workerSpeed {
	if position < len(a.listed) && a.listed[position] != nil && a.listed[position].id == id {
		return a.listed[position]
	}
	if position >= len(a.listed) {
		a.listed = append(a.listed, make([]*workerSpeed, position+1-len(a.listed))...)
	}
	w := a.workers[id]
	a.listed[position] = w
	return w
}

// TokenTime returns the mean time per token of the responses of the service; 0 if it is
// unknown.
func (v View) TokenTime() time.Duration {
	if v.service == nil || v.service.tokenTime.count < minTokenTimes {
		return 0
	}
	return time.Duration(v.service.tokenTime.value * float64(time.Second))
}

// minTokenTimes is the number of responses from which their mean time counts.
const minTokenTimes = 8

// PromptRatio returns the mean over the workers of the measured over the expected time
// until the first event; 1 if none is known.
func (v View) PromptRatio() float64 {
	if v.service == nil {
		return 1
	}
	return math.Exp(v.service.centers[promptTime])
}

// Extremes returns the lowest and the highest factors of the workers of the service.
func (v View) Extremes() (lowest, highest Factors) {
	lowest, highest = Neutral(), Neutral()
	if v.service == nil {
		return lowest, highest
	}
	for _, w := range v.service.workers {
		f := w.factors
		lowest = Factors{Prompt: min(lowest.Prompt, f.Prompt), Step: min(lowest.Step, f.Step), Load: min(lowest.Load, f.Load)}
		highest = Factors{Prompt: max(highest.Prompt, f.Prompt), Step: max(highest.Step, f.Step), Load: max(highest.Load, f.Load)}
	}
	return lowest, highest
}

// Services returns the names of the services of which something is known.
func (s *Speeds) Services() []string {
	names := make([]string, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	return names
}

// Forget drops what is known of a worker that is gone or restarted.
func (s *Speeds) Forget(id string) {
	if w := s.workers[id]; w != nil {
		delete(s.workers, id)
		delete(s.services[w.service].workers, id)
		s.services[w.service].listed = nil
	}
}

// refresh computes the centers and factors. Each worker counts once in a center,
// however many requests it serves, so that the factors do not depend on where requests
// were sent.
func (a *serviceSpeed) refresh(now time.Duration) {
	a.refreshedAt, a.stale, a.known = now, false, 0
	var sums, weights [kinds]float64
	for _, w := range a.workers {
		if w.ratios[stepTime].weight > 0 || w.ratios[promptTime].weight > 0 {
			a.known++
		}
		for k := range w.ratios {
			weight := w.ratios[k].decayedWeight(now)
			weight /= 1 + weight
			sums[k] += weight * w.ratios[k].mean
			weights[k] += weight
		}
	}
	for k := range sums {
		if weights[k] > 0 {
			a.centers[k] = sums[k] / weights[k]
		}
	}
	for _, w := range a.workers {
		w.factors = a.factors(now, w)
	}
}

// estimate returns what own requests showed of the worker's time of one kind relative to
// the typical worker, which is uncertain while some workers are unknown.
func (a *serviceSpeed) estimate(now time.Duration, w *workerSpeed, k kind) Estimate {
	weight := w.ratios[k].decayedWeight(now)
	if weight == 0 {
		return Estimate{}
	}
	unknown := max(1-float64(a.known)/float64(max(len(a.listed), 1)), 0)
	variance := a.variances[k]/weight + workerVariance*unknown/float64(max(a.known, 1))
	return NewEstimate(w.ratios[k].mean-a.centers[k], 1/variance)
}

// factors returns the factors of a worker. A slow machine is slow at prompts and at
// steps, so both are first taken as estimates of one factor; what one of them differs
// from it by counts if that is significant too.
func (a *serviceSpeed) factors(now time.Duration, w *workerSpeed) Factors {
	prompt, step, load := a.estimate(now, w, promptTime), a.estimate(now, w, stepTime), a.estimate(now, w, loadTime)
	machine := prompt.Plus(step).Plus(w.peers)
	mean := machine.Mean()
	common := significant(mean, a.reliable(machine, stepTime))
	return Factors{
		Prompt: factor(common + significant(prompt.Mean()-mean, a.reliable(prompt, promptTime))),
		Step:   factor(common + significant(step.Mean()-mean, a.reliable(step, stepTime))),
		Load:   factor(significant(load.Mean(), a.reliable(load, loadTime))),
	}
}

// reliable returns the precision without that of one observation, which may be an
// outlier, and with the deviation that more observations do not reduce.
func (a *serviceSpeed) reliable(e Estimate, k kind) float64 {
	precision := e.Precision - 1/a.variances[k]
	if precision <= 0 {
		return 0
	}
	return 1 / (1/precision + loadDeviation*loadDeviation)
}

// loadDeviation is the standard deviation of estimates that uneven load causes: steps
// take longer while prompts of other requests are processed. Without it 44 % of equal
// workers had a factor in the scenario equal-workers after 35 s.
const loadDeviation = 0.06

// workerVariance is the assumed variance of the logarithm of the factors of the workers
// of a service, of time factors from 0.7 to 1.7.
const workerVariance = 0.07

// factor returns the factor of a logarithm.
func factor(log float64) float64 {
	if log == 0 {
		return 1
	}
	return math.Exp(min(max(log, -maxLogFactor), maxLogFactor))
}
