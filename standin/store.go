package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// StoreConfig configures the weight store.
type StoreConfig struct {
	// LoadsPerSecond is the rate limit of the store.
	LoadsPerSecond float64
	// LoadTime is the duration of a load while at most FullSpeed are in transit.
	LoadTime time.Duration
	// FullSpeed is the number of loads in transit above which each slows down in
	// proportion to their number. It is also the burst of the rate limit.
	FullSpeed int
}

// DefaultStoreConfig returns the configuration of a store with 3 loads per second.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{LoadsPerSecond: 3, LoadTime: 250 * time.Millisecond, FullSpeed: 8}
}

// Store is a stand-in of the weight store.
type Store struct {
	*server
	config    StoreConfig
	limiter   *rate.Limiter
	inTransit atomic.Int64
	peak      atomic.Int64
	failing   atomic.Bool
}

// StartStore starts a store that listens on address.
func StartStore(address string, config StoreConfig) (*Store, error) {
	s := &Store{config: config, limiter: rate.NewLimiter(rate.Limit(config.LoadsPerSecond), config.FullSpeed)}
	listener, err := listen(address, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = listener
	return s, nil
}

// Peak returns the largest number of loads that were in transit at the same time.
func (s *Store) Peak() int64 { return s.peak.Load() }

// SetFailing makes every load fail until it is called with false.
func (s *Store) SetFailing(failing bool) { s.failing.Store(failing) }

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/fault" {
		s.SetFailing(ctx.QueryArgs().GetBool("fail"))
		return
	}
	if s.failing.Load() {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "the store is failing")
		return
	}
	if err := s.limiter.Wait(context.Background()); err != nil {
		writeError(ctx, fasthttp.StatusTooManyRequests, err.Error())
		return
	}
	inTransit := s.inTransit.Add(1)
	defer s.inTransit.Add(-1)
	if inTransit > s.peak.Load() {
		s.peak.Store(inTransit)
	}
	slowdown := max(float64(inTransit)/float64(s.config.FullSpeed), 1)
	time.Sleep(time.Duration(float64(s.config.LoadTime) * slowdown))
	ctx.SetBodyString("weights")
}
