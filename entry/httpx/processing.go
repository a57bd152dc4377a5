package httpx

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// processingResponse is the interim response sent while a request is in
// progress.
const processingResponse = "HTTP/1.1 102 Processing\r\n\r\n"

// SendProcessing sends an interim response every interval, so that the caller
// can distinguish a long wait from a lost connection. stop ends this and must
// be called before the handler returns.
func SendProcessing(ctx *fasthttp.RequestCtx, interval time.Duration) (stop func()) {
	p := &processingSender{conn: ctx.Conn(), interval: interval}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timer = time.AfterFunc(interval, p.send)
	return p.stop
}

// processingSender sends interim responses from a timer, so that a waiting
// request needs no goroutine for them.
type processingSender struct {
	conn     net.Conn
	interval time.Duration

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func (p *processingSender) send() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	if _, err := p.conn.Write([]byte(processingResponse)); err != nil {
		return // Watch reports a closed connection to the handler
	}
	p.timer.Reset(p.interval)
}

func (p *processingSender) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = true
	p.timer.Stop()
}
