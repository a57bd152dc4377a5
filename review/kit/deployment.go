package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// deployment has the instances and the stand-ins around them.
type deployment struct {
	record    *record
	dir       string // temporary
	store     *store
	network   *network
	workers   []*worker
	instances []*instance
	stopped   chan struct{}
	cancel    context.CancelFunc
	ctx       context.Context
}

// deploy starts workers workers and instances instances, spread over the zones in turn. The
// first instance of each zone is a seed, at most three.
func deploy(root string, r *record, zones map[string]string, zoneOrder []string, instances, workers int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &deployment{record: r, dir: dir, network: newNetwork(), stopped: make(chan struct{}), ctx: ctx, cancel: cancel}
	prefix := freeNetwork()
	if prefix == "" {
		return d, errors.New("no free loopback network")
	}
	if d.store, err = startStore(prefix + "250"); err != nil {
		return d, err
	}
	d.store.put("op/config", configuration(1))
	for n := range workers {
		w, err := startWorker(prefix+"240", fmt.Sprintf("w%d", n), zoneOrder[n%len(zoneOrder)], r)
		if err != nil {
			return d, err
		}
		d.workers = append(d.workers, w)
		go w.register(d.store, d.stopped)
	}
	var seeds []string
	for n := range instances {
		i := &instance{
			name: fmt.Sprintf("e%d", n), host: fmt.Sprint(prefix, n+1), zone: zoneOrder[n%len(zoneOrder)], root: root,
			file: filepath.Join(dir, fmt.Sprintf("e%d.json", n)), log: filepath.Join(dir, fmt.Sprintf("e%d.log", n)),
		}
		d.instances = append(d.instances, i)
		if n < min(len(zoneOrder), 3) {
			seeds = append(seeds, i.control())
		}
		if err := d.network.serve(i.name, i.control(), i.host+":"+listenPort); err != nil {
			return d, err
		}
	}
	for _, i := range d.instances {
		if err := i.writeSettings(zones, seeds, d.store.address, true); err != nil {
			return d, err
		}
		if err := i.start(); err != nil {
			return d, err
		}
	}
	return d, d.awaitReady(15 * time.Second)
}

func (d *deployment) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// awaitOrders waits until every worker has received orders since a moment.
func (d *deployment) awaitOrders(since, limit time.Duration) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		missing := ""
		for _, w := range d.workers {
			orders := w.ordersSeen()
			if len(orders) == 0 || orders[len(orders)-1].at < since {
				missing = w.id
			}
		}
		if missing == "" {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s receives no orders", missing)
		}
	}
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	d.cancel()
	close(d.stopped)
	for _, i := range d.instances {
		i.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

const hostName = "review.example"

// configuration returns a configuration with one resumable route to the model workers.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "stream", "hostname": hostName, "prefix": "/s/", "routeType": "streaming", "timeoutMs": 4000, "targetLatencyMs": 800,
			"priority": 0, "service": "llm", "attempts": 2, "resumable": true, "gapTargetMs": 300, "sessionAffinity": true,
		}},
		"services": []any{map[string]any{
			"name": "llm", "healthPath": "/healthz", "maxConnections": 360,
			"engine": map[string]any{
				"slots": batchSlots, "kvCapacityTokens": 149332, "weightsMb": weightsMB, "adapterSlots": adapterSlots, "loadsPerS": 2.9,
				"models": []any{map[string]any{
					"name": modelName, "weightsMb": modelMB, "adapterSizeMb": adapterMB, "adapters": 3000, "loadS": 3.9, "diskS": 1.6, "warmS": 0.57,
				}},
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	}
}
