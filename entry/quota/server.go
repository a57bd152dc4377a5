package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// Limits returns the limit of an organisation in the configuration in force, and false
// if there is no such organisation or it has no limit.
type Limits func(organisation string) (quota.Limit, bool)

// Server runs the meters whose right this instance holds. It is safe for concurrent
// use.
type Server struct {
	config  Config
	peers   Peers
	limits  Limits
	version func() uint64

	mu      sync.Mutex
	tenures map[string]*tenure
	// reserve is the reserve meter, which is asked only while this instance is a seed. It
	// exists from the start, so that no change of the seeds fills it.
	reserve *quota.Meter
	isSeed  bool
}

// tenure is the meter of a right while this instance holds the right.
type tenure struct {
	fence uint64
	meter *quota.Meter
	// usedAt is when the meter was last known to run.
	usedAt time.Duration
}

// NewServer returns a server. limits and version describe the configuration in force.
func NewServer(config Config, peers Peers, limits Limits, version func() uint64) *Server {
	s := &Server{
		config: config, peers: peers, limits: limits, version: version, tenures: make(map[string]*tenure),
		reserve: quota.NewReserveMeter(config.Bound, config.Now()),
	}
	s.SetSeeds(config.Seeds)
	return s
}

// SetSeeds changes the seeds.
func (s *Server) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isSeed = slices.Contains(firstSeeds(seeds), s.config.Address)
}

// Refresh starts the meters whose right this instance has acquired, so that they fill
// before they are asked.
func (s *Server) Refresh() {
	for _, right := range Rights() {
		now := s.config.Now()
		if fence, held := s.peers.Held(right); held {
			s.mu.Lock()
			s.meter(now, right, fence)
			s.mu.Unlock()
		}
	}
}

// meter returns the meter of a right that is held at now. s.mu must be held.
func (s *Server) meter(now time.Duration, right string, fence uint64) *quota.Meter {
	t := s.tenures[right]
	if t == nil || t.fence != fence {
		// Nobody has granted tokens under the right for the turn gap, except this
		// instance in an earlier tenure.
		filledFrom := now - s.config.TurnGap
		if t != nil {
			filledFrom = max(filledFrom, t.usedAt)
		}
		t = &tenure{fence: fence, meter: quota.NewMeter(s.config.Bound, filledFrom)}
		s.tenures[right] = t
	}
	t.usedAt = now
	return t.meter
}

// Take serves an ask of this instance or another. The time is read before the right is
// checked: if the process is suspended in between, the grants count as made before.
func (s *Server) Take(in *clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	now := s.config.Now()
	if in.GetMeter() == ReserveMeter {
		return s.takeReserve(now, in)
	}
	fence, held := s.peers.Held(in.GetMeter())
	if !held || !slices.Contains(Rights(), in.GetMeter()) {
		return &clusterpb.TakeQuotaResponse{NotHeld: true, Holder: s.peers.Holder(in.GetMeter())}
	}
	response := &clusterpb.TakeQuotaResponse{ConfigVersion: s.version()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve(now, s.meter(now, in.GetMeter(), fence), in, response)
	return response
}

// takeReserve serves an ask of the reserve meter.
func (s *Server) takeReserve(now time.Duration, in *clusterpb.TakeQuotaRequest) *clusterpb.TakeQuotaResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSeed {
		return &clusterpb.TakeQuotaResponse{NotHeld: true}
	}
	response := &clusterpb.TakeQuotaResponse{ConfigVersion: s.version()}
	s.serve(now, s.reserve, in, response)
	return response
}

// share returns the share of a meter in the limit of an organisation.
func (s *Server) share(meter, organisation string, limit quota.Limit) quota.Share {
	if meter == ReserveMeter {
		return s.config.Bound.SeedShare(limit)
	}
	return s.config.Bound.ShareOf(limit, choice(s.config.Region, meter, organisation))
}

// serve adds the grants of a meter to a response. s.mu must be held.
func (s *Server) serve(now time.Duration, meter *quota.Meter, in *clusterpb.TakeQuotaRequest, response *clusterpb.TakeQuotaResponse) {
	for _, ask := range in.GetAsks() {
		grant := &clusterpb.QuotaGrant{Organisation: ask.GetOrganisation()}
		if limit, known := s.limits(ask.GetOrganisation()); known {
			share := s.share(in.GetMeter(), ask.GetOrganisation(), limit)
			g := meter.Take(now, ask.GetOrganisation(), share, quota.Ask{
				Amount: boundedAmount(ask.GetAmount()), Least: boundedAmount(ask.GetLeast()), Returned: boundedAmount(ask.GetReturned()),
			})
			grant.Granted, grant.WaitNs = uint64(g.Granted), int64(g.Wait)
		} else {
			grant.Unknown = true
		}
		response.Grants = append(response.Grants, grant)
	}
}

// maxAmount bounds the amounts in messages, so that sums of them don't overflow.
const maxAmount = 1 << 40

func boundedAmount(amount uint64) int64 { return int64(min(amount, maxAmount)) }

// Levels calls f with the level of each bucket of the meters that run here. The reserve
// meter is reported if it was asked.
func (s *Server) Levels(organisations []string, f func(right, organisation string, level float64)) {
	s.mu.Lock()
	levels(s.reserve, ReserveMeter, organisations, f)
	s.mu.Unlock()
	for _, right := range Rights() {
		if _, held := s.peers.Held(right); !held {
			continue
		}
		s.mu.Lock()
		if t := s.tenures[right]; t != nil {
			levels(t.meter, right, organisations, f)
		}
		s.mu.Unlock()
	}
}

func levels(meter *quota.Meter, name string, organisations []string, f func(right, organisation string, level float64)) {
	for _, organisation := range organisations {
		if level, found := meter.Level(organisation); found {
			f(name, organisation, level)
		}
	}
}
