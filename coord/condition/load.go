package condition

import "time"

// LoadReport is the load that a worker states in a response.
type LoadReport struct {
	// Running and Waiting are the numbers of requests in progress and queued, from
	// all instances. Slots is the number that the worker runs at once.
	Running, Waiting, Slots int
	// Pace is the time that work takes at this moment relative to the usual time, on
	// a machine that the worker shares with others. It is 0 if the worker does not
	// state it.
	Pace float64
}

// reportTTL is how long a report is used: about the time in which the batch of an
// engine turns over. Heartbeats of other instances are newer then.
const reportTTL = time.Second

// Load estimates a worker's load from its last report and this instance's requests
// since then. The zero value is ready for use. It is not safe for concurrent use.
type Load struct {
	last       LoadReport
	reportedAt time.Duration
	reported   bool
	// sent and ended count this instance's requests since the last report.
	sent, ended int
	pace        Pace
}

// Observe records a report. Reports must be observed in the order of their arrival.
func (l *Load) Observe(now time.Duration, r LoadReport) {
	l.last, l.reportedAt, l.reported, l.sent, l.ended = r, now, true, 0, 0
	if r.Pace > 0 {
		l.pace.Observe(now, r.Pace)
	}
}

// Sent records that a request is sent to the worker.
func (l *Load) Sent() { l.sent++ }

// Ended records that a request is no longer in progress at the worker.
func (l *Load) Ended() { l.ended++ }

// InProgress estimates the number of requests in progress or queued at the worker,
// from all instances; false if there is no recent report.
func (l *Load) InProgress(now time.Duration) (int, bool) {
	if !l.reported || now-l.reportedAt > reportTTL {
		return 0, false
	}
	return max(l.last.Running+l.last.Waiting+l.sent-l.ended, l.sent-l.ended, 0), true
}

// Pace returns the time that work is expected to take relative to the usual time.
func (l *Load) Pace(now time.Duration) float64 { return l.pace.Expected(now) }

// slowPace is the pace from which a worker counts as slow, relative to its usual pace:
// above the differences between machines of one service.
const slowPace = 1.5

// usualPaceWeight is the weight of the newest reading in the usual pace.
const usualPaceWeight = 0.1

// maxPaceTrust is the longest time for which a slow phase is expected to go on.
const maxPaceTrust = 2 * time.Second

// Pace predicts the pace of a shared machine. A reading says little about the next
// moment, since it changes many times a second; a slow phase is expected to last as
// long again as it has already lasted. The zero value is ready for use.
type Pace struct {
	// usual is the moving average of the readings outside slow phases, since machines
	// of one service differ; 0 before the first one.
	usual float64
	// slowSince and lastAt are the first and the last reading of the current slow
	// phase; weighted sums its readings times the seconds for which each was the
	// latest, and latest is the last one.
	slow              bool
	slowSince, lastAt time.Duration
	weighted, latest  float64
}

// Observe records a reading, 1 being the usual pace.
func (p *Pace) Observe(now time.Duration, reading float64) {
	switch {
	case reading < slowPace*p.usualOr(1):
		*p = Pace{usual: p.usualOr(reading) + usualPaceWeight*(reading-p.usualOr(reading))}
		return
	case !p.slow:
		*p = Pace{usual: p.usual, slow: true, slowSince: now}
	default:
		p.weighted += p.latest * (now - p.lastAt).Seconds()
	}
	p.lastAt, p.latest = now, reading
}

// usualOr returns the usual pace, or unknown if there is no reading of it yet.
func (p *Pace) usualOr(unknown float64) float64 {
	if p.usual == 0 {
		return unknown
	}
	return p.usual
}

// Expected returns the pace to expect: the usual one, or that of a slow phase that is
// known to last.
func (p *Pace) Expected(now time.Duration) float64 {
	lasted := p.lastAt - p.slowSince
	if !p.slow || lasted <= 0 || now-p.lastAt > min(lasted, maxPaceTrust) {
		return p.usualOr(1)
	}
	return p.weighted / lasted.Seconds()
}
