package fairshare_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/balance"
	"github.com/bulrushwick/bulrushwick/coord/fairshare"
)

// The simulated deployment: some instances dispatch to workers that run a batch each and
// queue the rest by priority, as engines do. Instances learn of each other's requests with
// heartbeats.
const (
	simInstances = 6
	simBatch     = 16
	simStep      = time.Millisecond
	simHeartbeat = 250 * time.Millisecond
	simOutput    = 100
	floodBegins  = 10 * time.Second
	floodEnds    = 16 * time.Second
	simEnds      = 20 * time.Second
)

// simSource sends requests of one organisation and kind.
type simSource struct {
	organisation     string
	rank             int
	perSecond        float64
	target, deadline time.Duration
	prompt           int
	// flood multiplies the rate between floodBegins and floodEnds.
	flood float64
}

// simulation is one run. Without organisations all requests belong to none.
type simulation struct {
	workers       int
	lostWorkers   int
	organisations bool
	weights       map[string]float64
	// asBefore turns all rules but the one by estimate off.
	asBefore bool
	sources  []simSource
	seed     uint64
}

type simRequest struct {
	source             *simSource
	arrived, began     time.Duration
	ends               time.Duration
	instance, priority int
	work               time.Duration
}

type simWorker struct {
	running, queue []*simRequest
}

type simInstance struct {
	ledger   *fairshare.Ledger
	outcomes *fairshare.Outcomes
	// own counts this instance's requests by worker, waiting their prompt tokens.
	own, waiting []int
	// published is what the peers know of this instance.
	published                     map[string]fairshare.Use
	publishedOwn, publishedTokens []int
}

// gain is what the requests of a source that arrived from floodBegins on brought their
// callers: 1 for a response that begins within the target, half if before the deadline.
type gain struct{ offered, value float64 }

func (g gain) rate() float64 { return g.value / g.offered }

type run struct {
	simulation
	instances []*simInstance
	servers   []*simWorker
	gains     []gain
	random    *rand.Rand
}

// run returns the gains by source.
func (s simulation) run() []gain {
	r := &run{simulation: s, gains: make([]gain, len(s.sources)), random: rand.New(rand.NewPCG(s.seed, 1))}
	for range simInstances {
		r.instances = append(r.instances, &simInstance{ledger: fairshare.NewLedger(), outcomes: &fairshare.Outcomes{}, own: make([]int, s.workers), waiting: make([]int, s.workers), publishedOwn: make([]int, s.workers), publishedTokens: make([]int, s.workers)})
	}
	for range s.workers {
		r.servers = append(r.servers, &simWorker{})
	}
	arrivals := make([]*rand.Rand, len(s.sources))
	for i := range s.sources {
		arrivals[i] = rand.New(rand.NewPCG(s.seed, uint64(100+i)))
	}
	for at := time.Duration(0); at < simEnds; at += simStep {
		for w := range r.servers {
			r.serve(at, w)
		}
		if at == floodBegins {
			r.servers = r.servers[:s.workers-s.lostWorkers]
		}
		for n, i := range r.instances {
			if at%simHeartbeat == (time.Duration(n) * simHeartbeat / simInstances).Truncate(simStep) {
				i.published = i.ledger.Uses(at)
				i.publishedOwn, i.publishedTokens = slices.Clone(i.own), slices.Clone(i.waiting)
			}
		}
		for i := range s.sources {
			source := &s.sources[i]
			usual := source.perSecond * simStep.Seconds()
			if arrivals[i].Float64() < usual {
				r.arrive(at, i, source)
			}
			if source.flood > 1 && at >= floodBegins && at < floodEnds && r.random.Float64() < (source.flood-1)*usual {
				r.arrive(at, i, source)
			}
		}
	}
	return r.gains
}

func (r *run) arrive(at time.Duration, n int, source *simSource) {
	counts := at >= floodBegins && at < floodEnds+time.Second
	if counts {
		r.gains[n].offered++
	}
	index := r.random.IntN(simInstances)
	i := r.instances[index]
	choice, _ := balance.DefaultConfig().Pick(balance.Request{Tokens: source.prompt}, r.candidates(index))
	request := fairshare.Request{Rank: source.rank, Wait: choice.Wait, Contention: choice.Contention, Left: source.deadline, FullTime: source.deadline, Target: source.target, TargetLeft: source.target}
	if r.organisations && !r.asBefore {
		request.HasOrganisation, request.Ratio = true, r.ratio(at, index, source.organisation)
	}
	outcomes := i.outcomes
	if r.asBefore {
		outcomes = &fairshare.Outcomes{}
	}
	verdict := fairshare.DefaultPolicy().Decide(at, request, outcomes)
	if verdict == fairshare.Admitted || request.Scarce(verdict) {
		i.outcomes.Record(at, source.rank, verdict == fairshare.Admitted)
	}
	if verdict != fairshare.Admitted {
		return
	}
	worker := int(choice.Candidate.ID[0] - 'a')
	q := &simRequest{source: source, arrived: at, instance: index, priority: fairshare.EnginePriority(request), work: fairshare.Work(source.prompt, simOutput, simBatch)}
	if counts {
		q.began = -time.Duration(n) - 1 // marks the source until the request begins
	}
	i.own[worker]++
	i.waiting[worker] += source.prompt
	i.ledger.Begin(at, source.organisation, q.work)
	r.servers[worker].queue = append(r.servers[worker].queue, q)
}

func (r *run) candidates(index int) []balance.Candidate {
	var all []balance.Candidate
	for w := range r.servers {
		c := balance.Candidate{ID: string(rune('a' + w)), Usable: true, BatchSize: simBatch, CacheCapacity: math.MaxInt, Running: r.instances[index].own[w], WaitingTokens: r.instances[index].waiting[w]}
		for n, peer := range r.instances {
			if n != index {
				c.Running += peer.publishedOwn[w]
				c.WaitingTokens += peer.publishedTokens[w]
			}
		}
		all = append(all, c)
	}
	r.random.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}

func (r *run) ratio(at time.Duration, index int, organisation string) float64 {
	uses := r.instances[index].ledger.Uses(at)
	for n, peer := range r.instances {
		for name, use := range peer.published {
			if n != index {
				uses[name] = uses[name].Add(use)
			}
		}
	}
	return fairshare.NewShares(uses, r.weights).Ratio(organisation)
}

// serve ends requests of a worker and begins queued ones.
func (r *run) serve(at time.Duration, index int) {
	w := r.servers[index]
	end := func(q *simRequest) {
		r.instances[q.instance].own[index]--
		r.instances[q.instance].ledger.End(q.source.organisation, q.work)
	}
	w.running = slices.DeleteFunc(w.running, func(q *simRequest) bool {
		if at < q.ends {
			return false
		}
		end(q)
		return true
	})
	slices.SortStableFunc(w.queue, func(a, b *simRequest) int { return cmp.Compare(a.priority, b.priority) })
	w.queue = slices.DeleteFunc(w.queue, func(q *simRequest) bool {
		expired := at >= q.arrived+q.source.deadline
		if !expired && len(w.running) >= simBatch {
			return false
		}
		r.instances[q.instance].waiting[index] -= q.source.prompt
		if expired {
			end(q)
			return true
		}
		prefill := time.Duration(q.source.prompt) * time.Millisecond / 25
		if q.began < 0 {
			value := 1.0
			if at+prefill > q.arrived+q.source.target {
				value = 0.5
			}
			r.gains[-q.began-1].value += value
		}
		q.ends = at + prefill + simOutput*8*time.Millisecond
		w.running = append(w.running, q)
		return true
	})
}
