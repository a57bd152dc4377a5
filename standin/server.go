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

// server is the HTTP server that the stand-ins embed.
type server struct {
	http     *fasthttp.Server
	listener net.Listener
}

// listen serves handler on address; port 0 selects a free port.
func listen(address string, handler fasthttp.RequestHandler) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Code("listen_failed").With("address", address).Wrap(err)
	}
	s := &server{
		http:     &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, CloseOnShutdown: true},
		listener: listener,
	}
	go func() { _ = s.http.Serve(httpx.WatchListener(listener, forever)) }()
	return s, nil
}

// Address returns the address that the stand-in listens on.
func (s *server) Address() string { return s.listener.Addr().String() }

// Close stops the listener.
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

// forever is a duration longer than any test.
const forever = 24 * time.Hour

// waitWhileConnected waits for d and returns true, or returns false as soon as
// the client disconnects.
func waitWhileConnected(ctx *fasthttp.RequestCtx, d time.Duration) bool {
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

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func writeError(ctx *fasthttp.RequestCtx, status int, message string) {
	writeJSON(ctx, status, errorBody{Error: message})
}
