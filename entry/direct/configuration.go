package direct

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/routing"
)

// configuration holds the configuration in force. It never goes back to an older
// version. It is safe for concurrent use.
type configuration struct {
	mu       sync.Mutex
	register routing.Register
	document []byte
	// compressed is the gzipped document, filled in when a peer first fetches
	// it.
	compressed  []byte
	installedAt time.Duration
}

// table returns the configuration in force, or nil if there is none yet.
func (c *configuration) table() *routing.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Current()
}

// install puts a configuration in force if it is newer than the current one, and
// reports whether it did.
func (c *configuration) install(config *routing.Config, document []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.register.Offer(config) {
		return false
	}
	c.document, c.compressed, c.installedAt = document, nil, now()
	return true
}

// version returns the version in force, 0 if there is none.
func (c *configuration) version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.register.Version()
}

// compressedDocument returns the gzipped document of the configuration in force.
// It is compressed because many peers fetch it at once from a few instances,
// some over slow links.
func (c *configuration) compressedDocument() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed == nil && len(c.document) > 0 {
		c.compressed = fasthttp.AppendGzipBytes(nil, c.document)
	}
	return c.compressed
}

// service returns a service of the configuration in force.
func (c *configuration) service(name string) (routing.Service, bool) {
	table := c.table()
	if table == nil {
		return routing.Service{}, false
	}
	s, known := table.Config.Services[name]
	return s, known
}

// age returns how long the configuration has been in force; 0 if there is none.
func (c *configuration) age(at time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.installedAt == 0 {
		return 0
	}
	return at - c.installedAt
}
