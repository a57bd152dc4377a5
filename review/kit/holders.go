package main

import (
	"fmt"
	"sync"
	"time"
)

// Figures of the case, inside the doses of the site file: node_cut with share 0.35 for 12 s,
// and herd_kill with share 0.55.
const (
	cutFor      = 12 * time.Second
	killAfter   = 300 * time.Millisecond
	downFor     = 500 * time.Millisecond
	watchAfter  = 2 * time.Second
	leaseMS     = 3000 * time.Millisecond
	thawMS      = 300 * time.Millisecond
	orderWarmup = 15 * time.Second
)

var (
	running   *deployment
	runningMu sync.Mutex
)

// endAll ends the processes of the running deployment once.
func endAll() {
	runningMu.Lock()
	defer runningMu.Unlock()
	if running != nil {
		running.close()
		running = nil
	}
}

func use(d *deployment) {
	runningMu.Lock()
	defer runningMu.Unlock()
	running = d
}

// playHolders cuts three of nine instances, the seeds, off from the other six for 12 s, kills
// the three at once behind the cut and starts them again.
func playHolders(root string, r *record, trouble bool) error {
	zones := map[string]string{"za": "ra", "zb": "rb", "zc": "ra"}
	d, err := deploy(root, r, zones, []string{"za", "zb", "zc"}, 9, 6)
	if d != nil {
		use(d)
	}
	if err != nil {
		return err
	}
	for _, i := range d.instances {
		for range 3 {
			go d.send(d.ctx, i, 40, 90*time.Millisecond)
		}
	}
	if err := d.awaitOrders(0, orderWarmup); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	seeds := d.instances[:3]
	var healedAt time.Duration
	if trouble {
		names := make(map[string]bool)
		for _, i := range seeds {
			names[i.name] = true
		}
		d.network.split(names)
		r.line("cut %s %s %s from the others", seeds[0].name, seeds[1].name, seeds[2].name)
		cutAt := time.Now()
		time.Sleep(killAfter)
		for _, i := range seeds {
			i.kill()
			r.line("killed %s", i.name)
		}
		time.Sleep(downFor)
		for _, i := range seeds {
			if err := i.start(); err != nil {
				return err
			}
			r.line("started %s", i.name)
		}
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		d.network.heal()
		healedAt = r.elapsed()
		r.line("healed")
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(watchAfter)
	d.checkHolders(healedAt)
	for _, i := range d.instances {
		if i.ends > 0 {
			return fmt.Errorf("%s ended by itself", i.name)
		}
	}
	return nil
}

// checkHolders checks the rule ONE for the orders that each worker received. Orders that
// arrive within thawMS after the cut healed don't count.
func (d *deployment) checkHolders(healedAt time.Duration) {
	for _, w := range d.workers {
		var last, top order
		for _, o := range w.ordersSeen() {
			if healedAt > 0 && o.at >= healedAt && o.at < healedAt+thawMS {
				continue
			}
			changed := last.Holder != "" && o.Holder != last.Holder
			if changed && o.at-last.at < leaseMS {
				d.record.broken("%s: at %.3f s an order of %s %d ms after one of %s", w.id, o.at.Seconds(), o.Holder, (o.at - last.at).Milliseconds(), last.Holder)
			}
			if changed && o.FencingToken < top.FencingToken {
				d.record.broken("%s: at %.3f s fencing token %d of %s after %d of %s", w.id, o.at.Seconds(), o.FencingToken, o.Holder, top.FencingToken, top.Holder)
			}
			if o.FencingToken == top.FencingToken && o.Holder != top.Holder {
				d.record.broken("%s: %s and %s have the fencing token %d", w.id, o.Holder, top.Holder, o.FencingToken)
			}
			if o.FencingToken > top.FencingToken {
				top = o
			}
			last = o
		}
	}
}
