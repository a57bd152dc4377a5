package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	standins "github.com/bulrushwick/bulrushwick/platform/standin"
)

// check returns every broken promise of a run.
func check(d *deployment, c *callers, a *answers) []string {
	var broken []string
	runs := a.ran()
	for _, r := range c.results {
		if problem := wrongAnswer(r, len(runs[r.id])); problem != "" {
			broken = append(broken, fmt.Sprintf("%s %s at %s: %s", r.kind, r.id, r.instance, problem))
		}
	}
	broken = append(broken, wentBack(c.results)...)
	for _, w := range d.workers {
		broken = append(broken, wrongOrders(w.ID, w.Orders())...)
		if n := w.Overloads(); n > 0 {
			broken = append(broken, fmt.Sprintf("%s was ordered to hold too much %d times", w.ID, n))
		}
	}
	for _, i := range d.instances {
		if i.ownEnds > 0 {
			broken = append(broken, fmt.Sprintf("%s ended by itself %d times", i.settings.Instance, i.ownEnds))
		}
	}
	return broken
}

// wrongAnswer says what is wrong with an answer, or returns nothing.
func wrongAnswer(r result, ran int) string {
	promise := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	switch {
	case r.kind == orderKind && ran > 1:
		return fmt.Sprintf("ran %d times", ran)
	case r.kind == orderKind && promise && ran > 0:
		return "refused, but it ran"
	case r.status != http.StatusOK:
		return ""
	case !r.signed:
		return "a success that is no worker's"
	case r.kind == streamKind:
		return wrongStream(r)
	case r.whole && r.body != bodyOf(r.id):
		return fmt.Sprintf("body %q", r.body)
	}
	return ""
}

// wrongStream checks that the events are those of the request from the first on,
// and all where the answer is whole.
func wrongStream(r result) string {
	want := ""
	for n := 1; n <= streamEvents; n++ {
		want += eventOf(r.id, n)
	}
	if r.whole && r.body != want {
		return fmt.Sprintf("a whole stream of %d bytes instead of %d", len(r.body), len(want))
	}
	if !strings.HasPrefix(want, r.body) {
		return "events that are not the request's next ones"
	}
	return ""
}

// wentBack finds marks that an incarnation did not know after it had served a
// newer or the same one.
func wentBack(results []result) []string {
	type incarnation struct {
		instance string
		starts   int
	}
	served := make(map[incarnation][]result)
	var broken []string
	byEnd := slices.Clone(results)
	slices.SortFunc(byEnd, func(a, b result) int { return a.ended.Compare(b.ended) })
	for _, r := range byEnd {
		if r.kind != markKind || r.startsBefore != r.startsAfter || r.status != http.StatusOK && r.status != http.StatusNotFound {
			continue
		}
		of := incarnation{r.instance, r.startsAfter}
		if r.status == http.StatusOK {
			served[of] = append(served[of], r)
			continue
		}
		for _, s := range served[of] {
			if s.ended.Before(r.began) && s.version >= r.version {
				broken = append(broken, fmt.Sprintf("%s went back below configuration %d", r.instance, s.version))
				break
			}
		}
	}
	return broken
}

// turnTolerance is what two orders may come closer by on their way.
const turnTolerance = 100 * time.Millisecond

// wrongOrders checks the turns and the fencing numbers of one worker's orders.
func wrongOrders(worker string, orders []standins.ReceivedOrder) []string {
	var broken []string
	for i := 1; i < len(orders); i++ {
		last, next := orders[i-1], orders[i]
		if next.Holder != last.Holder && next.At.Sub(last.At) < turnGap-turnTolerance {
			broken = append(broken, fmt.Sprintf("%s: an order of %s %v after one of %s", worker, next.Holder, next.At.Sub(last.At).Round(time.Millisecond), last.Holder))
		}
		if next.FencingToken < last.FencingToken || next.Holder != last.Holder && next.FencingToken == last.FencingToken {
			broken = append(broken, fmt.Sprintf("%s: fencing number %d of %s after %d of %s", worker, next.FencingToken, next.Holder, last.FencingToken, last.Holder))
		}
	}
	return broken
}
