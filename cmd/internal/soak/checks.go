package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	standins "github.com/bulrushwick/bulrushwick/platform/standin"
)

// check returns a description of every guarantee that a run violated.
func check(d *deployment, c *callers, a *workerResponder) []string {
	var broken []string
	runs := a.runsByRequest()
	for _, r := range c.results {
		if problem := checkResponse(r, len(runs[r.id])); problem != "" {
			broken = append(broken, fmt.Sprintf("%s %s at %s: %s", r.kind, r.id, r.instance, problem))
		}
	}
	broken = append(broken, findRollbacks(c.results)...)
	for _, w := range d.workers {
		broken = append(broken, checkOrders(w.ID, w.Orders())...)
		if n := w.Overloads(); n > 0 {
			broken = append(broken, fmt.Sprintf("%s was ordered to load more adapters than it has slots %d times", w.ID, n))
		}
	}
	for _, i := range d.instances {
		if i.unexpectedExits > 0 {
			broken = append(broken, fmt.Sprintf("%s exited unexpectedly %d times", i.settings.Instance, i.unexpectedExits))
		}
		for _, s := range i.fatalSignals {
			broken = append(broken, fmt.Sprintf("%s was ended by a signal that it should handle: %v", i.settings.Instance, s))
		}
	}
	return broken
}

// checkResponse describes what is wrong with a response, or returns an empty
// string. ran is the number of times that the request ran.
func checkResponse(r result, ran int) string {
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	switch {
	case r.kind == orderKind && ran > 1:
		return fmt.Sprintf("ran %d times", ran)
	case r.kind == orderKind && refused && ran > 0:
		return "refused, but it ran"
	case r.status != http.StatusOK:
		return ""
	case !r.signed:
		return "a successful response without a worker's signature"
	case r.kind == streamKind:
		return checkStream(r)
	case r.complete && r.body != responseBody(r.id):
		return fmt.Sprintf("unexpected body %q", r.body)
	}
	return ""
}

// checkStream checks that the events are those of the request, without a gap from
// the first on, and that a complete response has all of them.
func checkStream(r result) string {
	want := ""
	for n := 1; n <= streamEvents; n++ {
		want += streamEvent(r.id, n)
	}
	if r.complete && r.body != want {
		return fmt.Sprintf("a complete stream of %d bytes instead of %d", len(r.body), len(want))
	}
	if !strings.HasPrefix(want, r.body) {
		return "events of another request, or out of sequence"
	}
	return ""
}

// findRollbacks finds configuration rollbacks: marks that an instance did not
// find after the same incarnation had served one of the same or a newer version.
func findRollbacks(results []result) []string {
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

// turnTolerance allows for different transit times of two orders, which may arrive
// closer together than they were sent.
const turnTolerance = 100 * time.Millisecond

// checkOrders checks the orders that one worker received: the gap between orders of
// different holders is at least turnGap, and the fencing token never falls and
// differs between holders.
func checkOrders(worker string, orders []standins.ReceivedOrder) []string {
	var broken []string
	for i := 1; i < len(orders); i++ {
		last, next := orders[i-1], orders[i]
		if next.Holder != last.Holder && next.At.Sub(last.At) < turnGap-turnTolerance {
			broken = append(broken, fmt.Sprintf("%s: an order of %s %v after one of %s", worker, next.Holder, next.At.Sub(last.At).Round(time.Millisecond), last.Holder))
		}
		if next.FencingToken < last.FencingToken || next.Holder != last.Holder && next.FencingToken == last.FencingToken {
			broken = append(broken, fmt.Sprintf("%s: fencing token %d of %s after %d of %s", worker, next.FencingToken, next.Holder, last.FencingToken, last.Holder))
		}
	}
	return broken
}
