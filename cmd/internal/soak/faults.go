package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/bulrushwick/bulrushwick/standin"
)

// fault is a kind of fault. inject injects it and schedules its end after duration.
type fault struct {
	name   string
	inject func(f *faults, duration time.Duration)
}

// faults injects faults into a deployment.
type faults struct {
	deployment *deployment
	random     *rand.Rand
	kinds      []fault
	wait       sync.WaitGroup
	injected   []string
}

// maxFaultPause is the upper bound of the random pause between two faults,
// maxFaultDuration that of their duration. It is longer than the pause, so that
// faults overlap.
const (
	maxFaultPause    = 900 * time.Millisecond
	maxFaultDuration = 5 * time.Second
)

// compactionDelay is the time from the publication of a configuration until only
// stale listings, without it, are available. It is long enough for callers to be
// served under that configuration.
const compactionDelay = 2 * time.Second

var faultKinds = []fault{
	{"kill", func(f *faults, duration time.Duration) {
		i := f.instance()
		i.stop(syscall.SIGKILL)
		f.endAfter(duration/2, func() { f.start(i) })
	}},
	{"kill and start at once", func(f *faults, _ time.Duration) {
		i := f.instance()
		i.stop(syscall.SIGKILL)
		f.start(i)
	}},
	{"kill several", func(f *faults, duration time.Duration) {
		for range 3 {
			i := f.instance()
			i.stop(syscall.SIGKILL)
			f.endAfter(duration/4, func() { f.start(i) })
		}
	}},
	{"pause", func(f *faults, duration time.Duration) {
		i := f.instance()
		i.signal(syscall.SIGSTOP)
		f.endAfter(duration, func() { i.signal(syscall.SIGCONT) })
	}},
	{"stop and start", func(f *faults, _ time.Duration) {
		i := f.instance()
		f.endAfter(0, func() {
			i.stop(syscall.SIGTERM)
			f.start(i)
		})
	}},
	{"changed settings", func(f *faults, _ time.Duration) {
		i := f.instance()
		f.changeSettings(i, f.seeds())
	}},
	{"control calls partitioned one way", func(f *faults, duration time.Duration) { f.partition(f.instance().control, duration, true, false) }},
	{"control calls partitioned", func(f *faults, duration time.Duration) { f.partition(f.instance().control, duration, true, true) }},
	{"control connections silent", func(f *faults, _ time.Duration) { f.instance().control.Silence() }},
	{"control calls slow", func(f *faults, duration time.Duration) { f.slow(f.instance().control, duration) }},
	{"store partitioned", func(f *faults, duration time.Duration) { f.partition(f.instance().store, duration, false, true) }},
	{"store connections silent", func(f *faults, _ time.Duration) { f.instance().store.Silence() }},
	{"store connections reset", func(f *faults, _ time.Duration) { f.instance().store.Reset() }},
	{"store down", func(f *faults, duration time.Duration) {
		f.deployment.store.SetFailing(true)
		f.endAfter(duration, func() { f.deployment.store.SetFailing(false) })
	}},
	{"store stale without history", func(f *faults, duration time.Duration) {
		f.deployment.store.SetStale(true)
		f.deployment.publish() // visible to watches, but not in stale listings
		f.endAfter(compactionDelay, func() { f.deployment.store.Compact() })
		f.endAfter(compactionDelay+duration, func() { f.deployment.store.SetStale(false) })
	}},
	{"configuration", func(f *faults, _ time.Duration) { f.deployment.publish() }},
	{"worker connections reset", func(f *faults, _ time.Duration) { f.link().Reset() }},
	{"worker connections silent", func(f *faults, _ time.Duration) { f.link().Silence() }},
	{"worker slow", func(f *faults, duration time.Duration) { f.slow(f.link(), duration) }},
}

