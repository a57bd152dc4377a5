package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// server is the listener that every stand-in shares.
type server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// listen starts handler on address; a port of 0 takes a free one.
func listen(address string, handler fasthttp.RequestHandler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
	}
	s := &server{
		http:     &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true},
		listener: listener,
	}
	go func() { _ = s.http.Serve(httpx.WatchListener(listener, never)) }()
	return s, nil
}

// Address returns the address that the stand-in listens on.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close stops the listener and the open connections.
func (s *server) Close() error { return s.listener.Close() }

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// never is longer than any test.
const never = 24 * time.Hour

// hold waits for d and tells whether the caller is still there.
func hold(ctx *fasthttp.RequestCtx, d time.Duration) bool {
	watched, cancel, stop := httpx.Watch(context.Background(), ctx)
	defer cancel(nil)
	defer stop()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-watched.Done():
		return false
	}
}

// problem is the body of a refusal.
type problem struct {
	Error string `json:"error"`
}

func refuse(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, problem{Error: message})
}
