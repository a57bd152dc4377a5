package experiment

import (
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// arrival is one request of a trace.
type arrival struct {
	at         time.Duration
	adapter    int
	rank       table.Rank
	caller     string
	dataCentre string
	tokens     int
	deadline   time.Duration
}

// callersPerRank is the number of callers that share a rank's groups.
const callersPerRank = 20

// newTrace draws the scenario's arrivals in order of time.
func newTrace(s Scenario, spec deployment.Spec, seed uint64) []arrival {
	var trace []arrival
	for _, rank := range table.Ranks {
		traffic, found := s.Traffic.Ranks[rank]
		if !found || traffic.RequestsPerSecond <= 0 {
			continue
		}
		rng := rand.New(rand.NewPCG(seed, uint64(rank)))
		popularity := newPopularity(s, seed)
		trace = append(trace, groups(s, spec, rank, traffic, popularity, rng)...)
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].at < trace[j].at })
	return trace
}

// groups draws the arrivals of one rank: groups come by a Poisson process.
func groups(s Scenario, spec deployment.Spec, rank table.Rank, traffic RankTraffic, p *popularity, rng *rand.Rand) []arrival {
	var out []arrival
	dataCentres := spec.DataCentres()
	end := seconds(s.Seconds)
	at := time.Duration(0)
	for {
		rate := traffic.RequestsPerSecond / traffic.GroupSize * floodFactor(s, rank, at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return out
		}
		request := arrival{
			at:         at,
			adapter:    p.draw(at, rng),
			rank:       rank,
			caller:     rank.String() + "-" + strconv.Itoa(rng.IntN(callersPerRank)),
			dataCentre: dataCentres[rng.IntN(len(dataCentres))],
			deadline:   millis(traffic.DeadlineMs),
		}
		for range geometric(rng, traffic.GroupSize) {
			request.tokens = min(geometric(rng, s.Traffic.MeanTokens), s.Traffic.MaxTokens)
			out = append(out, request)
			request.at += time.Duration(rng.ExpFloat64() * float64(millis(traffic.GroupGapMs)))
		}
	}
}

// geometric draws a whole number from 1 with the given mean.
func geometric(rng *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Log(1-rng.Float64())/math.Log(1-1/mean))
}

// totalRate returns the requests a second of all ranks without a flood.
func (s Scenario) totalRate() float64 {
	total := 0.0
	for _, traffic := range s.Traffic.Ranks {
		total += traffic.RequestsPerSecond
	}
	return total
}

// floodFactor returns by how much a rank's arrivals grow at that time.
func floodFactor(s Scenario, rank table.Rank, at time.Duration) float64 {
	for _, e := range s.Events {
		if e.Kind == Flood && e.Rank == rank && at >= seconds(e.From) && at < seconds(e.To) {
			return 1 + (e.Factor-1)*s.totalRate()/s.Traffic.Ranks[rank].RequestsPerSecond
		}
	}
	return 1
}

// popularity draws adapters by a Zipf law whose order changes at each shift.
type popularity struct {
	cumulative []float64
	from       []time.Duration
	orders     [][]int
}

func newPopularity(s Scenario, seed uint64) *popularity {
	p := &popularity{cumulative: make([]float64, s.Traffic.Adapters)}
	total := 0.0
	for i := range p.cumulative {
		total += math.Pow(float64(i+1), -s.Traffic.Skew)
		p.cumulative[i] = total
	}
	rng := rand.New(rand.NewPCG(seed, uint64(len(p.cumulative))))
	order := rng.Perm(s.Traffic.Adapters)
	p.from, p.orders = []time.Duration{0}, [][]int{order}
	for _, e := range s.Events {
		if e.Kind != Shift {
			continue
		}
		order = append([]int(nil), order...)
		for i := range int(float64(len(order)) * e.Share) {
			j := rng.IntN(len(order))
			order[i], order[j] = order[j], order[i]
		}
		p.from, p.orders = append(p.from, seconds(e.From)), append(p.orders, order)
	}
	return p
}

func (p *popularity) draw(at time.Duration, rng *rand.Rand) int {
	era := sort.Search(len(p.from), func(i int) bool { return p.from[i] > at }) - 1
	point := rng.Float64() * p.cumulative[len(p.cumulative)-1]
	place := min(sort.SearchFloat64s(p.cumulative, point), len(p.cumulative)-1)
	return p.orders[era][place]
}
