package standin

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// StoreConfig sizes the weight store.
type StoreConfig struct {
	// LoadsPerSecond is the rate that the store allows.
	LoadsPerSecond float64
	// LoadTime is how long one load takes when at most FullSpeed are in transit.
	LoadTime time.Duration
	// FullSpeed is the number of loads in transit beyond which each slows down.
	FullSpeed int
}

// DefaultStoreConfig returns a store of 3 loads a second.
func DefaultStoreConfig() StoreConfig {
	return StoreConfig{LoadsPerSecond: 3, LoadTime: 250 * time.Millisecond, FullSpeed: 8}
}

// Store stands in for the weight store.
type Store struct {
	*server
	config  StoreConfig
	limiter *rate.Limiter
	transit atomic.Int64
	peak    atomic.Int64
	failing atomic.Bool
}

// StartStore starts a store on address.
func StartStore(address string, config StoreConfig) (*Store, error) {
	s := &Store{config: config, limiter: rate.NewLimiter(rate.Limit(config.LoadsPerSecond), config.FullSpeed)}
	listener, err := listen(address, s.handle)
	if err != nil {
		return nil, err
	}
	s.server = listener
	return s, nil
}

// Peak returns the largest number of loads that were in transit at once.
func (s *Store) Peak() int64 { return s.peak.Load() }

// SetFailing makes every load fail, or ends that.
func (s *Store) SetFailing(failing bool) { s.failing.Store(failing) }

func (s *Store) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/fault" {
		s.SetFailing(ctx.QueryArgs().GetBool("fail"))
		return
	}
	if s.failing.Load() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "store is failing")
		return
	}
	if err := s.limiter.Wait(context.Background()); err != nil {
		refuse(ctx, fasthttp.StatusTooManyRequests, err.Error())
		return
	}
	inTransit := s.transit.Add(1)
	defer s.transit.Add(-1)
	if inTransit > s.peak.Load() {
		s.peak.Store(inTransit)
	}
	slowdown := max(float64(inTransit)/float64(s.config.FullSpeed), 1)
	time.Sleep(time.Duration(float64(s.config.LoadTime) * slowdown))
	ctx.SetBodyString("weights")
}
