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

// callersPerRank is the number of callers among which a rank's groups are
// distributed.
const callersPerRank = 20

// newTrace generates the scenario's arrivals, sorted by time.
func newTrace(s Scenario, spec deployment.Spec, seed uint64) []arrival {
	var trace []arrival
	for _, rank := range table.Ranks {
		traffic, found := s.Traffic.Ranks[rank]
		if !found || traffic.RequestsPerSecond <= 0 {
			continue
		}
		rng := rand.New(rand.NewPCG(seed, uint64(rank)))
		popularity := newPopularity(s, seed)
		trace = append(trace, drawGroups(s, spec, rank, traffic, popularity, rng)...)
	}
	sort.SliceStable(trace, func(i, j int) bool { return trace[i].at < trace[j].at })
	return trace
}

// drawGroups generates the arrivals of one rank. Groups arrive as a Poisson
// process.
func drawGroups(s Scenario, spec deployment.Spec, rank table.Rank, traffic RankTraffic, p *popularity, rng *rand.Rand) []arrival {
	var arrivals []arrival
	dataCentres := spec.DataCentres()
	end := seconds(s.Seconds)
	at := time.Duration(0)
	for {
		rate := traffic.RequestsPerSecond / traffic.GroupSize * floodFactor(s, rank, at)
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return arrivals
		}
		next := arrival{
			at:         at,
			adapter:    p.draw(at, rng),
			rank:       rank,
			caller:     rank.String() + "-" + strconv.Itoa(rng.IntN(callersPerRank)),
			dataCentre: dataCentres[rng.IntN(len(dataCentres))],
			deadline:   millis(traffic.DeadlineMs),
		}
		for range geometric(rng, traffic.GroupSize) {
			next.tokens = min(geometric(rng, s.Traffic.MeanTokens), s.Traffic.MaxTokens)
			arrivals = append(arrivals, next)
			next.at += time.Duration(rng.ExpFloat64() * float64(millis(traffic.GroupGapMs)))
		}
	}
}

// geometric draws from a geometric distribution on 1, 2, ... with the given mean.
func geometric(rng *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Log(1-rng.Float64())/math.Log(1-1/mean))
}

// totalRate returns the arrival rate of all ranks without a flood, in requests
// per second.
func (s Scenario) totalRate() float64 {
	total := 0.0
	for _, traffic := range s.Traffic.Ranks {
		total += traffic.RequestsPerSecond
	}
	return total
}

// floodFactor returns the factor by which a flood multiplies a rank's arrival rate
// at a given time; 1 without a flood.
func floodFactor(s Scenario, rank table.Rank, at time.Duration) float64 {
	for _, event := range s.Events {
		if event.Kind == Flood && event.Rank == rank && at >= seconds(event.From) && at < seconds(event.To) {
			return 1 + (event.Factor-1)*s.totalRate()/s.Traffic.Ranks[rank].RequestsPerSecond
		}
	}
	return 1
}

// popularity draws adapters from a Zipf distribution. Which adapter has which
// popularity position changes at each Shift event.
type popularity struct {
	cumulative  []float64
	orderStarts []time.Duration
	orders      [][]int
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
	p.orderStarts, p.orders = []time.Duration{0}, [][]int{order}
	for _, event := range s.Events {
		if event.Kind != Shift {
			continue
		}
		order = append([]int(nil), order...)
		for i := range int(float64(len(order)) * event.Share) {
			j := rng.IntN(len(order))
			order[i], order[j] = order[j], order[i]
		}
		p.orderStarts, p.orders = append(p.orderStarts, seconds(event.From)), append(p.orders, order)
	}
	return p
}

// draw returns the number of an adapter drawn with its popularity at a given time.
func (p *popularity) draw(at time.Duration, rng *rand.Rand) int {
	current := sort.Search(len(p.orderStarts), func(i int) bool { return p.orderStarts[i] > at }) - 1
	target := rng.Float64() * p.cumulative[len(p.cumulative)-1]
	position := min(sort.SearchFloat64s(p.cumulative, target), len(p.cumulative)-1)
	return p.orders[current][position]
}
