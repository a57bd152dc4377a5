// Package deployment builds the routing tables of the two users' deployments, at
// configurable sizes, for the demo, the tests and the experiments. It also
// publishes them at the platform's stand-in.
package deployment

import (
	"encoding/json"
	"fmt"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Spec describes a deployment: its topology, pools, adapters and routes.
type Spec struct {
	// Name identifies the deployment.
	Name string
	// Regions lists the regions and their data centres.
	Regions []table.Region
	// EnginePool and ServicePool are the names of the two pools.
	EnginePool  string
	ServicePool string
	// Workers and Services are the numbers of endpoints in the two pools.
	Workers  int
	Services int
	// Adapters is the number of adapters; AdapterPrefix is the prefix of their names.
	Adapters      int
	AdapterPrefix string
	// Slots and Batch are the number of adapter slots and the batch size of each
	// engine.
	Slots int
	Batch int
	// Fencing is true if the engines refuse orders with an outdated fencing token.
	Fencing bool
	// ServiceRoutes are the routes of the plain services. Chunk sets their Pool to
	// ServicePool.
	ServiceRoutes []table.Route
}

// Silttolge returns the deployment that translates labels.
func Silttolge() Spec {
	return Spec{
		Name: "silttolge",
		Regions: []table.Region{
			{Name: "ee-north", DataCentres: []string{"tln-a", "tln-b"}},
			{Name: "lv-riga", DataCentres: []string{"rix-a"}},
		},
		EnginePool:    "tolk-models",
		ServicePool:   "silt-app",
		Workers:       12,
		Services:      3,
		Adapters:      3000,
		AdapterPrefix: "tolk-",
		Slots:         8,
		Batch:         16,
		Fencing:       true,
		ServiceRoutes: []table.Route{
			{Name: "label-order", PathPrefix: "/orders"},
			{Name: "label-read", PathPrefix: "/labels", Idempotent: true},
		},
	}
}

// Suzgec returns the deployment that matches cartridges.
func Suzgec() Spec {
	return Spec{
		Name: "suzgec",
		Regions: []table.Region{
			{Name: "anadolu", DataCentres: []string{"anadolu-a", "anadolu-b"}},
			{Name: "marmara", DataCentres: []string{"marmara-a"}},
		},
		EnginePool:    "eslestirici",
		ServicePool:   "rezervasyon",
		Workers:       9,
		Services:      3,
		Adapters:      3000,
		AdapterPrefix: "match-",
		Slots:         8,
		Batch:         16,
		ServiceRoutes: []table.Route{
			{Name: "reservation", PathPrefix: "/reservations"},
			{Name: "lookup", PathPrefix: "/cartridges", Idempotent: true},
		},
	}
}

// DataCentres lists the deployment's data centres.
func (s Spec) DataCentres() []string {
	var all []string
	for _, region := range s.Regions {
		all = append(all, region.DataCentres...)
	}
	return all
}

// Adapter returns the name of adapter i, counted from 0.
func (s Spec) Adapter(i int) string { return fmt.Sprintf("%s%04d", s.AdapterPrefix, i) }

// Endpoints returns one endpoint per address, named prefix-0, prefix-1 and so on,
// assigned to the data centres in rotation.
func (s Spec) Endpoints(prefix string, addresses []string) []table.Endpoint {
	dataCentres := s.DataCentres()
	endpoints := make([]table.Endpoint, len(addresses))
	for i, address := range addresses {
		endpoints[i] = table.Endpoint{
			Name:       fmt.Sprintf("%s-%d", prefix, i),
			Address:    address,
			DataCentre: dataCentres[i%len(dataCentres)],
		}
	}
	return endpoints
}

// Chunk builds the deployment's table chunk from the addresses of the workers and
// of the services.
func (s Spec) Chunk(workers, services []string) table.Chunk {
	normal := table.Normal
	routes := []table.Route{{
		Name:          s.Name + "-completions",
		Pool:          s.EnginePool,
		AdapterPrefix: s.AdapterPrefix,
		DefaultRank:   &normal,
		Idempotent:    true,
	}}
	for _, route := range s.ServiceRoutes {
		route.Pool = s.ServicePool
		routes = append(routes, route)
	}
	chunk := table.Chunk{
		Regions: s.Regions,
		Routes:  routes,
		Pools: []table.Pool{
			{
				Name: s.EnginePool, Kind: table.Engine, BaseModel: s.Name + "-base",
				Slots: s.Slots, Batch: s.Batch, Fencing: s.Fencing,
				Endpoints: s.Endpoints(s.EnginePool, workers),
			},
			{
				Name: s.ServicePool, Kind: table.Service, Batch: s.Batch,
				Endpoints: s.Endpoints(s.ServicePool, services),
			},
		},
	}
	for i := range s.Adapters {
		chunk.Adapters = append(chunk.Adapters, table.Adapter{Name: s.Adapter(i), Pool: s.EnginePool, Versions: []string{"v1", "v2"}})
	}
	return chunk
}

// Snapshot encodes chunks and lists them in a manifest of the given revision. The
// chunk keys contain the revision, so that a reader never mixes two revisions.
func Snapshot(revision uint64, chunks ...table.Chunk) (table.Snapshot, error) {
	s := table.Snapshot{
		Manifest: table.Manifest{Revision: revision},
		Chunks:   make(map[string][]byte, len(chunks)),
	}
	for i, chunk := range chunks {
		data, err := json.Marshal(chunk)
		if err != nil {
			return table.Snapshot{}, err
		}
		key := fmt.Sprintf("bulrushwick/chunks/%d/%d", revision, i)
		s.Chunks[key] = data
		s.Manifest.Chunks = append(s.Manifest.Chunks, table.ChunkRef{Key: key, Digest: table.Digest(data)})
	}
	return s, nil
}
