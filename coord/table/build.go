package table

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// Table is one valid revision, indexed for lookup. It is immutable and therefore
// safe for concurrent use.
type Table struct {
	Revision uint64
	Regions  []Region
	Routes   []Route
	Pools    map[string]*Pool

	manifest Manifest
	digest   string
	// refs lists the chunks with their keys, those of index chunks included.
	refs []ChunkRef
	// chunks holds the parsed chunks by digest.
	chunks        map[string]*parsedChunk
	adapters      *adapterIndex
	engineRoutes  []*Route
	serviceRoutes []*Route
	endpoints     map[string]endpointEntry
	regionOf      map[string]string
}

// endpointEntry is an endpoint with its pool.
type endpointEntry struct {
	pool     *Pool
	endpoint *Endpoint
}

// Build parses a snapshot and validates it as a whole. Its error is Findings,
// which lists all defects.
func Build(s Snapshot) (*Table, error) {
	a := NewAssembly(s.Manifest, nil, nil)
	for added := true; added; {
		added = false
		for _, ref := range a.Missing() {
			if data, found := s.Chunks[ref.Key]; found && a.Add(data) {
				added = true
			}
		}
	}
	return a.Build()
}

// Build merges the chunks into a table and validates it as a whole. Its error is
// Findings, which lists all defects. Chunks that the base table has are neither
// parsed nor checked for duplicate adapters again.
func (a *Assembly) Build() (*Table, error) {
	b := builder{assembly: a, keys: make(map[*parsedChunk]string, len(a.chunks)), table: &Table{
		Revision:  a.manifest.Revision,
		Pools:     make(map[string]*Pool),
		manifest:  a.manifest,
		refs:      a.refs,
		chunks:    a.chunks,
		adapters:  a.baseAdapters(),
		endpoints: make(map[string]endpointEntry, a.estimateEndpoints()),
		regionOf:  make(map[string]string),
	}}
	b.checkManifest()
	b.collectChunks()
	for _, add := range []func(*keyedChunk){b.addRegions, b.addPools, b.addEndpoints, b.addRoutes, b.addAdapters} {
		for i := range b.chunks {
			add(&b.chunks[i])
		}
	}
	if err := b.err(); err != nil {
		return nil, err
	}
	b.table.digest = Digest(a.manifest.Encode())
	b.table.buildIndexes()
	return b.table, nil
}

// builder holds the state of Assembly.Build.
type builder struct {
	assembly *Assembly
	table    *Table
	findings Findings
	// chunks lists the chunks in the order of the manifest, each once.
	chunks []keyedChunk
	// keys holds the key of each chunk.
	keys map[*parsedChunk]string
	// incomplete reports whether a chunk is missing or could not be decoded.
	incomplete bool
}

// keyedChunk is a chunk with its key and the findings that depend on other chunks.
type keyedChunk struct {
	*parsedChunk
	strictjson.Collector
	key string
	// isNew reports whether the base table lacks the chunk.
	isNew bool
}

// reportUndefined adds a finding for a reference to a pool that the table lacks.
// It adds none if a chunk is missing or unreadable, since that chunk may define
// the pool.
func (b *builder) reportUndefined(p *keyedChunk, path, what, name string) {
	if !b.incomplete {
		p.Addf(path, "%s %q is not defined%s", what, name, strictjson.Suggest(name, b.poolNames()))
	}
}

func pathOf(field string, i int) string { return fmt.Sprintf("%s[%d]", field, i) }

func (b *builder) checkManifest() {
	c := &strictjson.Collector{}
	if b.table.Revision == 0 {
		c.Addf("revision", "must be at least 1")
	}
	checkRefs(c, b.assembly.manifest.Chunks)
	keyByDigest := make(map[string]string)
	for _, ref := range b.assembly.refs {
		if other, duplicate := keyByDigest[ref.Digest]; duplicate && other != ref.Key {
			c.Addf("chunks", "chunks %q and %q are the same", other, ref.Key)
		}
		keyByDigest[ref.Digest] = ref.Key
	}
	b.incomplete = len(b.assembly.missing) > 0
	for _, ref := range b.assembly.missing {
		c.Addf("chunks", "chunk %q with digest %s is missing", ref.Key, ref.Digest)
	}
	data := b.assembly.manifest.Encode()
	b.findings = append(withChunk(ManifestName, c.Locate(data)), b.assembly.findings...)
}

// collectChunks lists the chunks in the order of the manifest, each once.
func (b *builder) collectChunks() {
	seen := make(map[string]bool)
	for _, ref := range b.assembly.refs {
		p, found := b.assembly.chunks[ref.Digest]
		if !found || seen[ref.Digest] {
			continue
		}
		seen[ref.Digest] = true
		b.incomplete = b.incomplete || !p.usable
		isNew := b.assembly.base == nil || b.assembly.base.chunks[ref.Digest] == nil
		b.chunks = append(b.chunks, keyedChunk{parsedChunk: p, key: ref.Key, isNew: isNew})
		b.keys[p] = ref.Key
	}
}

// err returns all findings as an error, or nil if there are none.
func (b *builder) err() error {
	for i := range b.chunks {
		p := &b.chunks[i]
		found := append(slices.Clip(p.findings), p.Locate(p.data)...)
		found.Sort()
		b.findings = append(b.findings, withChunk(p.key, found)...)
	}
	return b.findings.Err()
}

