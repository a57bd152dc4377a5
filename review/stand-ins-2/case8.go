package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Figures of the case cut-watches.
const (
	// drainTime is drainMs: how long after the removal of its entry a worker may still get
	// requests. It goes on serving for lingering on top and then exits.
	drainTime = 2500 * time.Millisecond
	lingering = 800 * time.Millisecond
	// firstCut and secondCut are when the store cuts the watches that wait, counted from the
	// removal of the entry.
	firstCut, secondCut = -100 * time.Millisecond, 1500 * time.Millisecond
	// cutWork is how long a worker works on an order.
	cutWork = 150 * time.Millisecond
	// cutClients is the number of clients of each instance.
	cutClients = 3
	// cutDeadline is their deadline.
	cutDeadline = 2 * time.Second
)

// cutWatches removes the entry of a worker that never reports draining, while clients send
// orders. With trouble, the store cuts the watches that wait, twice.
func cutWatches(w *world) error {
	workers, err := w.startWorkers(3, 6, cutWork, 800)
	if err != nil {
		return err
	}
	s, err := w.startSystem(3, workers)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	attempts := make(map[string]*attempt)
	for _, i := range w.instances {
		for range cutClients {
			group.Go(func() {
				sendOrders(w.record, i.caller, cutDeadline, stop, func(a *attempt) {
					mu.Lock()
					defer mu.Unlock()
					attempts[a.id] = a
				})
			})
		}
	}
	time.Sleep(4500 * time.Millisecond) // the store has been calm for stabilityWindowMs
	if w.trouble {
		w.record.printf("store: cuts the watches that wait")
		s.cutWatches()
	}
	time.Sleep(-firstCut)
	leaving := workers[2]
	removedAt := s.remove("servers/" + leaving.id)
	time.Sleep(time.Until(removedAt.Add(secondCut)))
	if w.trouble {
		w.record.printf("store: cuts the watches that wait")
		s.cutWatches()
	}
	time.Sleep(time.Until(removedAt.Add(drainTime + lingering)))
	leaving.exit()
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	late, lost := 0, 0
	for _, r := range leaving.list() {
		if after := r.at.Sub(removedAt); after > drainTime {
			late++
			w.record.print("DRAIN: %s reached %s %.3f s after the removal of its entry was acknowledged", r.id, r.worker, after.Seconds())
		}
		if a := attempts[r.id]; a != nil && (!a.complete || a.status != http.StatusOK) {
			lost++
			w.record.print("the order %s ran at %s (%s), and its client got %v", r.id, r.worker, r.ended, a)
		}
	}
	w.record.print("watches cut: %d; orders that reached the worker too late: %d; orders of that worker without its answer: %d", s.cutCount(), late, lost)
	if w.trouble && s.cutCount() == 0 {
		return fmt.Errorf("no watch was waiting when it was to be cut")
	}
	if late > 0 {
		return errBroken
	}
	return nil
}

// sendOrders sends orders one after the other, on a kept connection while it lasts.
func sendOrders(r *record, address string, deadline time.Duration, stop <-chan struct{}, sent func(*attempt)) {
	var c *client
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			dialed, err := dial(r, address)
			if err != nil {
				continue
			}
			c = dialed
		}
		a, err := c.send(http.MethodPost, "/o/1", deadline, "one label")
		if err == nil {
			c.receive(a, nil)
			sent(a)
		}
		if err != nil || a.err != nil || c.closes {
			c.close()
			c = nil
		}
	}
}
