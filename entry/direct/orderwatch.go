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
	// maxWatchAge is the age from which on a report shows nothing: two rounds whose
	// reports time out.
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
	// watched is the number of workers in the last sample; 0 while nothing is watched.
	watched int
	// noWorkers is set if there are no workers that could be ordered, since a time.
	noWorkers      bool
	noWorkersSince time.Duration
	// counts holds the order counts by worker.
	counts map[string]orderCount
}

// orderCount is the number of orders that a worker process has accepted, according to
// every report that was requested from since to readAt.
type orderCount struct {
	born          int64
	orders        uint64
	since, readAt time.Duration
}

func newOrderWatch(f *fleet, o Orderer, dataCentres []string) *orderWatch {
	return &orderWatch{fleet: f, orderer: o, dataCentres: toSet(dataCentres), counts: make(map[string]orderCount)}
}

// quietSince returns the time since which the watched workers have received no orders;
// false if that is not known, because less than half of them have reported lately. A
// count that is the same in two reports shows the time between them, whatever was lost.
func (w *orderWatch) quietSince() (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.noWorkers {
		return w.noWorkersSince, true
	}
	at, since, recent := now(), time.Duration(0), 0
	for _, count := range w.counts {
		since = max(since, count.since)
		if at-count.readAt <= maxWatchAge {
			recent++
		}
	}
	return since, w.watched > 0 && 2*recent >= w.watched
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
	w.watched, w.noWorkers = 0, false
	clear(w.counts)
}

// runRound reads the reports of some workers.
func (w *orderWatch) runRound(ctx context.Context) {
	sample, known := w.sample()
	if !known {
		w.reset()
		return
	}
	requestedAt := now()
	reports := w.readReports(ctx, sample)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched = len(sample)
	if !w.noWorkers {
		w.noWorkersSince = requestedAt
	}
	w.noWorkers = len(sample) == 0
	for id, report := range reports {
		count, seen := w.counts[id]
		isSameProcess := seen && count.born == report.Born
		if !seen || isSameProcess && count.orders != report.OrdersAccepted {
			count.since = requestedAt
		}
		count.born, count.orders, count.readAt = report.Born, report.OrdersAccepted, requestedAt
		w.counts[id] = count
	}
}

// readReports reads the reports of workers at once, and leaves out those that do not
// respond.
func (w *orderWatch) readReports(ctx context.Context, workers []worker.Worker) map[string]Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	reports := make(map[string]Report)
	var group sync.WaitGroup
	for _, watched := range workers {
		group.Go(func() {
			recovery.Run(w.reportPanic, "report of a watched worker", func() {
				report, err := w.orderer.Report(ctx, watched)
				if err != nil {
					return // the worker's last report ages
				}
				mu.Lock()
				defer mu.Unlock()
				reports[watched.ID] = report
			})
		})
	}
	group.Wait()
	return reports
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
