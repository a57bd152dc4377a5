package routes

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"
)

// request is one request and the state of its processing.
type request struct {
	at       time.Duration
	instance int
	route    string
	adapter  string
	prompt   int
	// shared is the size of the part of the prompt that requests for the same adapter
	// share.
	shared, events, hint int
	// unprocessed is the number of prompt tokens that the engine has yet to process,
	// and made the number of response tokens that it has made.
	unprocessed, made int
	firstAt, lastAt   time.Duration
	worker            *worker
	attempt           attempt
}

func (r *request) outputTokens() int { return r.events * tokensPerEvent }

// newTrace draws the arrivals of a scenario.
func newTrace(s Scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	popularity := zipf(s.Adapters, s.Skew)
	var trace []*request
	for at := time.Duration(0); at < seconds(s.Seconds); at += seconds(rng.ExpFloat64() / s.RequestsPerSecond) {
		r := &request{at: at, instance: rng.IntN(s.Instances), route: "short", shared: s.SharedTokens}
		r.adapter = "a" + strconv.Itoa(sort.SearchFloat64s(popularity, rng.Float64()))
		r.prompt = min(max(int(s.PromptTokens*math.Exp(s.PromptSpread*rng.NormFloat64())), s.SharedTokens+1), s.MaxPromptTokens)
		median := s.ShortEvents
		if rng.Float64() < s.LongShare {
			r.route, median = "long", s.LongEvents
		}
		r.events = max(int(math.Round(median*math.Exp(s.EventSpread*rng.NormFloat64()))), 1)
		if s.HintSpread > 0 {
			r.hint = max(int(float64(r.outputTokens())*math.Exp(s.HintSpread*rng.NormFloat64())), 1)
		}
		trace = append(trace, r)
	}
	return trace
}

// zipf returns the cumulative shares of names by rank.
func zipf(count int, skew float64) []float64 {
	cumulative := make([]float64, count)
	sum := 0.0
	for i := range cumulative {
		sum += math.Pow(float64(i+1), -skew)
		cumulative[i] = sum
	}
	for i := range cumulative {
		cumulative[i] /= sum
	}
	return cumulative
}
