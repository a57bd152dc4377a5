package httpx

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// processing is the interim response that says that work goes on.
const processing = "HTTP/1.1 102 Processing\r\n\r\n"

// KeepProcessing sends an interim response every interval until stop is called,
// which must be before the handler returns. A caller can then tell a long wait
// from a connection that has gone silent.
func KeepProcessing(ctx *fasthttp.RequestCtx, interval time.Duration) (stop func()) {
	p := &processor{conn: ctx.Conn(), interval: interval}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(interval, p.send)
	return p.stop
}

// processor sends interim responses from a timer, so that a request that waits
// holds no goroutine for them.
type processor struct {
	conn     net.Conn
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *processor) send() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if _, err := p.conn.Write([]byte(processing)); err != nil {
		return // Watch tells the handler
	}
	p.timer.Reset(p.interval)
}

func (p *processor) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
