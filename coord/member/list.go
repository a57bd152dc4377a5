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
}

// DefaultConfig returns the settings for one data centre.
func DefaultConfig() Config {
	return Config{SilentAfter: 3 * time.Second}
}

// List joins the published instances with heartbeats. It is not safe for
// concurrent use.
type List struct {
	config    Config
	self      string
	published map[string]Instance
	heard     map[string]time.Duration
	leaving   map[string]bool
}

// NewList returns an empty list for the instance named self.
func NewList(self string, config Config) *List {
	return &List{
		config:    config,
		self:      self,
		published: make(map[string]Instance),
		heard:     make(map[string]time.Duration),
		leaving:   make(map[string]bool),
	}
}

// Publish replaces the platform's list.
func (l *List) Publish(instances []Instance) {
	l.published = make(map[string]Instance, len(instances))
	for _, instance := range instances {
		l.published[instance.Name] = instance
	}
}

// Heard records a heartbeat from name; leaving is what the peer says of itself.
func (l *List) Heard(now time.Duration, name string, leaving bool) {
	l.heard[name] = now
	l.leaving[name] = leaving
}

// Silent tells whether name has been heard and has since gone quiet.
func (l *List) Silent(now time.Duration, name string) bool {
	last, known := l.heard[name]
	return known && name != l.self && now-last > l.config.SilentAfter
}

// Usable returns the instances that may be given new work: published, neither
// leaving nor silent, sorted by name.
func (l *List) Usable(now time.Duration) []Instance {
	var usable []Instance
	for name, instance := range l.published {
		if instance.State == Leaving || l.leaving[name] || l.Silent(now, name) {
			continue
		}
		usable = append(usable, instance)
	}
	sort.Slice(usable, func(i, j int) bool { return usable[i].Name < usable[j].Name })
	return usable
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
	sort.Slice(others, func(i, j int) bool { return others[i].Name < others[j].Name })
	return others
}
