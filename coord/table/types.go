package table

// PoolKind is the kind of endpoints in a pool.
type PoolKind string

// The kinds of pools.
const (
	// Engine is a pool of model engines, each with a number of adapter slots.
	Engine PoolKind = "engine"
	// Service is a pool of plain HTTP services, called by method and path.
	Service PoolKind = "service"
)

// Route maps the requests that match it to the pool that serves them.
type Route struct {
	// Name identifies the route in findings, metrics and traces.
	Name string `json:"name"`
	// Pool names the pool that serves the route.
	Pool string `json:"pool"`
	// AdapterPrefix is matched against the adapter's name on engine routes. The
	// longest matching prefix wins; an empty prefix matches every adapter.
	AdapterPrefix string `json:"adapterPrefix,omitempty"`
	// PathPrefix is matched against the request path on service routes. The
	// longest matching prefix wins.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// DefaultRank applies when the caller requests no rank. Default: normal.
	DefaultRank *Rank `json:"defaultRank,omitempty"`
	// CeilingRank is the most urgent rank that a request can get. Default: urgent.
	CeilingRank *Rank `json:"ceilingRank,omitempty"`
	// Idempotent reports whether calls may be retried. Default: false.
	Idempotent bool `json:"idempotent,omitempty"`
	// DeadlineMs applies when the caller sets no deadline, in milliseconds.
	// Default: 30,000.
	DeadlineMs int `json:"deadlineMs,omitempty"`
}

// Rank returns the rank of a request: the requested one, or the route's default
// if requested is nil, but never more urgent than the route's ceiling.
func (r *Route) Rank(requested *Rank) Rank {
	rank := Normal
	switch {
	case requested != nil:
		rank = *requested
	case r.DefaultRank != nil:
		rank = *r.DefaultRank
	}
	if r.CeilingRank != nil && rank < *r.CeilingRank {
		rank = *r.CeilingRank
	}
	return rank
}

// Endpoint is one server of a pool: a model engine (worker) or a plain service.
type Endpoint struct {
	// Name is unique across all pools.
	Name string `json:"name"`
	// Address is host:port, an IP address and a port.
	Address string `json:"address"`
	// DataCentre names the data centre that the endpoint runs in.
	DataCentre string `json:"dataCentre"`
}

// Pool is a set of interchangeable endpoints.
type Pool struct {
	// Name is unique; routes, adapters and endpoints refer to the pool by it.
	Name string `json:"name"`
	// Kind is engine or service.
	Kind PoolKind `json:"kind"`
	// BaseModel is the model that an engine pool's adapters extend.
	BaseModel string `json:"baseModel,omitempty"`
	// Slots is the number of adapters that an engine can keep loaded at once.
	Slots int `json:"slots,omitempty"`
	// Batch is the number of requests that an endpoint runs concurrently.
	Batch int `json:"batch,omitempty"`
	// Fencing reports whether the endpoints refuse orders that carry an outdated
	// fencing token.
	// Default: false.
	Fencing bool `json:"fencing,omitempty"`
	// Endpoints lists endpoints of the pool; Chunk.Endpoints may add more.
	Endpoints []Endpoint `json:"endpoints"`
}

// Adapter lists the versions of one adapter that may be served.
type Adapter struct {
	// Name is unique within its pool.
	Name string `json:"name"`
	// Pool names the engine pool that serves the adapter.
	Pool string `json:"pool"`
	// Versions lists the versions that requests may name.
	Versions []string `json:"versions"`
}

// Region groups data centres that are connected by fast links.
type Region struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"dataCentres"`
}

// PooledEndpoint is an endpoint that is published separately from its pool.
type PooledEndpoint struct {
	// Pool names the pool that the endpoint belongs to.
	Pool string `json:"pool"`
	// Name, Address and DataCentre are as in Endpoint.
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Chunk is the JSON form of one published value. It either lists further chunks
// or holds a part of the table's content.
type Chunk struct {
	Regions []Region `json:"regions,omitempty"`
	Routes  []Route  `json:"routes,omitempty"`
	Pools   []Pool   `json:"pools,omitempty"`
	// Endpoints adds endpoints to the pools, so that those of a large pool can be
	// spread over several chunks.
	Endpoints []PooledEndpoint `json:"endpoints,omitempty"`
	Adapters  []Adapter        `json:"adapters,omitempty"`
	// Chunks makes this an index chunk, which has no other content. The chunks
	// that it lists must not be index chunks themselves.
	Chunks []ChunkRef `json:"chunks,omitempty"`
}
