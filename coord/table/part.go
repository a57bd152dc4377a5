package table

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

// parsedChunk is a decoded chunk with the findings of all checks that need no
// other chunk. It is immutable and shared by all revisions that list the chunk.
type parsedChunk struct {
	data  []byte
	chunk Chunk
	// adapterPools holds the pools that the adapters refer to, by name.
	adapterPools map[string]poolUse
	findings     strictjson.Findings
	// usable reports whether the chunk could be decoded.
	usable bool
}

// poolUse describes how the adapters of a chunk refer to a pool: the index of the
// first that does, and their number.
type poolUse struct{ firstAdapter, count int }

// isIndex reports whether the chunk is an index chunk.
func (p *parsedChunk) isIndex() bool { return len(p.chunk.Chunks) > 0 }

// parseChunk decodes a chunk strictly and runs all checks that need no other
// chunk.
func parseChunk(data []byte) *parsedChunk {
	p := &parsedChunk{data: data}
	p.findings, p.usable = strictjson.Decode(data, &p.chunk)
	if !p.usable {
		p.chunk = Chunk{}
		return p
	}
	c := &strictjson.Collector{}
	p.checkIndex(c)
	p.checkRegions(c)
	p.checkRoutes(c)
	p.checkPools(c)
	p.checkEndpoints(c)
	p.checkAdapters(c)
	p.findings = append(p.findings, c.Locate(data)...)
	return p
}

func (p *parsedChunk) checkIndex(c *strictjson.Collector) {
	if !p.isIndex() {
		return
	}
	checkRefs(c, p.chunk.Chunks)
	contentCount := len(p.chunk.Regions) + len(p.chunk.Routes) + len(p.chunk.Pools) + len(p.chunk.Endpoints) + len(p.chunk.Adapters)
	if contentCount > 0 {
		c.Addf("chunks", "an index chunk holds nothing else")
	}
}

func (p *parsedChunk) checkRegions(c *strictjson.Collector) {
	for i, region := range p.chunk.Regions {
		if region.Name == "" {
			c.Addf(fmt.Sprintf("regions[%d].name", i), "is empty")
		}
	}
}

func (p *parsedChunk) checkRoutes(c *strictjson.Collector) {
	for i, route := range p.chunk.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		if route.Name == "" {
			c.Addf(path+".name", "is empty")
		}
		if route.DeadlineMs < 0 {
			c.Addf(path+".deadlineMs", "must not be negative")
		}
	}
}

func (p *parsedChunk) checkPools(c *strictjson.Collector) {
	for i := range p.chunk.Pools {
		pool := &p.chunk.Pools[i]
		path := fmt.Sprintf("pools[%d]", i)
		if pool.Name == "" {
			c.Addf(path+".name", "is empty")
		}
		checkPoolLimits(c, path, pool)
		for j := range pool.Endpoints {
			checkEndpoint(c, fmt.Sprintf("%s.endpoints[%d]", path, j), pool.Endpoints[j])
		}
	}
}

func checkPoolLimits(c *strictjson.Collector, path string, pool *Pool) {
	switch pool.Kind {
	case Engine:
		if pool.Slots < 1 {
			c.Addf(path+".slots", "an engine pool needs at least 1 slot")
		}
	case Service:
		if pool.Slots != 0 {
			c.Addf(path+".slots", "a service pool has no slots")
		}
	default:
		kinds := []string{string(Engine), string(Service)}
		c.Addf(path+".kind", "%q is not engine or service%s", pool.Kind, strictjson.Suggest(string(pool.Kind), kinds))
	}
	if pool.Batch < 1 {
		c.Addf(path+".batch", "must be at least 1")
	}
}

func (p *parsedChunk) checkEndpoints(c *strictjson.Collector) {
	for i, e := range p.chunk.Endpoints {
		checkEndpoint(c, pathOf("endpoints", i), e.endpoint())
	}
}

func checkEndpoint(c *strictjson.Collector, path string, e Endpoint) {
	if e.Name == "" {
		c.Addf(path+".name", "is empty")
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		c.Addf(path+".address", "%q is not an IP address and port", e.Address)
	}
	if e.DataCentre == "" {
		c.Addf(path+".dataCentre", "is empty")
	}
}

func (e PooledEndpoint) endpoint() Endpoint {
	return Endpoint{Name: e.Name, Address: e.Address, DataCentre: e.DataCentre}
}

func (p *parsedChunk) checkAdapters(c *strictjson.Collector) {
	seen := make(map[poolAdapter]bool, len(p.chunk.Adapters))
	p.adapterPools = make(map[string]poolUse)
	for i, adapter := range p.chunk.Adapters {
		p.addPoolUse(i, adapter.Pool)
		if adapter.Name == "" || strings.Contains(adapter.Name, "@") {
			c.Addf(pathOf("adapters", i)+".name", "%q is empty or has an @", adapter.Name)
		}
		id := poolAdapter{adapter.Pool, adapter.Name}
		if seen[id] {
			c.Addf(pathOf("adapters", i)+".name", "adapter %q is defined twice", adapter.Name)
		}
		seen[id] = true
		checkVersions(c, i, adapter.Versions)
	}
}

func (p *parsedChunk) addPoolUse(i int, pool string) {
	use, found := p.adapterPools[pool]
	if !found {
		use.firstAdapter = i
	}
	use.count++
	p.adapterPools[pool] = use
}

func checkVersions(c *strictjson.Collector, i int, versions []string) {
	path := func() string { return pathOf("adapters", i) + ".versions" }
	if len(versions) == 0 {
		c.Addf(path(), "is empty")
	}
	for j, version := range versions {
		if version == "" || strings.Contains(version, "@") {
			c.Addf(pathOf(path(), j), "%q is empty or has an @", version)
		}
	}
}
