package standin

import (
	"sync"

	"github.com/valyala/fasthttp"
)

// Service stands in for a plain service. It counts how often each key ran.
type Service struct {
	*server
	name string

	mu   sync.Mutex
	runs map[string]int
}

// ServiceAnswer is what a plain service answers.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key"`
	Echo    string `json:"echo"`
}

// StartService starts a plain service on address.
func StartService(address, name string) (*Service, error) {
	s := &Service{name: name, runs: make(map[string]int)}
	listener, err := listen(address, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = listener
	return s, nil
}

// Runs returns how often the call with that key ran.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/runs" {
		s.mu.Lock()
		defer s.mu.Unlock()
		writeJSON(ctx, fasthttp.StatusOK, s.runs)
		return
	}
	key := string(ctx.Request.Header.Peek("Idempotency-Key"))
	s.mu.Lock()
	s.runs[key]++
	s.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, ServiceAnswer{
		Service: s.name,
		Path:    string(ctx.Path()),
		Key:     key,
		Echo:    string(ctx.PostBody()),
	})
}
