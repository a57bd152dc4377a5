package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Service is a stand-in of a plain service. It counts how often the call with each
// idempotency key ran.
type Service struct {
	*server
	name string

	mu      sync.Mutex
	changed *sync.Cond // signals that a run began or that the faults changed
	runs    map[string]int
	faults  ServiceFaults
}

// ServiceFaults are the faults that a service can inject.
type ServiceFaults struct {
	// Hold runs calls but delays their responses until it is switched off.
	Hold bool
	// Truncate ends responses before their announced length.
	Truncate bool
}

// ServiceAnswer is the response of a plain service.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Echo    string `json:"echo"`
}

// StartService starts a plain service that listens on address.
func StartService(address, name string) (*Service, error) {
	s := &Service{name: name, runs: make(map[string]int)}
	s.changed = sync.NewCond(&s.mu)
	listener, err := listen(address, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = listener
	return s, nil
}

// Runs returns how often the call with the given key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.changed.Broadcast()
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/runs":
		s.writeRuns(ctx)
	case "/fault":
		args := ctx.QueryArgs()
		s.SetFaults(ServiceFaults{Hold: args.GetBool("hold"), Truncate: args.GetBool("truncate")})
	default:
		s.serveCall(ctx)
	}
}

// writeRuns responds with how often each key ran. With the query argument await it
// waits until that key has run at least once.
func (s *Service) writeRuns(ctx *fasthttp.RequestCtx) {
	await := string(ctx.QueryArgs().Peek("await"))
	s.mu.Lock()
	defer s.mu.Unlock()
	for await != "" && s.runs[await] == 0 {
		s.changed.Wait()
	}
	writeJSON(ctx, fasthttp.StatusOK, s.runs)
}

func (s *Service) serveCall(ctx *fasthttp.RequestCtx) {
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	s.runs[key]++
	s.changed.Broadcast()
	for s.faults.Hold {
		s.changed.Wait()
	}
	truncate := s.faults.Truncate
	s.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, ServiceAnswer{
		Service: s.name,
		Path:    string(ctx.Path()),
		Key:     key,
		Echo:    string(ctx.PostBody()),
	})
	if truncate {
		truncateResponse(ctx)
	}
}
