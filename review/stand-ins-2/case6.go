package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// configuration has a route for orders, which may run once at most, and one for reads.
const configuration = `{"version":3,"routes":[
 {"name":"order","hostname":"h.example","prefix":"/o/","routeType":"non_idempotent","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"app","attempts":1},
 {"name":"read","hostname":"h.example","prefix":"/r/","routeType":"idempotent","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"app","attempts":2}],
 "services":[{"name":"app","healthPath":"/healthz","maxConnections":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// startSystem starts the store with the workers' entries, and instances that are ready.
func (w *world) startSystem(instances int, workers []*worker) (*store, error) {
	s, err := startStore(w.record)
	if err != nil {
		return nil, err
	}
	s.put("op/config", configuration)
	for _, each := range workers {
		s.put("servers/"+each.id, each.entry("ready"))
	}
	if w.instances, err = newInstances(w.record, w.temporary, s.address, instances); err != nil {
		return nil, err
	}
	for _, i := range w.instances {
		if err := i.start(); err != nil {
			return nil, err
		}
	}
	for _, i := range w.instances {
		if err := i.awaitReady(); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second) // for the listing of the workers
	return s, nil
}

// startWorkers starts workers of the service without models.
func (w *world) startWorkers(count, slots int, work time.Duration, size int) ([]*worker, error) {
	var all []*worker
	for n := range count {
		started, err := startWorker(w.record, "i-7f3a91c"+string(rune('1'+n)), "app", slots, afterWork(work, size))
		if err != nil {
			return nil, err
		}
		all = append(all, started)
	}
	return all, nil
}

// Figures of the case stop-hup.
const (
	stopHupClients = 6
	// stopHupWork is how long a worker works on an order: it ends long before graceS.
	stopHupWork = 1500 * time.Millisecond
	// hupAfter is the time from SIGTERM to SIGHUP.
	hupAfter = 500 * time.Millisecond
	// graceS is how long after SIGTERM the platform sends SIGKILL.
	graceS = 8 * time.Second
	// orderDeadline is the clients' deadline.
	orderDeadline = 10 * time.Second
)

// stopHup stops an instance with SIGTERM while its workers work on orders. With trouble,
// the settings file of the instance changes half a second later, which SIGHUP tells.
func stopHup(w *world) error {
	workers, err := w.startWorkers(3, 6, stopHupWork, 800)
	if err != nil {
		return err
	}
	if _, err := w.startSystem(3, workers); err != nil {
		return err
	}
	stopped := w.instances[0]
	attempts := make([]*attempt, stopHupClients)
	var group sync.WaitGroup
	for n := range attempts {
		c, err := dial(w.record, stopped.caller)
		if err != nil {
			return err
		}
		defer c.close()
		if attempts[n], err = c.send(http.MethodPost, "/o/1", orderDeadline, "one label"); err != nil {
			return err
		}
		group.Go(func() { c.receive(attempts[n], nil) })
	}
	time.Sleep(300 * time.Millisecond) // all orders have reached their workers
	stoppedAt := time.Now()
	stopped.signal(syscall.SIGTERM)
	time.Sleep(hupAfter)
	if w.trouble {
		stopped.settings["seeds"] = []string{w.instances[1].control, w.instances[2].control}
		if err := stopped.writeSettings(); err != nil {
			return err
		}
		stopped.signal(syscall.SIGHUP)
	}
	group.Wait()
	select {
	case <-stopped.ended:
	case <-time.After(time.Until(stoppedAt.Add(graceS))):
		stopped.signal(syscall.SIGKILL)
		<-stopped.ended
	}
	return w.judgeLost(attempts, workers, stoppedAt, time.Time{})
}

// judgeLost returns errBroken if an order that was passed on to a worker ended without a
// complete answer between SIGTERM and 1 s after graceS, though neither its deadline was
// reached nor the worker broke off by itself. If the process exited before the client
// noticed the end of its connection, exitedAt is the end.
func (w *world) judgeLost(attempts []*attempt, workers []*worker, stoppedAt, exitedAt time.Time) error {
	lost := 0
	for _, a := range attempts {
		for _, each := range workers {
			for _, r := range each.list() {
				end := a.endedAt
				if !exitedAt.IsZero() && exitedAt.Before(end) {
					end = exitedAt
				}
				inTime := end.After(stoppedAt) && end.Before(stoppedAt.Add(graceS+time.Second)) && end.Before(a.sentAt.Add(orderDeadline))
				if r.id == a.id && !a.complete && inTime {
					lost++
					w.record.print("LOST: %s was sent %.1f s before SIGTERM and ran at %s (%s), and its client got %v, %.1f s after SIGTERM",
						a.id, stoppedAt.Sub(a.sentAt).Seconds(), r.worker, r.ended, a, end.Sub(stoppedAt).Seconds())
				}
			}
		}
	}
	w.record.print("%d of %d orders lost", lost, len(attempts))
	if lost > 0 {
		return errBroken
	}
	return nil
}
