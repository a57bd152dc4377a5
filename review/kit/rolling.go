package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case, inside the doses of the site file: roll_term with gap_s = 1.0, and
// node_cut with share 0.35 for 12 s. Here four of six instances are stopped and two are cut off.
const (
	rollGap      = time.Second
	restartDelay = 850 * time.Millisecond
	cutAfterLast = 200 * time.Millisecond
	stopGrace    = 8 * time.Second
)

// playRolling stops four of six instances in turn, a second apart, and starts each again once
// it has ended. The other two are cut off from these four while all four are stopping.
func playRolling(root string, r *record, trouble bool) error {
	zones := map[string]string{"za": "ra", "zb": "rb", "zc": "ra"}
	d, err := deploy(root, r, zones, []string{"za", "zb", "zc"}, 6, 6)
	if d != nil {
		use(d)
	}
	if err != nil {
		return err
	}
	for _, i := range d.instances {
		for range 4 {
			go d.send(d.ctx, i, 40, 90*time.Millisecond)
		}
	}
	if err := d.awaitOrders(0, orderWarmup); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if !trouble {
		time.Sleep(4*rollGap + cutFor + watchAfter)
		d.checkHolders(0)
		return nil
	}
	rolled, cutOff := d.instances[:4], d.instances[4:]
	var group sync.WaitGroup
	failed := make(chan error, len(rolled))
	for n, i := range rolled {
		if n > 0 {
			time.Sleep(rollGap)
		}
		r.line("SIGTERM to %s", i.name)
		i.signal(syscall.SIGTERM)
		group.Go(func() {
			i.awaitEnd(stopGrace)
			time.Sleep(restartDelay)
			if err := i.start(); err != nil {
				failed <- err
			}
			r.line("started %s", i.name)
		})
	}
	time.Sleep(cutAfterLast)
	d.network.split(map[string]bool{cutOff[0].name: true, cutOff[1].name: true})
	r.line("cut %s %s from the others", cutOff[0].name, cutOff[1].name)
	time.Sleep(cutFor)
	d.network.heal()
	healedAt := r.elapsed()
	r.line("healed")
	time.Sleep(watchAfter)
	group.Wait()
	select {
	case err := <-failed:
		return fmt.Errorf("start: %w", err)
	default:
	}
	d.checkHolders(healedAt)
	return nil
}

// awaitEnd waits for the end of the process, and kills it after a time.
func (i *instance) awaitEnd(limit time.Duration) {
	i.mu.Lock()
	exited := i.exited
	i.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(limit):
		i.kill()
	}
}