func (b *builder) addRegions(p *keyedChunk) {
	for i, region := range p.chunk.Regions {
		for j, dataCentre := range region.DataCentres {
			if _, duplicate := b.table.regionOf[dataCentre]; duplicate {
				p.Addf(pathOf(pathOf("regions", i)+".dataCentres", j), "data centre %q is listed in two regions", dataCentre)
			}
			b.table.regionOf[dataCentre] = region.Name
		}
		b.table.Regions = append(b.table.Regions, region)
	}
}

func (b *builder) addPools(p *keyedChunk) {
	for i := range p.chunk.Pools {
		pool := p.chunk.Pools[i]
		path := pathOf("pools", i)
		if _, duplicate := b.table.Pools[pool.Name]; duplicate {
			p.Addf(path+".name", "pool %q is defined twice", pool.Name)
			continue
		}
		pool.Endpoints = pool.Endpoints[:len(pool.Endpoints):len(pool.Endpoints)] // so that appending copies the shared slice
		b.table.Pools[pool.Name] = &pool
		for j, endpoint := range pool.Endpoints {
			if b.isDuplicateEndpoint(endpoint.Name) {
				p.Addf(pathOf(path+".endpoints", j)+".name", "endpoint %q is defined twice", endpoint.Name)
			}
		}
	}
}

// addEndpoints adds the endpoints that are published separately from their pools.
func (b *builder) addEndpoints(p *keyedChunk) {
	for i, e := range p.chunk.Endpoints {
		pool, found := b.table.Pools[e.Pool]
		if !found {
			b.reportUndefined(p, pathOf("endpoints", i)+".pool", "pool", e.Pool)
			continue
		}
		if b.isDuplicateEndpoint(e.Name) {
			p.Addf(pathOf("endpoints", i)+".name", "endpoint %q is defined twice", e.Name)
		}
		pool.Endpoints = append(pool.Endpoints, e.endpoint())
	}
}

// isDuplicateEndpoint records an endpoint's name and reports whether it had been
// recorded before.
func (b *builder) isDuplicateEndpoint(name string) bool {
	before := len(b.table.endpoints)
	b.table.endpoints[name] = endpointEntry{}
	return len(b.table.endpoints) == before
}

func (b *builder) addRoutes(p *keyedChunk) {
	for i := range p.chunk.Routes {
		route := p.chunk.Routes[i]
		path := pathOf("routes", i)
		if b.hasRoute(route.Name) {
			p.Addf(path+".name", "route %q is defined twice", route.Name)
		}
		if pool, found := b.table.Pools[route.Pool]; found {
			checkRouteMatch(p, path, &route, pool)
		} else {
			b.reportUndefined(p, path+".pool", "pool", route.Pool)
		}
		b.table.Routes = append(b.table.Routes, route)
	}
}

func (b *builder) hasRoute(name string) bool {
	_, found := b.table.RouteNamed(name)
	return found
}

// checkRouteMatch checks that a route has only the prefix that its pool's kind
// uses.
func checkRouteMatch(p *keyedChunk, path string, route *Route, pool *Pool) {
	if pool.Kind == Service && !strings.HasPrefix(route.PathPrefix, "/") {
		p.Addf(path+".pathPrefix", "a service route needs a path prefix that begins with /")
	}
	if pool.Kind == Engine && route.PathPrefix != "" {
		p.Addf(path+".pathPrefix", "an engine route matches by adapterPrefix")
	}
	if pool.Kind == Service && route.AdapterPrefix != "" {
		p.Addf(path+".adapterPrefix", "a service route matches by pathPrefix")
	}
}

func (b *builder) addAdapters(p *keyedChunk) {
	for name, use := range p.adapterPools {
		if pool, found := b.table.Pools[name]; found && pool.Kind == Engine {
			continue
		}
		what := fmt.Sprintf("in %d adapters the engine pool", use.count)
		b.reportUndefined(p, pathOf("adapters", use.firstAdapter)+".pool", what, name)
	}
	if !p.isNew {
		return
	}
	for i := range p.chunk.Adapters {
		a := &p.chunk.Adapters[i]
		if other := b.table.adapters.add(p.parsedChunk, a); other != nil {
			p.Addf(pathOf("adapters", i)+".name", "adapter %q is defined in chunk %q as well", a.Name, b.keys[other])
		}
	}
}

func (b *builder) poolNames() []string {
	names := make([]string, 0, len(b.table.Pools))
	for name := range b.table.Pools {
		names = append(names, name)
	}
	return names
}

// buildIndexes fills the lookup indexes from the pools and routes.
func (t *Table) buildIndexes() {
	for _, pool := range t.Pools {
		for i := range pool.Endpoints {
			t.endpoints[pool.Endpoints[i].Name] = endpointEntry{pool: pool, endpoint: &pool.Endpoints[i]}
		}
	}
	for i := range t.Routes {
		route := &t.Routes[i]
		if t.Pools[route.Pool].Kind == Engine {
			t.engineRoutes = append(t.engineRoutes, route)
		} else {
			t.serviceRoutes = append(t.serviceRoutes, route)
		}
	}
	sort.SliceStable(t.engineRoutes, func(i, j int) bool {
		return len(t.engineRoutes[i].AdapterPrefix) > len(t.engineRoutes[j].AdapterPrefix)
	})
	sort.SliceStable(t.serviceRoutes, func(i, j int) bool {
		return len(t.serviceRoutes[i].PathPrefix) > len(t.serviceRoutes[j].PathPrefix)
	})
}
