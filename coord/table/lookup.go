package table

import "strings"

// Snapshot returns the published bytes that the table was built from.
func (t *Table) Snapshot() Snapshot { return t.snapshot }

// Digest returns the digest of the table's manifest.
func (t *Table) Digest() string { return t.digest }

// EngineRoute returns the route with the longest adapter prefix that matches.
func (t *Table) EngineRoute(adapter string) (*Route, bool) {
	for _, route := range t.engines {
		if strings.HasPrefix(adapter, route.AdapterPrefix) {
			return route, true
		}
	}
	return nil, false
}

// ServiceRoute returns the route with the longest path prefix that matches.
func (t *Table) ServiceRoute(path string) (*Route, bool) {
	for _, route := range t.services {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RouteNamed returns the route of that name.
func (t *Table) RouteNamed(name string) (*Route, bool) {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// HasVersion tells whether the pool serves that version of the adapter.
func (t *Table) HasVersion(pool string, a AdapterVersion) bool {
	_, found := t.versions[poolAdapter{pool, a.Adapter}][a.Version]
	return found
}

// Endpoint returns the endpoint of that name and its pool.
func (t *Table) Endpoint(name string) (*Endpoint, *Pool, bool) {
	l, found := t.endpoints[name]
	return l.endpoint, l.pool, found
}

// RegionOf returns the region of a data centre, or "" where none is published.
func (t *Table) RegionOf(dataCentre string) string { return t.regionOf[dataCentre] }
