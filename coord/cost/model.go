package cost

import (
	"math"
	"slices"
	"time"
)

// TokensPerEvent is the number of tokens in one event of a response, as the operators
// specify the engines.
const TokensPerEvent = 3

// Times of a step of the batch on a typical worker, as the operators specify the
// engines. Only their proportions matter: workers are compared with each other.
const (
	stepBase       = 8200 * time.Microsecond
	stepPerRequest = 18100 * time.Nanosecond
	stepPerKToken  = 34500 * time.Nanosecond
)

// StepTime returns the expected time of a step with this number of requests and of
// tokens in the KV memory.
func StepTime(running, contextTokens int) time.Duration {
	return stepBase + time.Duration(running)*stepPerRequest + time.Duration(contextTokens)*stepPerKToken/1000
}

// chunkTokens is the number of prompt tokens that an engine processes between two steps
// of the batch.
const chunkTokens = 1024

// FirstTime returns the expected time until the first event of a request: its prompt
// tokens and those that wait before it are processed in chunks, with a step of the batch
// after each.
func FirstTime(tokensPerMS float64, promptTokens, running, contextTokens int) time.Duration {
	steps := 1 + promptTokens/chunkTokens
	return time.Duration(float64(promptTokens)/tokensPerMS*float64(time.Millisecond)) + time.Duration(steps)*StepTime(running, contextTokens)
}

// Attempt follows one attempt of a request at a worker.
type Attempt struct {
	Service, Worker string
	// Parts are the parts of the prompt that other requests may share.
	Parts []Part
	// SentAt is when the request was sent, RTT the round-trip time to the worker.
	SentAt, RTT time.Duration
	// First is the time until the first event that is expected of a typical worker at
	// the expected pace, 0 if it can't be compared; Step is that of a step.
	First, Step time.Duration
	// Estimate is the time until the first event that the choice was based on.
	Estimate time.Duration
	// firstAt and lastAt are the times of the first and the latest event.
	firstAt, lastAt time.Duration
	events          int
	gaps            [maxGaps]time.Duration
	gapCount        int
}

// Bounds of the gaps between events that are compared.
const (
	maxGaps = 24
	minGaps = 6
	// gapQuantile selects the gap that is taken for the time of a step: below the
	// median, because prompts of other requests are processed between some steps, and
	// above the lowest, which a delayed event before it shortens.
	gapQuantile = 0.2
)

// Tokens returns the number of tokens received.
func (a *Attempt) Tokens() int { return a.events * TokensPerEvent }

// add counts events that arrived together, and returns whether they are the first ones.
func (a *Attempt) add(now time.Duration, count int) bool {
	if count < 1 {
		return false
	}
	isFirst := a.events == 0
	a.events += count
	if isFirst {
		a.firstAt = now
	} else if count == 1 && a.gapCount < maxGaps {
		a.gaps[a.gapCount] = now - a.lastAt
		a.gapCount++
	}
	a.lastAt = now
	return isFirst
}

// Model holds all learned figures of an instance. It is not safe for concurrent use.
type Model struct {
	Speeds  *Speeds
	Lengths *Lengths
	Shared  *Shared
	// estimateError averages the absolute logarithm of measured over estimated time
	// until the first event.
	estimateError average
}

// NewModel returns a Model that has learned nothing.
func NewModel() *Model {
	return &Model{Speeds: NewSpeeds(), Lengths: NewLengths(), Shared: NewShared()}
}

// Events records the arrival of events of a response.
func (m *Model) Events(now time.Duration, a *Attempt, count int) {
	if !a.add(now, count) {
		return
	}
	measured := now - a.SentAt - a.RTT
	if a.First >= minCompared {
		m.Speeds.ObservePrompt(now, a.Service, a.Worker, measured, a.First)
	}
	m.Speeds.RecordParts(now, a.Service, a.Worker, a.Parts)
	if a.Estimate > 0 && measured > 0 {
		ratio := float64(measured+a.RTT) / float64(a.Estimate)
		m.estimateError.add(math.Abs(math.Log(ratio)), averageMemory)
	}
}

// minCompared is the shortest expected time that a measurement is compared with:
// shorter ones drown in the delays of the network and of steps.
const minCompared = 20 * time.Millisecond

// Ended records the end of a response that was read completely.
func (m *Model) Ended(now time.Duration, a *Attempt, route, adapter string, hint int) {
	if a.events == 0 {
		return
	}
	m.Lengths.Observe(now, route, adapter, hint, a.Tokens())
	if a.events >= minGaps {
		m.Speeds.ObserveResponse(a.Service, a.Worker, (a.lastAt-a.firstAt)/time.Duration((a.events-1)*TokensPerEvent))
	}
	if a.gapCount >= minGaps && a.Step > 0 {
		gaps := a.gaps[:a.gapCount]
		slices.Sort(gaps)
		m.Speeds.ObserveStep(now, a.Service, a.Worker, gaps[int(gapQuantile*float64(len(gaps)))], a.Step)
	}
}

// View returns the current figures of the workers of a service. ids are the workers, in
// the order in which they are asked for.
func (m *Model) View(now time.Duration, service string, count int, id func(int) string) View {
	if m.Speeds.RefreshDue(now, service) {
		for i := range count {
			m.Speeds.SetPeers(service, id(i), m.Shared.Sum(now, id(i)))
		}
	}
	return m.Speeds.View(now, service)
}

// Forget drops what is known of a worker that is gone or restarted.
func (m *Model) Forget(id string) {
	m.Speeds.Forget(id)
	m.Shared.Forget(id)
}

// EstimateError returns the mean factor by which the time until the first event differs
// from the estimate, in either direction; 1 if none was compared.
func (m *Model) EstimateError() float64 { return math.Exp(m.estimateError.value) }
