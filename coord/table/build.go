package table

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"sort"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Table is one accepted revision, indexed for lookup. It is immutable.
type Table struct {
	Revision uint64
	Regions  []Region
	Routes   []Route
	Pools    map[string]*Pool

	snapshot  Snapshot
	digest    string
	versions  map[poolAdapter]map[string]struct{}
	engines   []*Route
	services  []*Route
	endpoints map[string]located
	regionOf  map[string]string
}

type poolAdapter struct{ pool, adapter string }

type located struct {
	pool     *Pool
	endpoint *Endpoint
}

// Digest returns the digest of a chunk's bytes as it stands in a manifest.
func Digest(data []byte) string {
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

// Build parses, joins and validates a snapshot. It returns every finding
// together, as Findings.
func Build(s Snapshot) (*Table, error) {
	b := builder{table: &Table{
		Revision:  s.Manifest.Revision,
		Pools:     make(map[string]*Pool),
		snapshot:  s,
		versions:  make(map[poolAdapter]map[string]struct{}),
		endpoints: make(map[string]located),
		regionOf:  make(map[string]string),
	}}
	if s.Manifest.Revision == 0 {
		b.find("manifest", "revision", "must be at least 1")
	}
	for i, ref := range s.Manifest.Chunks {
		b.chunk(i, ref, s.Chunks)
	}
	b.join()
	if err := b.findings.Err(); err != nil {
		return nil, err
	}
	b.table.index()
	return b.table, nil
}

type builder struct {
	table    *Table
	findings Findings
	parsed   []parsedChunk
}

type parsedChunk struct {
	key   string
	chunk Chunk
}

func (b *builder) find(chunk, path, format string, args ...any) {
	b.findings = append(b.findings, Finding{Chunk: chunk, Path: path, Message: fmt.Sprintf(format, args...)})
}

func (b *builder) chunk(i int, ref ChunkRef, chunks map[string][]byte) {
	data, found := chunks[ref.Key]
	if !found {
		b.find("manifest", fmt.Sprintf("chunks[%d]", i), "chunk %q is missing", ref.Key)
		return
	}
	if got := Digest(data); got != ref.Digest {
		b.find(ref.Key, "$", "digest is %s, the manifest says %s", got, ref.Digest)
		return
	}
	var c Chunk
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		b.find(ref.Key, "$", "%s", err)
		return
	}
	b.parsed = append(b.parsed, parsedChunk{key: ref.Key, chunk: c})
}

// join checks names across chunks: pools first, since routes and adapters
// refer to them.
func (b *builder) join() {
	for _, p := range b.parsed {
		b.regions(p)
		b.pools(p)
	}
	for _, p := range b.parsed {
		b.routes(p)
		b.adapters(p)
	}
}

func (b *builder) regions(p parsedChunk) {
	for i, region := range p.chunk.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		if region.Name == "" {
			b.find(p.key, path+".name", "is empty")
		}
		for _, dataCentre := range region.DataCentres {
			if _, twice := b.table.regionOf[dataCentre]; twice {
				b.find(p.key, path+".dataCentres", "data centre %q stands in two regions", dataCentre)
			}
			b.table.regionOf[dataCentre] = region.Name
		}
		b.table.Regions = append(b.table.Regions, region)
	}
}

func (b *builder) pools(p parsedChunk) {
	for i := range p.chunk.Pools {
		pool := &p.chunk.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		if pool.Name == "" {
			b.find(p.key, path+".name", "is empty")
		}
		if _, twice := b.table.Pools[pool.Name]; twice {
			b.find(p.key, path+".name", "pool %q is defined twice", pool.Name)
		}
		b.poolLimits(p.key, path, pool)
		b.endpoints(p.key, path, pool)
		b.table.Pools[pool.Name] = pool
	}
}

func (b *builder) poolLimits(key, path string, pool *Pool) {
	switch pool.Kind {
	case Engine:
		if pool.Slots < 1 {
			b.find(key, path+".slots", "an engine pool needs at least 1 slot")
		}
	case Service:
		if pool.Slots != 0 {
			b.find(key, path+".slots", "a service pool has no slots")
		}
	default:
		b.find(key, path+".kind", "%q is not engine or service", pool.Kind)
	}
	if pool.Batch < 1 {
		b.find(key, path+".batch", "must be at least 1")
	}
}

