// Package quarantine finds the parts of prompts that crash workers, and refuses the
// requests that contain them.
//
// A worker that crashes is evidence against the parts of the requests that it had
// not begun to respond to. A response that begins anywhere clears the parts of its
// request of all evidence from before. A part that remains in several crashes is
// quarantined. No instance sees enough crashes alone, so instances exchange evidence.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Part identifies a part of a prompt.
type Part uint64

// PartOf returns the Part of a part's ID.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// PartsOf returns the Parts of a list of IDs, in the same order.
func PartsOf(ids []string) []Part {
	parts := make([]Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, PartOf(id))
	}
	return parts
}

// Config holds the thresholds of a Detector.
type Config struct {
	// MinCrashes is the number of separate crashes that put a part in quarantine.
	// Fewer save workers; more protect parts that are rarely requested.
	MinCrashes int
	// SuspectCrashes is the number of separate crashes from which requests with a
	// part are not retried.
	SuspectCrashes int
	// CrashGap is the least time between two crashes that count separately. Workers
	// that fail together, for instance with their rack, crash within it.
	CrashGap time.Duration
	// EvidenceTTL is how long a crash counts.
	EvidenceTTL time.Duration
	// MaxCrashes bounds the crashes that are remembered; the oldest are dropped.
	MaxCrashes int
	// MaxAnnounced bounds the crashes in an update; the newest are sent.
	MaxAnnounced int
	// AnnounceFor is how long evidence is sent to peers after it has changed:
	// several heartbeats.
	AnnounceFor time.Duration
	// TrialAfter is the time until a first request with a quarantined part is
	// admitted again; it doubles with each trial, up to MaxTrialAfter.
	TrialAfter, MaxTrialAfter time.Duration
	// TrialOffset is the fraction of that time by which this instance waits longer.
	// It should differ between instances, so that one of them begins a trial.
	TrialOffset float64
	// RecentFor is how long successes are remembered for crashes that become known
	// later, within two such periods.
	RecentFor time.Duration
}

// DefaultConfig returns thresholds for fleets of tens to thousands of workers.
func DefaultConfig() Config {
	return Config{
		MinCrashes:     3,
		SuspectCrashes: 2,
		CrashGap:       100 * time.Millisecond, // twice a round trip between regions
		EvidenceTTL:    5 * time.Minute,
		MaxCrashes:     128,
		MaxAnnounced:   16,
		AnnounceFor:    1700 * time.Millisecond, // four heartbeats of 400 ms
		TrialAfter:     time.Minute,
		MaxTrialAfter:  16 * time.Minute,
		RecentFor:      5 * time.Second,
	}
}

// Crash is the evidence of one crash. Both sets of parts only grow.
type Crash struct {
	// Worker identifies the process that crashed.
	Worker string
	At     time.Duration
	// Depths holds the parts of the requests that the worker had not begun to
	// respond to, with their position in the prompt.
	Depths map[Part]int
	// Cleared holds those of them that were in a response that began later.
	Cleared map[Part]bool
}

// Quarantine is the state of a part that is or was in quarantine. Of two states of a
// part the later one holds; see isLater.
type Quarantine struct {
	Part Part
	// Episode counts the quarantines of the part from 1.
	Episode  int
	Released bool
	// Trials is the number of requests that were admitted on trial, and LastTrial
	// the time of the latest, or of the start of the quarantine.
	Trials    int
	LastTrial time.Duration
}

// isLater reports whether q is a later state than other.
func (q Quarantine) isLater(other Quarantine) bool {
	if q.Episode != other.Episode {
		return q.Episode > other.Episode
	}
	if q.Released != other.Released {
		return q.Released
	}
	return q.Trials > other.Trials
}

// Update is what instances send each other.
type Update struct {
	Crashes     []Crash
	Quarantines []Quarantine
}

// Change is a part that was put in quarantine or released.
type Change struct {
	Part        Part
	Quarantined bool
}

// crash is a Crash with the time until which it is announced.
type crash struct {
	Crash
	announceUntil time.Duration
}

// quarantine is a Quarantine with the time at which this instance learned of it.
// Released ones are announced until announceUntil, others always.
type quarantine struct {
	Quarantine
	knownSince, announceUntil time.Duration
}

// Detector holds the evidence of one instance. It is not safe for concurrent use.
// The times of all calls are readings of one clock.
type Detector struct {
	config Config
	// crashes holds the evidence by worker.
	crashes     map[string]*crash
	quarantines map[Part]*quarantine
	// recent holds the times of the latest responses that began, by part, in the
	// current and the previous period.
	recent      [2]map[Part]time.Duration
	recentSince time.Duration
}

// NewDetector returns a detector without evidence.
func NewDetector(config Config) *Detector {
	return &Detector{
		config: config, crashes: make(map[string]*crash), quarantines: make(map[Part]*quarantine),
		recent: [2]map[Part]time.Duration{{}, {}},
	}
}

