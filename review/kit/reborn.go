package main

import "time"

// Figures of the case: srv_crash with a share of 0.25 and for_s of at most 2.0.
const (
	crashes      = 11
	crashDownFor = 500 * time.Millisecond
	crashPause   = 7 * time.Second
)

// playReborn crashes one of four workers at a time. Each starts again half a second later under
// the id that it had, holding nothing.
func playReborn(root string, r *record, trouble bool) error {
	zones := map[string]string{"za": "ra", "zb": "rb", "zc": "ra"}
	d, err := deploy(root, r, zones, []string{"za", "zb", "zc"}, 6, 4)
	if d != nil {
		use(d)
	}
	if err != nil {
		return err
	}
	for _, i := range d.instances {
		for range 8 {
			go d.send(d.ctx, i, 60, 40*time.Millisecond)
		}
	}
	if err := d.awaitOrders(0, orderWarmup); err != nil {
		return err
	}
	for n := range crashes {
		time.Sleep(crashPause)
		if trouble {
			if err := d.workers[n%len(d.workers)].crash(crashDownFor); err != nil {
				return err
			}
		}
	}
	time.Sleep(2 * time.Second)
	for _, w := range d.workers {
		if n := w.overloadCount(); n > 0 {
			r.broken("%s was ordered %d times to load more adapters than it holds", w.id, n)
		}
	}
	return nil
}

func (w *worker) overloadCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overloads
}
