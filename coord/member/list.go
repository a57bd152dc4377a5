package member

import (
	"sort"
	"time"
)

// State is what the platform says of an instance or endpoint.
type State string

// The published states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one entry instance as the platform publishes it.
type Instance struct {
	// Name is the instance's name, unique over all data centres.
	Name string `json:"name"`
	// DataCentre names where it stands.
	DataCentre string `json:"dataCentre"`
	// PeerAddress receives forwarded requests, host:port.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress receives twirp calls, host:port.
	ControlAddress string `json:"controlAddress"`
	// State is live or leaving.
	State State `json:"state"`
}

// Config tells when an instance counts as silent.
type Config struct {
	// SilentAfter is how long without a heartbeat before a peer that has been
	// heard counts as silent. Shorter finds a failure sooner; longer rides out
	// a slow peer. Default: 3 s.
	SilentAfter time.Duration
	// ProbeAfter is how long without a heartbeat before a neighbour is asked
	// whether it lives. Below SilentAfter. Default: 1.5 s.
	ProbeAfter time.Duration
	// ReportFor is how long a report counts after its reporter was last sure.
	// Longer rides out lost messages; shorter believes a returned instance
	// sooner. Default: 6 s.
	ReportFor time.Duration
}

// DefaultConfig returns the settings for one data centre.
func DefaultConfig() Config {
	return Config{SilentAfter: 3 * time.Second, ProbeAfter: 1500 * time.Millisecond, ReportFor: 6 * time.Second}
}

// List joins the published instances with heartbeats and reports. It is not
// safe for concurrent use.
type List struct {
	config        Config
	self          string
	published     map[string]Instance
	perDataCentre map[string]int
	observed      map[string]bool // nil observes everyone
	heard         map[string]time.Duration
	leaving       map[string]bool
	reports       map[reportKey]report
}

// NewList returns an empty list for the instance named self.
func NewList(self string, config Config) *List {
	return &List{
		config:    config,
		self:      self,
		published: make(map[string]Instance),
		heard:     make(map[string]time.Duration),
		leaving:   make(map[string]bool),
		reports:   make(map[reportKey]report),
	}
}

// Publish replaces the platform's list.
func (l *List) Publish(instances []Instance) {
	l.published = make(map[string]Instance, len(instances))
	l.perDataCentre = make(map[string]int)
	for _, instance := range instances {
		l.published[instance.Name] = instance
		l.perDataCentre[instance.DataCentre]++
	}
}

// Observe names the instances that this one exchanges every heartbeat with.
// Only they can be found silent by own evidence; before the first call all are.
// A newly observed one counts as heard now.
func (l *List) Observe(now time.Duration, names map[string]bool) {
	for name := range names {
		if _, known := l.heard[name]; known && !l.observes(name) {
			l.heard[name] = now
		}
	}
	l.observed = names
}

func (l *List) observes(name string) bool {
	return name != l.self && (l.observed == nil || l.observed[name])
}

// Heard records a heartbeat from name; leaving is what the peer says of itself.
// It tells whether that may change who is usable.
func (l *List) Heard(now time.Duration, name string, leaving bool) bool {
	changed := l.Silent(now, name) || l.leaving[name] != leaving
	l.heard[name] = now
	l.leaving[name] = leaving
	return changed
}

// Silent tells whether name has been heard and has since gone quiet, by own
// evidence for a neighbour and by reports for any other.
func (l *List) Silent(now time.Duration, name string) bool {
	return l.silent(now, l.findings(now), name)
}

func (l *List) silent(now time.Duration, f findings, name string) bool {
	if name == l.self {
		return false
	}
	if l.observes(name) {
		return l.quiet(now, name)
	}
	last, known := l.heard[name]
	if known && now-last <= l.config.SilentAfter {
		return false
	}
	return l.reportedSilent(f, name)
}

// saysLeaving tells whether name said itself that it leaves. What it said ages
// once it is no neighbour, since a new process may have taken its name.
func (l *List) saysLeaving(now time.Duration, f findings, name string) bool {
	recent := l.observes(name) || now-l.heard[name] < l.config.ReportFor
	return l.leaving[name] && recent || f.leaving[name]
}

// quiet tells whether name has been heard and not within SilentAfter.
func (l *List) quiet(now time.Duration, name string) bool {
	last, known := l.heard[name]
	return known && now-last > l.config.SilentAfter
}

// Probes returns the neighbours that have been quiet for so long that they
// should be asked, sorted by name.
func (l *List) Probes(now time.Duration) []Instance {
	var probes []Instance
	for name := range l.observed {
		last, known := l.heard[name]
		if instance, found := l.published[name]; found && known && now-last > l.config.ProbeAfter {
			probes = append(probes, instance)
		}
	}
	sortByName(probes)
	return probes
}

// Usable returns the instances that may be given new work: published, neither
// leaving nor silent, sorted by name.
func (l *List) Usable(now time.Duration) []Instance {
	found := l.findings(now)
	var usable []Instance
	for name, instance := range l.published {
		if instance.State == Leaving || l.saysLeaving(now, found, name) || l.silent(now, found, name) {
			continue
		}
		usable = append(usable, instance)
	}
	sortByName(usable)
	return usable
}

// Staying returns the instances that are published and not leaving, silent ones
// included, sorted by name.
func (l *List) Staying(now time.Duration) []Instance {
	found := l.findings(now)
	var staying []Instance
	for name, instance := range l.published {
		if instance.State != Leaving && !l.saysLeaving(now, found, name) {
			staying = append(staying, instance)
		}
	}
	sortByName(staying)
	return staying
}

// Instance returns the published instance of that name.
func (l *List) Instance(name string) (Instance, bool) {
	instance, found := l.published[name]
	return instance, found
}

// Others returns the published instances besides this one, sorted by name.
func (l *List) Others() []Instance {
	var others []Instance
	for name, instance := range l.published {
		if name != l.self {
			others = append(others, instance)
		}
	}
	sortByName(others)
	return others
}

func sortByName(instances []Instance) {
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
}
