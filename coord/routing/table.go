package routing

import (
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table finds the route of a request in one configuration. It is safe for concurrent
// use.
type Table struct {
	Config *Config
	// byHost holds the routes of each host in lower case, the longest prefix first.
	byHost map[string][]*Route
	// byKey holds the organisations by the digests of their keys.
	byKey map[KeyDigest]heldKey
}

// NewTable indexes a configuration. The caller must not modify it afterwards.
func NewTable(config *Config) *Table {
	t := &Table{Config: config, byHost: make(map[string][]*Route), byKey: indexKeys(config.Organisations)}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t
}

// Match returns the route of the host with the longest prefix of path, or nil. The
// host is matched without its port and regardless of case.
func (t *Table) Match(host, path string) *Route {
	if hostname, _, found := strings.Cut(host, ":"); found {
		host = hostname
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service chooses the service of a request by the weights of the targets. Every
// instance chooses the same service for the same request ID.
func (r *Route) Service(requestID string) string {
	total := 0
	for _, t := range r.Targets {
		total += max(t.Weight, 0)
	}
	if total == 0 {
		if len(r.Targets) == 0 {
			return ""
		}
		return r.Targets[0].Service
	}
	point := int(xxhash.Sum64String(requestID) % uint64(total))
	for _, t := range r.Targets {
		point -= max(t.Weight, 0)
		if point < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Register holds the table of the highest version that was offered, so the
// configuration never goes back to an older version. It is not safe for concurrent
// use.
type Register struct {
	current *Table
}

// Current returns the current table, or nil before the first offer.
func (g *Register) Current() *Table { return g.current }

// Version returns the current version, or 0 before the first offer.
func (g *Register) Version() uint64 {
	if g.current == nil {
		return 0
	}
	return g.current.Config.Version
}

// Offer installs config if its version is higher than the current one, and reports
// whether it did.
func (g *Register) Offer(config *Config) bool {
	if g.current != nil && config.Version <= g.current.Config.Version {
		return false
	}
	g.current = NewTable(config)
	return true
}
