package direct

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// Limits of the watch for orders of other instances.
const (
	// orderWatchInterval is the time between two rounds of reports.
	orderWatchInterval = 500 * time.Millisecond
	// orderWatchIdle is how often an instance that does not watch checks whether it
	// should.
	orderWatchIdle = 250 * time.Millisecond
	// maxWatchAge is the age of the last round from which on it shows nothing: two rounds
	// whose reports time out. Older ones are from before a pause of the process.
	maxWatchAge = 2 * (orderWatchInterval + reportTimeout)
	// maxWatchedWorkers bounds the reports of a round: each has a cost, and an instance
	// that orders workers orders many of them.
	maxWatchedWorkers = 16
)

// orderWatch finds out since when workers have received no orders. Their order counts
// show other instances that order them, also where no message of these gets through.
// It is safe for concurrent use.
type orderWatch struct {
	fleet       *fleet
	orderer     Orderer
	dataCentres map[string]bool
	reportPanic recovery.Reporter

	mu sync.Mutex
	// since is the time since which nothing was ordered, valid if known is set.
	since time.Duration
	known bool
	// readAt is when the last round ended.
	readAt time.Duration
	// counts holds the order counts by worker.
	counts map[string]orderCount
}

// orderCount is the number of orders that a worker process has accepted.
type orderCount struct {
	born   int64
	orders uint64
}

func newOrderWatch(f *fleet, o Orderer, dataCentres []string) *orderWatch {
	return &orderWatch{fleet: f, orderer: o, dataCentres: toSet(dataCentres), counts: make(map[string]orderCount)}
}

// quietSince returns the time since which the watched workers have received no orders;
// false if that is not known.
func (w *orderWatch) quietSince() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, w.known && now()-w.readAt <= maxWatchAge
}

// run reads reports while isWanted returns true, until ctx ends.
func (w *orderWatch) run(ctx context.Context, isWanted func() bool) {
	for ctx.Err() == nil {
		wait := orderWatchIdle
		if isWanted() {
			w.runRound(ctx)
			wait = orderWatchInterval
		} else {
			w.reset()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (w *orderWatch) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known = false
	clear(w.counts)
}

// runRound reads the reports of some workers. A round in which less than half of them
// respond shows nothing, so the workers count as quiet from the next one only.
func (w *orderWatch) runRound(ctx context.Context) {
	sample, known := w.sample()
	if !known {
		w.reset()
		return
	}
	counts := w.readCounts(ctx, sample)
	at := now()
	w.mu.Lock()
	defer w.mu.Unlock()
	moved := !w.known
	for id, count := range counts {
		before, seen := w.counts[id]
		moved = moved || seen && before.born == count.born && before.orders != count.orders
		w.counts[id] = count
	}
	if moved {
		w.since = at
	}
	w.known, w.readAt = 2*len(counts) >= len(sample), at
}

// readCounts reads the order counts of workers at once, and leaves out those that do
// not respond.
func (w *orderWatch) readCounts(ctx context.Context, workers []worker.Worker) map[string]orderCount {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	counts := make(map[string]orderCount)
	var group sync.WaitGroup
	for _, watched := range workers {
		group.Go(func() {
			recovery.Run(w.reportPanic, "report of a watched worker", func() {
				report, err := w.orderer.Report(ctx, watched)
				if err != nil {
					return // the worker counts as missing in this round
				}
				mu.Lock()
				defer mu.Unlock()
				counts[watched.ID] = orderCount{born: report.Born, orders: report.OrdersAccepted}
			})
		})
	}
	group.Wait()
	return counts
}

// sample returns the workers to watch; false while this instance knows too little to
// tell whether there are any.
func (w *orderWatch) sample() ([]worker.Worker, bool) {
	table := w.fleet.config.table()
	if table == nil {
		return nil, false
	}
	hasEngines := false
	for _, service := range table.Config.Services {
		hasEngines = hasEngines || service.Engine != nil
	}
	workers := w.fleet.workers.all()
	if hasEngines && len(workers) == 0 {
		return nil, false
	}
	var ordered []worker.Worker
	for _, candidate := range workers {
		if service, known := table.Config.Services[candidate.Service]; known && service.Engine != nil && w.dataCentres[candidate.DataCentre] {
			ordered = append(ordered, candidate)
		}
	}
	slices.SortFunc(ordered, func(a, b worker.Worker) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return ordered[:min(len(ordered), maxWatchedWorkers)], true
}
