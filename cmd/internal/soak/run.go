package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

// Outcome is what came of one run.
type Outcome struct {
	Seed uint64 `json:"seed"`
	// Broken lists the promises that were broken.
	Broken []string `json:"broken"`
	// Faults is the number of faults that struck.
	Faults int `json:"faults"`
	// Requests counts the requests, Served those with a whole success.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// Orders counts the orders that reached workers.
	Orders int `json:"orders"`
	// Logs is the directory with the processes' logs, kept where something broke.
	Logs string `json:"logs,omitempty"`
}

// errNotServed says that the deployment did not recover.
var errNotServed = errors.New("not everything is served after the faults")

// Run plays one seed. An error says that the run itself could not be played.
func Run(ctx context.Context, config Config) (Outcome, error) {
	outcome := Outcome{Seed: config.Seed}
	dir, err := os.MkdirTemp("", "bulrushwick-soak")
	if err != nil {
		return outcome, err
	}
	answers := newAnswers(config.Seed)
	d, err := deploy(config, dir, answers)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return outcome, err
	}
	starting, cancel := context.WithTimeout(ctx, config.Heal)
	defer cancel()
	if err := d.ready(starting); err != nil {
		return outcome, err
	}
	c := &callers{deployment: d}
	f := &faults{deployment: d, random: rand.New(rand.NewPCG(config.Seed, 2))} //nolint:gosec // faults need no secrecy
	healed := play(ctx, config, c, f)
	outcome.Broken = check(d, c, answers)
	if healed != nil {
		outcome.Broken = append(outcome.Broken, healed.Error())
	}
	outcome.Faults, outcome.Requests = len(f.struck), len(c.results)
	for _, r := range c.results {
		if r.whole && r.status == okStatus {
			outcome.Served++
		}
	}
	for _, w := range d.workers {
		outcome.Orders += len(w.Orders())
	}
	if len(outcome.Broken) > 0 {
		outcome.Logs = dir
		return outcome, nil
	}
	return outcome, os.RemoveAll(dir)
}

const okStatus = 200

// play lets callers call while faults strike, and until everything is served.
func play(ctx context.Context, config Config, c *callers, f *faults) error {
	calling, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for n := range config.Callers {
		random := rand.New(rand.NewPCG(config.Seed, uint64(10+n))) //nolint:gosec // requests need no secrecy
		wait.Go(func() { c.run(calling, random) })
	}
	for n, i := range c.deployment.instances {
		random := rand.New(rand.NewPCG(config.Seed, uint64(100+n))) //nolint:gosec // requests need no secrecy
		wait.Go(func() { c.probe(calling, i, random) })
	}
	striking, end := context.WithTimeout(ctx, config.Faults)
	f.strike(striking)
	end()
	healed := c.awaitServed(ctx, time.Now(), config.Heal)
	stop()
	wait.Wait()
	return healed
}

// awaitServed waits until every instance has served every kind of request since a
// time.
func (c *callers) awaitServed(ctx context.Context, since time.Time, limit time.Duration) error {
	for deadline := since.Add(limit); ; time.Sleep(100 * time.Millisecond) {
		missing := c.missing(since)
		if missing == "" {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("%w: %s", errNotServed, missing)
		}
	}
}

func (c *callers) missing(since time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := make(map[string]bool)
	for _, r := range c.results {
		if r.began.After(since) && r.whole && r.status == okStatus {
			served[r.instance+" "+string(r.kind)] = true
		}
	}
	for _, i := range c.deployment.instances {
		for _, k := range []kind{orderKind, readKind, streamKind, markKind} {
			if name := i.settings.Instance + " " + string(k); !served[name] {
				return name
			}
		}
	}
	return ""
}
