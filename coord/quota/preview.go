package quota

import "time"

// Preview returns how a request would be decided now, without a change of what later
// requests get. known is false if that takes a call to a meter, a place behind other
// requests or the reserve.
func (a *Account) Preview(now time.Duration, limit Limit, need int64) (result Result, known bool) {
	if a.config.Part(limit, need) == 0 {
		return Result{RetryAfter: impossibleRetryAfter}, true
	}
	missing := need - a.Held(now)
	if len(a.waiting) > 0 {
		return Result{}, false
	}
	if missing <= 0 {
		return Result{Admitted: true}, true
	}
	view := *a
	view.limit = limit
	if view.askingForRequests || view.awaitsNearMeter() {
		return Result{}, false
	}
	part := view.config.Part(limit, missing)
	if part == 0 {
		return Result{RetryAfter: impossibleRetryAfter}, true
	}
	request := &Request{need: need}
	if view.pick(now, request, part) >= 0 || view.awaitsMeter(request) {
		return Result{}, false
	}
	responding, empty := view.responding(now)
	return Result{RetryAfter: empty}, responding
}
