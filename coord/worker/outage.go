package worker

import "time"

// Config tells a Registry how entries expire in the metadata store.
type Config struct {
	// MinOutage is the shortest outage of the store in which entries may expire. A shorter
	// failure, such as a watch that was cut, says nothing about entries, and a missing one
	// means at once that its worker was removed. A lower bound tolerates workers whose
	// renewals barely met the outage; a higher one keeps fewer removed workers in use.
	MinOutage time.Duration
	// ReturnGrace is how long after such an outage a worker whose entry is missing is kept.
	// A longer grace tolerates workers that are slower to renew their entry; a shorter one
	// stops sooner to use those that were removed meanwhile.
	ReturnGrace time.Duration
	// EntryLifetime is how long after its last renewal the store keeps an entry.
	EntryLifetime time.Duration
}

// expiryHeartbeats is the number of missed renewals after which the store removes an
// entry, as the operators specify.
const expiryHeartbeats = 3

// DefaultConfig returns the configuration for workers that renew their entry at an
// interval. The operators specify that entries are back about two seconds after the store.
func DefaultConfig(heartbeat time.Duration) Config {
	return Config{
		// An entry expires only if the outage meets all renewals but the last before it and
		// the first after it. The rest is a margin, since renewals are not punctual.
		MinOutage:     (expiryHeartbeats - 2) * heartbeat / 2,
		ReturnGrace:   2 * time.Second,
		EntryLifetime: expiryHeartbeats * heartbeat,
	}
}

// outageDetector tells failures of single calls apart from outages of the store in which
// entries may have expired.
type outageDetector struct {
	config Config
	// unavailable is set between a failed call and the next response. Nothing is known
	// about the store since unavailableSince then.
	unavailable      bool
	unavailableSince time.Duration
	respondedAt      time.Duration
	graceEndsAt      time.Duration
}

// failed records a failed call that leaves open whether the store was available from
// since on. A response to another call after since shows that it was.
func (d *outageDetector) failed(since time.Duration) {
	if !d.unavailable {
		d.unavailable, d.unavailableSince = true, max(since, d.respondedAt)
	}
}

// responded records a response, and returns the length of the outage that it ends, or 0 if
// no entry may have expired. The grace period begins with the first response after such an
// outage; shorter failures don't extend it.
func (d *outageDetector) responded(now time.Duration) time.Duration {
	outage := time.Duration(0)
	if d.isOutage(now) {
		outage, d.graceEndsAt = now-d.unavailableSince, now+d.config.ReturnGrace
	}
	d.unavailable, d.respondedAt = false, now
	return outage
}

// isOutage reports whether the store has been unavailable for so long that entries may
// have expired.
func (d *outageDetector) isOutage(now time.Duration) bool {
	return d.unavailable && now-d.unavailableSince >= d.config.MinOutage
}

// mayBeRenewed reports whether an entry that is missing at now may have expired in an
// outage, so that its worker may renew it yet.
func (d *outageDetector) mayBeRenewed(now time.Duration) bool {
	return d.isOutage(now) || now < d.graceEndsAt
}
