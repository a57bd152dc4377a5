package fairshare_test

import (
	"slices"
	"testing"
	"time"
)

// sources returns the load of eight organisations of different sizes at three quarters of
// the capacity of four workers, with each kind of request.
func sources(total float64) []simSource {
	var all []simSource
	for n, share := range []float64{0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05} {
		name := string(rune('A' + n))
		all = append(all,
			simSource{organisation: name, rank: 0, perSecond: 0.6 * share * total, target: time.Second, deadline: 3 * time.Second, prompt: 500},
			simSource{organisation: name, rank: 2, perSecond: 0.4 * share * total, target: 2 * time.Second, deadline: 6 * time.Second, prompt: 500})
	}
	return all
}

func weightsOf(all []simSource) map[string]float64 {
	weights, sum := make(map[string]float64), 0.0
	for _, s := range all {
		weights[s.organisation] += s.perSecond
		sum += s.perSecond
	}
	for name := range weights {
		weights[name] *= float64(len(weights)) / sum
	}
	return weights
}

// othersKeep returns what the organisations that do not flood get, relative to the same
// load without a flood, and the fraction of the flood that is served.
func othersKeep(s simulation, flooder string, ranks ...int) (kept, least, floodServed float64) {
	var calm, flooded []gain
	perOrganisation := make(map[string][2]float64)
	calm = s.run()
	s.sources = append([]simSource(nil), s.sources...)
	for i := range s.sources {
		for _, rank := range ranks {
			if s.sources[i].organisation == flooder && s.sources[i].rank == rank {
				s.sources[i].flood = 7
			}
		}
	}
	flooded = s.run()
	var before, after, flood gain
	for i, source := range s.sources {
		if source.organisation == flooder {
			flood.offered, flood.value = flood.offered+flooded[i].offered, flood.value+flooded[i].value
			continue
		}
		before.value, after.value = before.value+calm[i].value, after.value+flooded[i].value
		sums := perOrganisation[source.organisation]
		perOrganisation[source.organisation] = [2]float64{sums[0] + calm[i].value, sums[1] + flooded[i].value}
	}
	least = 1
	for _, sums := range perOrganisation {
		least = min(least, sums[1]/sums[0])
	}
	return after.value / before.value, least, flood.rate()
}

// simSeeds is the number of runs whose mean is compared with a threshold.
const simSeeds = 8

// capacityLeft returns the fraction of an organisation's requests in its flood for which the
// others leave capacity.
func capacityLeft(load float64, lost int, flooder string, ranks []int) float64 {
	others, flood := 0.0, 0.0
	for _, s := range sources(load) {
		switch {
		case s.organisation != flooder:
			others += s.perSecond
		case slices.Contains(ranks, s.rank):
			flood += 7 * s.perSecond
		default:
			flood += s.perSecond
		}
	}
	const serviceSeconds = 500./25/1000 + simOutput*0.008
	return min(1, (float64((4-lost)*simBatch)/serviceSeconds-others)/flood)
}

// A flood by one organisation, at 7 times its usual rate for 6 s, took up to half of what
// the others got. Callers notice a loss of a twentieth. The flood itself gets what the
// others leave.
func TestAFloodCostsOthersLittle(t *testing.T) {
	for _, tc := range []struct {
		name, flooder string
		ranks         []int
		lost          int
		load          float64
	}{
		{"large", "A", []int{0, 2}, 0, 58},
		{"medium", "C", []int{0, 2}, 0, 58},
		{"small", "H", []int{0, 2}, 0, 58},
		{"large, least urgent", "A", []int{2}, 0, 58},
		{"large, most urgent", "A", []int{0}, 0, 58},
		{"large, a worker lost", "A", []int{0, 2}, 1, 46},
		{"medium, a worker lost", "C", []int{0, 2}, 1, 46},
	} {
		figures := make(map[bool][3]float64)
		for _, before := range []bool{true, false} {
			var sum [3]float64
			for seed := range uint64(simSeeds) {
				s := simulation{workers: 4, lostWorkers: tc.lost, organisations: true, sources: sources(tc.load), seed: seed, asBefore: before}
				s.weights = weightsOf(s.sources)
				kept, least, flood := othersKeep(s, tc.flooder, tc.ranks...)
				sum[0], sum[1], sum[2] = sum[0]+kept/simSeeds, sum[1]+least/simSeeds, sum[2]+flood/simSeeds
			}
			figures[before] = sum
		}
		now, before := figures[false], figures[true]
		t.Logf("%-22s others keep %.3f, before %.3f; the least of them %.3f, before %.3f; flood gets %.3f, before %.3f", tc.name, now[0], before[0], now[1], before[1], now[2], before[2])
		if now[0] < 0.95 || now[1] < 0.93 {
			t.Errorf("%s: others keep %.3f, the least of them %.3f", tc.name, now[0], now[1])
		}
		if left := capacityLeft(tc.load, tc.lost, tc.flooder, tc.ranks); now[2] < 0.8*left {
			t.Errorf("%s: the flood gets %.3f, the capacity that others leave is %.3f of it", tc.name, now[2], left)
		}
	}
}

// Requests of the most urgent rank were rejected far more often than those of the least
// urgent one, which wait longer and so filled every worker.
func TestAnUrgentRankIsNotServedLessOften(t *testing.T) {
	for _, tc := range []struct {
		name      string
		deadlines [2]time.Duration
		flood     [2]float64
		lost      int
	}{
		{"flood of the least urgent", [2]time.Duration{3 * time.Second, 6 * time.Second}, [2]float64{1, 7}, 0},
		{"the same, short deadlines", [2]time.Duration{1500 * time.Millisecond, 3 * time.Second}, [2]float64{1, 7}, 0},
		{"flood of the most urgent", [2]time.Duration{3 * time.Second, 6 * time.Second}, [2]float64{7, 1}, 0},
		{"flood of both", [2]time.Duration{1500 * time.Millisecond, 3 * time.Second}, [2]float64{3, 3}, 0},
		{"lost workers", [2]time.Duration{1500 * time.Millisecond, 3 * time.Second}, [2]float64{1, 1}, 2},
	} {
		served, value := make(map[bool][2]float64), make(map[bool]float64)
		for _, before := range []bool{true, false} {
			var sum [2]float64
			for seed := range uint64(simSeeds) {
				s := simulation{workers: 4, lostWorkers: tc.lost, organisations: true, seed: seed, asBefore: before}
				s.sources = []simSource{
					{rank: 0, perSecond: 36, target: time.Second, deadline: tc.deadlines[0], prompt: 500, flood: tc.flood[0]},
					{rank: 2, perSecond: 24, target: 2 * time.Second, deadline: tc.deadlines[1], prompt: 500, flood: tc.flood[1]},
				}
				for i, g := range s.run() {
					sum[i] += g.rate() / simSeeds
					value[before] += g.value / simSeeds
				}
			}
			served[before] = sum
		}
		t.Logf("%-26s urgent %.3f, before %.3f; least urgent %.3f, before %.3f; sum of all %.0f, before %.0f", tc.name, served[false][0], served[true][0], served[false][1], served[true][1], value[false], value[true])
		if served[false][0] < served[true][0]-0.01 {
			t.Errorf("%s: the urgent rank gets less than before", tc.name)
		}
		if tc.flood[0] == 1 && served[false][0] < 0.9*served[false][1] {
			t.Errorf("%s: the urgent rank gets %.3f, the least urgent one %.3f", tc.name, served[false][0], served[false][1])
		}
	}
}