func (b *builder) endpoints(key, path string, pool *Pool) {
	for i := range pool.Endpoints {
		endpoint := &pool.Endpoints[i]
		place := fmt.Sprintf("%s.endpoints[%d]", path, i)
		if endpoint.Name == "" {
			b.find(key, place+".name", "is empty")
		}
		if _, twice := b.table.endpoints[endpoint.Name]; twice {
			b.find(key, place+".name", "endpoint %q is defined twice", endpoint.Name)
		}
		if _, err := netip.ParseAddrPort(endpoint.Address); err != nil {
			b.find(key, place+".address", "%q is not an IP address and port", endpoint.Address)
		}
		if endpoint.DataCentre == "" {
			b.find(key, place+".dataCentre", "is empty")
		}
		b.table.endpoints[endpoint.Name] = located{pool: pool, endpoint: endpoint}
	}
}

func (b *builder) routes(p parsedChunk) {
	for i := range p.chunk.Routes {
		route := p.chunk.Routes[i]
		path := fmt.Sprintf("routes[%d]", i)
		if route.Name == "" {
			b.find(p.key, path+".name", "is empty")
		}
		pool, found := b.table.Pools[route.Pool]
		if !found {
			b.find(p.key, path+".pool", "pool %q is not defined", route.Pool)
		} else {
			b.routeMatch(p.key, path, &route, pool)
		}
		if route.DeadlineMs < 0 {
			b.find(p.key, path+".deadlineMs", "must not be negative")
		}
		b.table.Routes = append(b.table.Routes, route)
	}
}

func (b *builder) routeMatch(key, path string, route *Route, pool *Pool) {
	if pool.Kind == Service && !strings.HasPrefix(route.PathPrefix, "/") {
		b.find(key, path+".pathPrefix", "a service route needs a path prefix that begins with /")
	}
	if pool.Kind == Engine && route.PathPrefix != "" {
		b.find(key, path+".pathPrefix", "an engine route matches by adapterPrefix")
	}
}

func (b *builder) adapters(p parsedChunk) {
	for i, adapter := range p.chunk.Adapters {
		path := fmt.Sprintf("adapters[%d]", i)
		pool, found := b.table.Pools[adapter.Pool]
		if !found || pool.Kind != Engine {
			b.find(p.key, path+".pool", "engine pool %q is not defined", adapter.Pool)
		}
		if adapter.Name == "" || strings.Contains(adapter.Name, "@") {
			b.find(p.key, path+".name", "%q is empty or has an @", adapter.Name)
		}
		id := poolAdapter{adapter.Pool, adapter.Name}
		if _, twice := b.table.versions[id]; twice {
			b.find(p.key, path+".name", "adapter %q is defined twice", adapter.Name)
		}
		if len(adapter.Versions) == 0 {
			b.find(p.key, path+".versions", "is empty")
		}
		versions := make(map[string]struct{}, len(adapter.Versions))
		for _, version := range adapter.Versions {
			versions[version] = struct{}{}
		}
		b.table.versions[id] = versions
	}
}

func (t *Table) index() {
	for i := range t.Routes {
		route := &t.Routes[i]
		if t.Pools[route.Pool].Kind == Engine {
			t.engines = append(t.engines, route)
		} else {
			t.services = append(t.services, route)
		}
	}
	sort.SliceStable(t.engines, func(i, j int) bool {
		return len(t.engines[i].AdapterPrefix) > len(t.engines[j].AdapterPrefix)
	})
	sort.SliceStable(t.services, func(i, j int) bool {
		return len(t.services[i].PathPrefix) > len(t.services[j].PathPrefix)
	})
	manifest, err := json.Marshal(t.snapshot.Manifest)
	if err != nil {
		panic(err) // a manifest of strings and integers always marshals
	}
	t.digest = Digest(manifest)
}
