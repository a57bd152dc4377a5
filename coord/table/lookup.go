package table

import (
	"maps"
	"slices"
	"strings"
)

// Snapshot returns the manifest and the published chunks that the table was built
// from. The chunks' bytes are shared and must not be modified.
func (t *Table) Snapshot() Snapshot {
	s := Snapshot{Manifest: t.manifest, Chunks: make(map[string][]byte, len(t.refs))}
	for _, ref := range t.refs {
		s.Chunks[ref.Key] = t.chunks[ref.Digest].data
	}
	return s
}

// Manifest returns the manifest that the table was built from.
func (t *Table) Manifest() Manifest { return t.manifest }

// Chunk returns the bytes of the chunk with that digest. They are shared and must
// not be modified.
func (t *Table) Chunk(digest string) ([]byte, bool) {
	p, found := t.chunks[digest]
	if !found {
		return nil, false
	}
	return p.data, true
}

// Digest returns the digest of the table's manifest.
func (t *Table) Digest() string { return t.digest }

// Stamp returns the table's stamp.
func (t *Table) Stamp() Stamp { return Stamp{Revision: t.Revision, Digest: t.digest} }

// EngineRoute returns the engine route with the longest prefix of the adapter's
// name.
func (t *Table) EngineRoute(adapter string) (*Route, bool) {
	for _, route := range t.engineRoutes {
		if strings.HasPrefix(adapter, route.AdapterPrefix) {
			return route, true
		}
	}
	return nil, false
}

// ServiceRoute returns the service route with the longest prefix of the path.
func (t *Table) ServiceRoute(path string) (*Route, bool) {
	for _, route := range t.serviceRoutes {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return nil, false
}

// RouteNamed returns the route with that name.
func (t *Table) RouteNamed(name string) (*Route, bool) {
	for i := range t.Routes {
		if t.Routes[i].Name == name {
			return &t.Routes[i], true
		}
	}
	return nil, false
}

// HasVersion reports whether the pool serves that version of the adapter.
func (t *Table) HasVersion(pool string, a AdapterVersion) bool {
	return t.adapters.has(pool, a)
}

// Endpoint returns the endpoint with that name and its pool.
func (t *Table) Endpoint(name string) (*Endpoint, *Pool, bool) {
	l, found := t.endpoints[name]
	return l.endpoint, l.pool, found
}

// RegionOf returns the region of a data centre, or "" if no region lists it.
func (t *Table) RegionOf(dataCentre string) string { return t.regionOf[dataCentre] }

// DataCentres returns the data centres of all regions, sorted by name.
func (t *Table) DataCentres() []string {
	return slices.Sorted(maps.Keys(t.regionOf))
}
