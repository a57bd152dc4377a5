package quota

import "time"

// Reserve is what an instance may spend of one organisation's quota while no meter is
// reachable. It is not safe for concurrent use.
type Reserve struct {
	level float64
	at    time.Duration
}

// NewReserve returns an empty reserve.
func NewReserve(now time.Duration) *Reserve { return &Reserve{at: now} }

// Spend takes tokens for a request, or nothing if there are too few. instances is the
// number of instances that share the organisation's quota; it must not be lower than it
// is in fact.
func (r *Reserve) Spend(now time.Duration, config Config, limit Limit, instances int, amount int64) (Ticket, bool) {
	capacity := config.spare(limit) * reserveShare / float64(max(instances, 1))
	if now > r.at {
		r.level += capacity * (now - r.at).Seconds() / config.Window.Seconds()
		r.at = now
	}
	r.level = min(r.level, capacity)
	if r.level < float64(amount) {
		return Ticket{}, false
	}
	r.level -= float64(amount)
	return Ticket{reserve: amount}, true
}
