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

// fault is one thing that fails for a while.
type fault struct {
	name   string
	strike func(f *faults, lasts time.Duration)
}

// faults strikes a deployment.
type faults struct {
	deployment *deployment
	random     *rand.Rand
	wait       sync.WaitGroup
	struck     []string
}

// Intervals of the faults. They overlap: several strike while one lasts.
const (
	faultPause   = 900 * time.Millisecond
	longestFault = 5 * time.Second
)

// publishedFor is how long a configuration is known before a stale listing hides
// it: long enough for callers to be served by it.
const publishedFor = 2 * time.Second

var kinds = []fault{
	{"kill", func(f *faults, lasts time.Duration) {
		i := f.instance()
		i.stop(syscall.SIGKILL)
		f.later(lasts/2, func() { f.start(i) })
	}},
	{"kill and start at once", func(f *faults, _ time.Duration) {
		i := f.instance()
		i.stop(syscall.SIGKILL)
		f.start(i)
	}},
	{"kill several", func(f *faults, lasts time.Duration) {
		for range 3 {
			i := f.instance()
			i.stop(syscall.SIGKILL)
			f.later(lasts/4, func() { f.start(i) })
		}
	}},
	{"pause", func(f *faults, lasts time.Duration) {
		i := f.instance()
		i.signal(syscall.SIGSTOP)
		f.later(lasts, func() { i.signal(syscall.SIGCONT) })
	}},
	{"stop and start", func(f *faults, _ time.Duration) {
		i := f.instance()
		f.later(0, func() {
			i.stop(syscall.SIGTERM)
			f.start(i)
		})
	}},
	{"changed settings", func(f *faults, _ time.Duration) {
		i := f.instance()
		seeds := []string{f.instance().settings.ControlAddress, f.instance().settings.ControlAddress}
		if i.writeSettings(seeds) == nil {
			i.signal(syscall.SIGHUP)
		}
	}},
	{"control calls cut one way", func(f *faults, lasts time.Duration) { f.cut(f.instance().control, lasts, true, false) }},
	{"control calls cut", func(f *faults, lasts time.Duration) { f.cut(f.instance().control, lasts, true, true) }},
	{"control connections silent", func(f *faults, _ time.Duration) { f.instance().control.Silence() }},
	{"control calls slow", func(f *faults, lasts time.Duration) { f.slow(f.instance().control, lasts) }},
	{"store cut", func(f *faults, lasts time.Duration) { f.cut(f.instance().store, lasts, false, true) }},
	{"store connections silent", func(f *faults, _ time.Duration) { f.instance().store.Silence() }},
	{"store connections reset", func(f *faults, _ time.Duration) { f.instance().store.Reset() }},
	{"store down", func(f *faults, lasts time.Duration) {
		f.deployment.store.SetFailing(true)
		f.later(lasts, func() { f.deployment.store.SetFailing(false) })
	}},
	{"store stale without history", func(f *faults, lasts time.Duration) {
		f.deployment.store.SetStale(true)
		f.deployment.publish() // watches tell it, listings don't
		f.later(publishedFor, func() { f.deployment.store.Compact() })
		f.later(publishedFor+lasts, func() { f.deployment.store.SetStale(false) })
	}},
	{"configuration", func(f *faults, _ time.Duration) { f.deployment.publish() }},
	{"worker connections reset", func(f *faults, _ time.Duration) { f.link().Reset() }},
	{"worker connections silent", func(f *faults, _ time.Duration) { f.link().Silence() }},
	{"worker slow", func(f *faults, lasts time.Duration) { f.slow(f.link(), lasts) }},
}

func (f *faults) instance() *instance {
	return f.deployment.instances[f.random.IntN(len(f.deployment.instances))]
}

func (f *faults) link() *standin.Link {
	return f.deployment.links[f.random.IntN(len(f.deployment.links))]
}

// later runs what ends a fault.
func (f *faults) later(after time.Duration, end func()) {
	f.wait.Go(func() {
		time.Sleep(after)
		end()
	})
}

func (f *faults) start(i *instance) {
	if err := i.start(); err != nil {
		f.struck = append(f.struck, fmt.Sprintf("%s does not start: %v", i.settings.Instance, err))
	}
}

func (f *faults) cut(link *standin.Link, lasts time.Duration, forth, back bool) {
	link.SetFaults(standin.LinkFaults{CutForth: forth, CutBack: back})
	f.later(lasts, func() { link.SetFaults(standin.LinkFaults{}) })
}

// slowBy is the delay of a slow link.
const slowBy = 150 * time.Millisecond

func (f *faults) slow(link *standin.Link, lasts time.Duration) {
	link.SetFaults(standin.LinkFaults{Delay: slowBy})
	f.later(lasts, func() { link.SetFaults(standin.LinkFaults{}) })
}

// strike lets faults strike until ctx ends, and waits for the end of the last.
func (f *faults) strike(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(f.random.Int64N(int64(faultPause))))
		k := kinds[f.random.IntN(len(kinds))]
		lasts := time.Duration(f.random.Int64N(int64(longestFault)))
		f.struck = append(f.struck, k.name)
		k.strike(f, lasts)
	}
	f.wait.Wait()
}