// seriesKinds are series of signals and of cut watches. They are injected beside faultKinds, from random
// numbers of their own, so that a seed injects the same faultKinds with or without them.
var seriesKinds = []fault{
	{"stop and changed settings", func(f *faults, duration time.Duration) { f.stopWith(duration, syscall.SIGHUP) }},
	{"stop twice and changed settings", func(f *faults, duration time.Duration) { f.stopWith(duration, syscall.SIGTERM, syscall.SIGHUP) }},
	{"settings change several times", func(f *faults, duration time.Duration) {
		i, pause := f.instance(), duration/hangups
		seeds := f.seeds()
		f.endAfter(0, func() {
			for range hangups {
				f.changeSettings(i, seeds)
				time.Sleep(pause)
			}
		})
	}},
	{"watches cut", func(f *faults, duration time.Duration) {
		f.endAfter(0, func() {
			for range watchCuts {
				f.deployment.store.CutWatches()
				time.Sleep(duration / watchCuts)
			}
		})
	}},
	{"store returns from a copy", func(f *faults, duration time.Duration) {
		store := f.deployment.store
		store.Copy()
		f.endAfter(duration, func() {
			lost := store.ReturnFromCopy()
			time.Sleep(rewriteDelay)
			store.Rewrite(lost)
		})
	}},
	{"unused signals", func(f *faults, _ time.Duration) {
		i := f.instance()
		i.signal(syscall.SIGUSR1)
		i.signal(syscall.SIGUSR2)
		i.signal(syscall.SIGPIPE)
	}},
}

// rewriteDelay is how long after the return of the store what it lost is written again.
const rewriteDelay = time.Second

// hangups is the number of times that settings change in a series, and watchCuts that of
// cuts.
const hangups, watchCuts = 5, 5

// stopWith stops an instance and starts it again. From the stop to its exit the instance
// gets further signals, of which hangups come with changed settings; maxPause bounds the
// pause between two.
func (f *faults) stopWith(maxPause time.Duration, series ...syscall.Signal) {
	i, seeds := f.instance(), f.seeds()
	pause := time.Millisecond + maxPause/hangups
	f.endAfter(0, func() {
		exited := make(chan struct{})
		go func() {
			defer close(exited)
			i.stop(syscall.SIGTERM)
		}()
		for n := 0; ; n++ {
			select {
			case <-exited:
				f.start(i)
				return
			case <-time.After(pause):
			}
			if s := series[n%len(series)]; s == syscall.SIGHUP {
				f.changeSettings(i, seeds)
			} else {
				i.signal(s)
			}
		}
	})
}

func (f *faults) seeds() []string {
	return []string{f.instance().settings.ControlAddress, f.instance().settings.ControlAddress}
}

func (f *faults) changeSettings(i *instance, seeds []string) {
	if i.writeSettings(seeds) == nil {
		i.signal(syscall.SIGHUP)
	}
}

func (f *faults) instance() *instance {
	return f.deployment.instances[f.random.IntN(len(f.deployment.instances))]
}

func (f *faults) link() *standin.Link {
	return f.deployment.links[f.random.IntN(len(f.deployment.links))]
}

// endAfter runs end, which ends a fault, after a delay.
func (f *faults) endAfter(after time.Duration, end func()) {
	f.wait.Go(func() {
		time.Sleep(after)
		end()
	})
}

func (f *faults) start(i *instance) {
	if err := i.start(); err != nil {
		f.injected = append(f.injected, fmt.Sprintf("%s failed to start: %v", i.settings.Instance, err))
	}
}

func (f *faults) partition(link *standin.Link, duration time.Duration, forth, back bool) {
	link.SetFaults(standin.LinkFaults{CutForth: forth, CutBack: back})
	f.endAfter(duration, func() { link.SetFaults(standin.LinkFaults{}) })
}

// slowDelay is the added delay of a slow link.
const slowDelay = 150 * time.Millisecond

func (f *faults) slow(link *standin.Link, duration time.Duration) {
	link.SetFaults(standin.LinkFaults{Delay: slowDelay})
	f.endAfter(duration, func() { link.SetFaults(standin.LinkFaults{}) })
}

// run injects faults until ctx ends, then waits until all have ended.
func (f *faults) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.random.Int64N(int64(maxFaultPause))))
		k := f.kinds[f.random.IntN(len(f.kinds))]
		duration := time.Duration(f.random.Int64N(int64(maxFaultDuration)))
		f.injected = append(f.injected, k.name)
		k.inject(f, duration)
	}
	f.wait.Wait()
}