// RecordCrash records that a worker crashed before it began to respond to a request
// with the given parts, and returns the parts that are quarantined because of it.
func (d *Detector) RecordCrash(now time.Duration, worker string, parts []Part) []Change {
	depths := make(map[Part]int, len(parts))
	for depth, p := range parts {
		depths[p] = depth
	}
	return d.Merge(now, Update{Crashes: []Crash{{Worker: worker, At: now, Depths: depths}}})
}

// RecordSuccess records that a response to a request with the given parts began, and
// returns what changes because of it.
func (d *Detector) RecordSuccess(now time.Duration, parts []Part) []Change {
	if now-d.recentSince >= d.config.RecentFor {
		d.recent[0], d.recent[1], d.recentSince = map[Part]time.Duration{}, d.recent[0], now
	}
	var changes []Change
	for _, p := range parts {
		d.recent[0][p] = now
		d.clear(now, p)
		if d.isQuarantined(p) && d.quarantines[p].knownSince < now {
			released := d.quarantines[p].Quarantine
			released.Released = true
			changes = append(changes, d.mergeQuarantine(now, released)...)
		}
	}
	if len(changes) > 0 {
		changes = append(changes, d.decide(now)...) // other parts may explain the crashes now
	}
	return changes
}

// clear removes the evidence against a part from all crashes before now.
func (d *Detector) clear(now time.Duration, p Part) {
	for _, c := range d.crashes {
		if _, contains := c.Depths[p]; contains && !c.Cleared[p] && c.At < now {
			c.Cleared[p], c.announceUntil = true, now+d.config.AnnounceFor
		}
	}
}

// Verdict is a decision on a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted requests have no quarantined part.
	Admitted Verdict = iota
	// Trial requests have a quarantined part and are admitted all the same, one
	// from time to time.
	Trial
	// Refused requests must not be sent to a worker.
	Refused
)

// Admit decides whether a request with the given parts may be sent to a worker.
func (d *Detector) Admit(now time.Duration, parts []Part) Verdict {
	verdict := d.Preview(now, parts)
	if verdict == Trial {
		d.beginTrial(now, parts)
	}
	return verdict
}

// Preview returns what Admit would decide, without beginning a trial.
func (d *Detector) Preview(now time.Duration, parts []Part) Verdict {
	verdict := Admitted
	for _, p := range parts {
		if !d.isQuarantined(p) {
			continue
		}
		if q := d.quarantines[p]; now-q.LastTrial < d.trialDelay(q.Trials) {
			return Refused
		}
		verdict = Trial
	}
	return verdict
}

func (d *Detector) beginTrial(now time.Duration, parts []Part) {
	for _, p := range parts {
		if d.isQuarantined(p) {
			q := d.quarantines[p]
			q.LastTrial, q.Trials = now, q.Trials+1
		}
	}
}

func (d *Detector) trialDelay(trials int) time.Duration {
	delay := d.config.TrialAfter
	for range trials {
		if delay >= d.config.MaxTrialAfter {
			break
		}
		delay *= 2
	}
	delay = min(delay, d.config.MaxTrialAfter)
	return delay + time.Duration(d.config.TrialOffset*float64(delay))
}

func (d *Detector) isQuarantined(p Part) bool {
	q := d.quarantines[p]
	return q != nil && !q.Released
}

// Suspect reports whether a request with the given parts should not be sent again
// after it was sent to a worker that crashed.
func (d *Detector) Suspect(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		return d.isQuarantined(p) || d.count(p) >= d.config.SuspectCrashes
	})
}

// Quarantined returns the number of parts in quarantine.
func (d *Detector) Quarantined() int {
	count := 0
	for p := range d.quarantines {
		if d.isQuarantined(p) {
			count++
		}
	}
	return count
}

// Update returns what to send to peers.
func (d *Detector) Update(now time.Duration) Update {
	var u Update
	for _, c := range d.crashes {
		if now < c.announceUntil {
			u.Crashes = append(u.Crashes, c.clone())
		}
	}
	slices.SortFunc(u.Crashes, func(a, b Crash) int { return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Worker, b.Worker)) })
	u.Crashes = u.Crashes[:min(len(u.Crashes), d.config.MaxAnnounced)]
	for _, q := range d.quarantines {
		if !q.Released || now < q.announceUntil {
			u.Quarantines = append(u.Quarantines, q.Quarantine)
		}
	}
	return u
}

func (c *crash) clone() Crash {
	return Crash{Worker: c.Worker, At: c.At, Depths: maps.Clone(c.Depths), Cleared: maps.Clone(c.Cleared)}
}

