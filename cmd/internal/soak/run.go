package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/direct"
)

// Outcome is the result of one run.
type Outcome struct {
	Seed uint64 `json:"seed"`
	// Broken describes the guarantees that were violated.
	Broken []string `json:"broken"`
	// Faults is the number of injected faults.
	Faults int `json:"faults"`
	// Requests is the number of requests, Served of those with a complete and
	// successful response.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	// Orders is the number of orders that reached workers.
	Orders int `json:"orders"`
	// Logs is the directory with the logs of the processes. It is kept only if
	// Broken is not empty.
	Logs string `json:"logs,omitempty"`
}

// errNotServed means that the deployment did not recover from the faults in time.
var errNotServed = errors.New("not every kind of request is served after the faults")

// Run runs one seed. An error means that the run itself failed; violations are
// reported in the outcome.
func Run(ctx context.Context, config Config) (Outcome, error) {
	outcome := Outcome{Seed: config.Seed}
	dir, err := os.MkdirTemp("", "bulrushwick-soak")
	if err != nil {
		return outcome, err
	}
	responder := newResponder(config.Seed)
	d, err := deploy(config, dir, responder)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return outcome, err
	}
	starting, cancel := context.WithTimeout(ctx, config.RecoveryTimeout)
	defer cancel()
	if err := d.awaitReady(starting); err != nil {
		return outcome, err
	}
	c := &callers{deployment: d}
	f := &faults{deployment: d, random: rand.New(rand.NewPCG(config.Seed, 2)), kinds: faultKinds}       //nolint:gosec // faults need no secrecy
	series := &faults{deployment: d, random: rand.New(rand.NewPCG(config.Seed, 3)), kinds: seriesKinds} //nolint:gosec // faults need no secrecy
	recoveryErr := runFaults(ctx, config, c, f, series)
	outcome.Broken = check(d, c, responder)
	if recoveryErr != nil {
		outcome.Broken = append(outcome.Broken, recoveryErr.Error())
	}
	outcome.Faults, outcome.Requests = len(f.injected)+len(series.injected), len(c.results)
	for _, r := range c.results {
		if r.complete && r.status == okStatus {
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

// runFaults injects faults while callers send requests, and waits until everything is
// served again.
func runFaults(ctx context.Context, config Config, c *callers, f, series *faults) error {
	callerContext, stop := context.WithCancel(ctx)
	var wait sync.WaitGroup
	for n := range config.Callers {
		random := rand.New(rand.NewPCG(config.Seed, uint64(10+n))) //nolint:gosec // requests need no secrecy
		wait.Go(func() { c.run(callerContext, random) })
	}
	for n, i := range c.deployment.instances {
		random := rand.New(rand.NewPCG(config.Seed, uint64(100+n))) //nolint:gosec // requests need no secrecy
		wait.Go(func() { c.probe(callerContext, i, random) })
	}
	faultContext, end := context.WithTimeout(ctx, config.FaultDuration)
	var injection sync.WaitGroup
	injection.Go(func() { f.run(faultContext) })
	injection.Go(func() { series.run(faultContext) })
	injection.Wait()
	end()
	err := c.awaitServed(ctx, time.Now(), config.RecoveryTimeout)
	if err == nil {
		err = c.changeInSilence(ctx)
	}
	stop()
	wait.Wait()
	return err
}

// errLateConfig means that a published configuration did not take effect in time.
var errLateConfig = errors.New("the newest configuration is not in force in time")

// errNewestRefused means that it did, but that requests for its route were not served.
var errNewestRefused = errors.New("the newest configuration is in force, but its requests are not served in time")

// probeDelay is the time until a probe shows that a configuration is in force.
const probeDelay = 400 * time.Millisecond

// changeInSilence publishes a configuration, which restarts the watches of all
// instances, silences these, and checks that the next one takes effect in time.
func (c *callers) changeInSilence(ctx context.Context) error {
	d := c.deployment
	d.publish()
	time.Sleep(probeDelay)
	for _, i := range d.instances {
		i.store.Silence()
	}
	d.publish()
	deadline := time.Now().Add(direct.DefaultSettings().ConfigApplyLimit.Std() + probeDelay)
	for {
		late, refused := c.behind(d.newest())
		if late == "" {
			return nil
		}
		if ctx.Err() != nil || time.Now().After(deadline) {
			if refused != "" {
				return fmt.Errorf("%w: %s: %s", errNewestRefused, late, refused)
			}
			return fmt.Errorf("%w: %s", errLateConfig, late)
		}
		time.Sleep(probePause)
	}
}

// behind returns the name of an instance that has not served the route of a version, or
// "" if all have. refused is its last response to a request for that route if the
// response shows that the version is in force there.
func (c *callers) behind(version int) (late, refused string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, refusals := make(map[string]bool), make(map[string]string)
	for _, r := range c.results {
		if r.kind != markKind || r.version != version {
			continue
		}
		switch {
		case r.status == okStatus:
			served[r.instance] = true
		case r.showsRoute():
			refusals[r.instance] = fmt.Sprintf("%d %s", r.status, strings.TrimSpace(r.body))
		}
	}
	for _, i := range c.deployment.instances {
		if name := i.settings.Instance; !served[name] {
			return name, refusals[name]
		}
	}
	return "", ""
}

// startingReason is in the response of an instance that looks up no route, because it
// has no configuration or is about to exit.
const startingReason = "starting or stopping"

// showsRoute reports whether the instance that failed a request knew its route.
func (r result) showsRoute() bool {
	return r.status >= http.StatusInternalServerError && !strings.Contains(r.body, startingReason)
}

// awaitServed waits until every instance has served a request of every kind that
// began after since.
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
		if r.began.After(since) && r.complete && r.status == okStatus {
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
