package standin

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// kvPath is the prefix of the configuration service's keys.
const kvPath = "/v1/kv/"

// valueLimit is the largest size of a value, in bytes.
const valueLimit = 1 << 20

// Platform is a stand-in of the configuration service: a key-value store that is
// read with blocking queries. PUT is for operators and tests; entry instances never
// write.
type Platform struct {
	*server
	calls atomic.Int64

	mu          sync.Mutex
	index       uint64
	values      map[string]storedValue
	changed     chan struct{}
	down        bool
	staleValues map[string]storedValue
}

type storedValue struct {
	data  []byte
	index uint64
}

// StartPlatform starts a platform that listens on address.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{values: make(map[string]storedValue), changed: make(chan struct{}), index: 1}
	s, err := listen(address, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	return p, nil
}

// Calls returns the number of reads so far; a blocking query counts as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Put publishes a copy of data under key.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = storedValue{data: append([]byte(nil), data...), index: p.index}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every read fail until it is called with false. A blocking query
// in progress notices it only when a value changes.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetStale makes reads return the values as they are now until it is called with
// false.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.staleValues = nil
	if !stale {
		close(p.changed)
		p.changed = make(chan struct{})
		return
	}
	p.staleValues = make(map[string]storedValue, len(p.values))
	for key, value := range p.values {
		p.staleValues[key] = value
	}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/fault":
		p.handleFaults(ctx)
	case !strings.HasPrefix(path, kvPath):
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
	case ctx.IsPut():
		p.put(ctx, strings.TrimPrefix(path, kvPath))
	default:
		p.get(ctx, strings.TrimPrefix(path, kvPath))
	}
}

func (p *Platform) handleFaults(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	p.SetDown(args.GetBool("down"))
	p.SetStale(args.GetBool("stale"))
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	if len(ctx.PostBody()) > valueLimit {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "a value is limited to 1 MiB")
		return
	}
	p.Put(key, ctx.PostBody())
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, key string) {
	p.calls.Add(1)
	after, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek("index")), 10, 64)
	wait, _ := time.ParseDuration(string(ctx.QueryArgs().Peek("wait")))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		value, found, down, changed := p.read(key)
		if down {
			writeError(ctx, fasthttp.StatusServiceUnavailable, "down")
			return
		}
		if after == 0 || (found && value.index > after) {
			writeValue(ctx, value, found)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeValue(ctx, value, found)
			return
		}
	}
}

func writeValue(ctx *fasthttp.RequestCtx, value storedValue, found bool) {
	if !found {
		writeError(ctx, fasthttp.StatusNotFound, "no such key")
		return
	}
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(value.index, 10))
	ctx.SetBody(value.data)
}

func (p *Platform) read(key string) (value storedValue, found, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.staleValues != nil {
		values = p.staleValues
	}
	value, found = values[key]
	return value, found, p.down, p.changed
}