// Merge applies an update of a peer and returns what changes.
func (d *Detector) Merge(now time.Duration, u Update) []Change {
	isNew := false
	for _, c := range u.Crashes {
		isNew = d.mergeCrash(now, c) || isNew
	}
	var changes []Change
	for _, q := range u.Quarantines {
		changes = append(changes, d.mergeQuarantine(now, q)...)
	}
	if isNew || len(changes) > 0 {
		d.expire(now)
		changes = append(changes, d.decide(now)...)
	}
	return changes
}

// mergeCrash adds evidence and reports whether any of it is new.
func (d *Detector) mergeCrash(now time.Duration, c Crash) bool {
	if now-c.At >= d.config.EvidenceTTL {
		return false
	}
	known := d.crashes[c.Worker]
	if known == nil {
		d.dropOldest()
		known = &crash{Crash: Crash{Worker: c.Worker, At: c.At, Depths: make(map[Part]int), Cleared: make(map[Part]bool)}}
		d.crashes[c.Worker] = known
	}
	known.At = min(known.At, c.At)
	isNew := false
	for p, depth := range c.Depths {
		if _, contains := known.Depths[p]; !contains {
			known.Depths[p], isNew = depth, true
		}
		if !known.Cleared[p] && (c.Cleared[p] || d.lastSuccess(p) > known.At) {
			known.Cleared[p], isNew = true, true
		}
	}
	if isNew {
		known.announceUntil = now + d.config.AnnounceFor
	}
	return isNew
}

// lastSuccess returns the time of the latest response that began here to a request
// with the part, 0 if there was none recently.
func (d *Detector) lastSuccess(p Part) time.Duration { return max(d.recent[0][p], d.recent[1][p]) }

// dropOldest makes room for one more crash.
func (d *Detector) dropOldest() {
	if len(d.crashes) < d.config.MaxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Values(d.crashes)), func(a, b *crash) int { return cmp.Compare(a.At, b.At) })
	delete(d.crashes, oldest.Worker)
}

func (d *Detector) mergeQuarantine(now time.Duration, q Quarantine) []Change {
	known := d.quarantines[q.Part]
	if known == nil {
		known = &quarantine{Quarantine: Quarantine{Part: q.Part, Released: true}}
		d.quarantines[q.Part] = known
	}
	if known.isLater(q) {
		d.announceAgain(now, known)
	}
	if !q.isLater(known.Quarantine) {
		return nil
	}
	if q.Episode == known.Episode {
		q.LastTrial = max(q.LastTrial, known.LastTrial)
	}
	wasQuarantined := !known.Released
	known.Quarantine, known.announceUntil = q, now+d.config.AnnounceFor
	if wasQuarantined == !q.Released {
		return nil
	}
	known.knownSince = now
	return []Change{{Part: q.Part, Quarantined: !q.Released}}
}

// announceAgain sends what is known of a part to peers that have missed it.
func (d *Detector) announceAgain(now time.Duration, q *quarantine) {
	q.announceUntil = now + d.config.AnnounceFor
	for _, c := range d.crashes {
		if _, contains := c.Depths[q.Part]; contains {
			c.announceUntil = q.announceUntil
		}
	}
}

// expire forgets old crashes.
func (d *Detector) expire(now time.Duration) {
	maps.DeleteFunc(d.crashes, func(_ string, c *crash) bool { return now-c.At >= d.config.EvidenceTTL })
}

// decide brings the quarantines in line with the evidence. Parts that are needed to
// explain the crashes are quarantined. Quarantined parts whose crashes are all
// explained by others are released: they were decided on with less evidence.
func (d *Detector) decide(now time.Duration) []Change {
	evidence := d.evidenceByPart()
	needed, explained := d.cover(evidence)
	var changes []Change
	for _, p := range needed {
		if !d.isQuarantined(p) {
			changes = append(changes, d.mergeQuarantine(now, d.nextEpisode(now, p))...)
		}
	}
	for p, e := range evidence {
		if d.isQuarantined(p) && !slices.Contains(needed, p) && e.isSubsetOf(explained) {
			released := d.quarantines[p].Quarantine
			released.Released = true
			changes = append(changes, d.mergeQuarantine(now, released)...)
		}
	}
	return changes
}

func (d *Detector) nextEpisode(now time.Duration, p Part) Quarantine {
	episode := 1
	if known := d.quarantines[p]; known != nil {
		episode = known.Episode + 1
	}
	return Quarantine{Part: p, Episode: episode, LastTrial: now}
}

// count returns the number of separate crashes against a part that no quarantined
// part explains.
func (d *Detector) count(p Part) int {
	var crashes []*crash
	for _, c := range d.crashes {
		if _, contains := c.Depths[p]; contains && !c.Cleared[p] && !d.isExplained(c) {
			crashes = append(crashes, c)
		}
	}
	return d.countSeparate(crashes, nil)
}

// isExplained reports whether a quarantined part accounts for a crash.
func (d *Detector) isExplained(c *crash) bool {
	for p := range c.Depths {
		if !c.Cleared[p] && d.isQuarantined(p) {
			return true
		}
	}
	return false
}
