package member

import (
	"maps"
	"slices"
	"sort"
	"time"
)

// State is the published lifecycle state of an instance or endpoint.
type State string

// States that the platform publishes.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is an entry instance as published by the platform.
type Instance struct {
	// Name is unique across all data centres.
	Name string `json:"name"`
	// DataCentre is the name of the data centre that the instance runs in.
	DataCentre string `json:"dataCentre"`
	// PeerAddress is the host:port that accepts forwarded requests.
	PeerAddress string `json:"peerAddress"`
	// ControlAddress is the host:port that accepts Twirp calls.
	ControlAddress string `json:"controlAddress"`
	// State is Live or Leaving.
	State State `json:"state"`
}

// Config holds the timeouts of failure detection.
type Config struct {
	// SilentAfter is the time since the last heartbeat after which a peer
	// counts as silent. A shorter value detects failures sooner; a longer one
	// tolerates slow peers. Default: 3 s.
	SilentAfter time.Duration
	// ProbeAfter is the time since the last heartbeat after which a neighbour
	// is probed. It must be shorter than SilentAfter. Default: 1.5 s.
	ProbeAfter time.Duration
	// ReportFor is how long a report stays valid after its reporter last
	// confirmed it. A longer value tolerates lost messages; a shorter one
	// accepts a recovered instance sooner. Default: 6 s.
	ReportFor time.Duration
}

// DefaultConfig returns the timeouts for one data centre.
func DefaultConfig() Config {
	return Config{SilentAfter: 3 * time.Second, ProbeAfter: 1500 * time.Millisecond, ReportFor: 6 * time.Second}
}

// List combines the published instances with heartbeats and reports. It is not
// safe for concurrent use.
type List struct {
	config        Config
	self          string
	published     map[string]Instance
	sorted        []Instance      // the published instances by name
	perDataCentre map[string]int  // published instances by data centre
	observed      map[string]bool // nil means that all are observed
	// lastHeartbeat holds the time of the last heartbeat by instance name.
	lastHeartbeat map[string]time.Duration
	// announcedLeaving holds, by instance name, whether the last heartbeat said
	// that the instance is leaving.
	announcedLeaving map[string]bool
	reports          map[reportKey]report
}

// NewList returns an empty list for the instance with the name self.
func NewList(self string, config Config) *List {
	return &List{
		config:           config,
		self:             self,
		published:        make(map[string]Instance),
		lastHeartbeat:    make(map[string]time.Duration),
		announcedLeaving: make(map[string]bool),
		reports:          make(map[reportKey]report),
	}
}

// SetPublished replaces the list of published instances.
func (l *List) SetPublished(instances []Instance) {
	l.published = make(map[string]Instance, len(instances))
	l.perDataCentre = make(map[string]int)
	for _, instance := range instances {
		l.published[instance.Name] = instance
		l.perDataCentre[instance.DataCentre]++
	}
	l.sorted = slices.Collect(maps.Values(l.published))
	sortByName(l.sorted)
}

// SetObserved replaces the set of instances that this instance exchanges every
// heartbeat with. Missing heartbeats prove silence only for these; until the
// first call every instance is observed. The last heartbeat of a newly observed
// instance is set to now, because its earlier heartbeats were not expected here.
func (l *List) SetObserved(now time.Duration, names map[string]bool) {
	for name := range names {
		if _, known := l.lastHeartbeat[name]; known && !l.observes(name) {
			l.lastHeartbeat[name] = now
		}
	}
	l.observed = names
}

// observes reports whether this instance exchanges every heartbeat with the named
// instance.
func (l *List) observes(name string) bool {
	return name != l.self && (l.observed == nil || l.observed[name])
}

// RecordHeartbeat records a heartbeat from the named instance, and whether that
// instance says that it is leaving. It reports whether the result of Usable may change.
func (l *List) RecordHeartbeat(now time.Duration, name string, leaving bool) bool {
	changed := l.Silent(now, name) || l.announcedLeaving[name] != leaving
	l.lastHeartbeat[name] = now
	l.announcedLeaving[name] = leaving
	return changed
}

// Silent reports whether the named instance has stopped sending heartbeats. An
// observed instance is judged by its heartbeats, any other by the reports of peers
// unless it sent a heartbeat itself within SilentAfter.
func (l *List) Silent(now time.Duration, name string) bool {
	return l.isSilent(now, l.summariseReports(now), name)
}

func (l *List) isSilent(now time.Duration, reports reportSummary, name string) bool {
	if name == l.self {
		return false
	}
	if l.observes(name) {
		return l.isOverdue(now, name)
	}
	last, known := l.lastHeartbeat[name]
	if known && now-last <= l.config.SilentAfter {
		return false
	}
	return l.isReportedSilent(reports, name)
}

// isLeaving reports whether the named instance has announced that it is leaving.
// The announcement of an instance that is not observed expires, since a new process
// may have taken its name.
func (l *List) isLeaving(now time.Duration, reports reportSummary, name string) bool {
	current := l.observes(name) || now-l.lastHeartbeat[name] < l.config.ReportFor
	return l.announcedLeaving[name] && current || reports.leaving[name]
}

// isOverdue reports whether the last heartbeat of the named instance is older than
// SilentAfter. An instance that was never heard from is not overdue.
func (l *List) isOverdue(now time.Duration, name string) bool {
	last, known := l.lastHeartbeat[name]
	return known && now-last > l.config.SilentAfter
}

// Probes returns the observed instances whose last heartbeat is older than
// ProbeAfter, sorted by name. The caller should probe each of them.
func (l *List) Probes(now time.Duration) []Instance {
	var probes []Instance
	for name := range l.observed {
		last, known := l.lastHeartbeat[name]
		if instance, found := l.published[name]; found && known && now-last > l.config.ProbeAfter {
			probes = append(probes, instance)
		}
	}
	sortByName(probes)
	return probes
}

// Usable returns the instances that may be given new work, sorted by name: those
// that are published and neither leaving nor silent.
func (l *List) Usable(now time.Duration) []Instance {
	reports := l.summariseReports(now)
	usable := make([]Instance, 0, len(l.sorted))
	for _, instance := range l.sorted {
		if instance.State == Leaving || l.isLeaving(now, reports, instance.Name) || l.isSilent(now, reports, instance.Name) {
			continue
		}
		usable = append(usable, instance)
	}
	return usable
}

// NotLeaving returns the published instances that are not leaving, including silent
// ones, sorted by name.
func (l *List) NotLeaving(now time.Duration) []Instance {
	reports := l.summariseReports(now)
	staying := make([]Instance, 0, len(l.sorted))
	for _, instance := range l.sorted {
		if instance.State != Leaving && !l.isLeaving(now, reports, instance.Name) {
			staying = append(staying, instance)
		}
	}
	return staying
}

// Instance returns the published instance with that name.
func (l *List) Instance(name string) (Instance, bool) {
	instance, found := l.published[name]
	return instance, found
}

// Others returns the published instances except this one, sorted by name.
func (l *List) Others() []Instance {
	var others []Instance
	for _, instance := range l.sorted {
		if instance.Name != l.self {
			others = append(others, instance)
		}
	}
	return others
}

func sortByName(instances []Instance) {
	sort.Slice(instances, func(i, j int) bool { return instances[i].Name < instances[j].Name })
}
