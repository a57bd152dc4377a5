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

// valueLimit is the largest value that the platform holds, in bytes.
const valueLimit = 1 << 20

// Platform stands in for the configuration service: values by key, read with
// blocking queries. PUT is for operators and tests; the system never writes.
type Platform struct {
	*server
	calls atomic.Int64

	mu      sync.Mutex
	index   uint64
	values  map[string]published
	changed chan struct{}
	down    bool
	frozen  map[string]published
}

type published struct {
	data  []byte
	index uint64
}

// StartPlatform starts a platform on address.
func StartPlatform(address string) (*Platform, error) {
	p := &Platform{values: make(map[string]published), changed: make(chan struct{}), index: 1}
	s, err := listen(address, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	return p, nil
}

// Calls returns the number of reads so far, a waiting watch counted as one.
func (p *Platform) Calls() int64 { return p.calls.Load() }

// Put publishes a value.
func (p *Platform) Put(key string, data []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.values[key] = published{data: append([]byte(nil), data...), index: p.index}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDown makes every read fail, or ends that.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetStale serves the values of this moment until it is ended.
func (p *Platform) SetStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = nil
	if !stale {
		close(p.changed)
		p.changed = make(chan struct{})
		return
	}
	p.frozen = make(map[string]published, len(p.values))
	for key, value := range p.values {
		p.frozen[key] = value
	}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/fault":
		p.fault(ctx)
	case !strings.HasPrefix(path, kvPath):
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	case ctx.IsPut():
		p.put(ctx, strings.TrimPrefix(path, kvPath))
	default:
		p.get(ctx, strings.TrimPrefix(path, kvPath))
	}
}

func (p *Platform) fault(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	p.SetDown(args.GetBool("down"))
	p.SetStale(args.GetBool("stale"))
}

func (p *Platform) put(ctx *fasthttp.RequestCtx, key string) {
	if len(ctx.PostBody()) > valueLimit {
		refuse(ctx, fasthttp.StatusRequestEntityTooLarge, "a value holds at most 1 MiB")
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
			refuse(ctx, fasthttp.StatusServiceUnavailable, "down")
			return
		}
		if after == 0 || (found && value.index > after) {
			answerValue(ctx, value, found)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			answerValue(ctx, value, found)
			return
		}
	}
}

func answerValue(ctx *fasthttp.RequestCtx, value published, found bool) {
	if !found {
		refuse(ctx, fasthttp.StatusNotFound, "no such key")
		return
	}
	ctx.Response.Header.Set("X-Consul-Index", strconv.FormatUint(value.index, 10))
	ctx.SetBody(value.data)
}

func (p *Platform) read(key string) (value published, found, down bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	values := p.values
	if p.frozen != nil {
		values = p.frozen
	}
	value, found = values[key]
	return value, found, p.down, p.changed
}
