package quota

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

// remoteMeter is a meter as a Client sees it.
type remoteMeter struct {
	right, region string
	own           bool // in this instance's region
	// isSeed is set for the reserve meter of a seed; seed is its position in the order
	// of the organisation.
	isSeed bool
	seed   int
}

// meterFinder knows all meters and finds their addresses. It is safe for concurrent
// use.
type meterFinder struct {
	config      Config
	peers       Peers
	local       *Server
	reportPanic recovery.Reporter
	meters      []remoteMeter

	mu    sync.Mutex
	seeds []string
	// addresses are where meters of other regions were found last, by meter.
	addresses []string
	// lost is set, by meter, for those of other regions whose holder is not known; they are
	// looked for in the background.
	lost []bool
	// silent holds the addresses whose last call had no response, and background the
	// calls that no request waits for.
	silent     map[string]bool
	background map[string]*backgroundCall
	// reportedAt is when an error was last reported, by meter.
	reportedAt []time.Duration
}

// backgroundCall is the last call of its kind.
type backgroundCall struct {
	running bool
	endedAt time.Duration
}

func newMeterFinder(config Config, peers Peers, local *Server, reportPanic recovery.Reporter) *meterFinder {
	f := &meterFinder{
		config: config, peers: peers, local: local, reportPanic: reportPanic,
		silent: make(map[string]bool), background: make(map[string]*backgroundCall),
	}
	for _, region := range config.Regions {
		for _, right := range Rights() {
			f.meters = append(f.meters, remoteMeter{right: right, region: region, own: region == config.Region})
		}
	}
	for n := range quota.Seeds {
		f.meters = append(f.meters, remoteMeter{right: ReserveMeter, isSeed: true, seed: n})
	}
	f.addresses, f.lost = make([]string, len(f.meters)), make([]bool, len(f.meters))
	f.reportedAt = make([]time.Duration, len(f.meters))
	f.setSeeds(config.Seeds)
	return f
}

func (f *meterFinder) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = firstSeeds(seeds)
}

// refs returns the meters as an account of an organisation uses them.
func (f *meterFinder) refs(organisation string) []quota.MeterRef {
	refs := make([]quota.MeterRef, len(f.meters))
	for i, m := range f.meters {
		refs[i] = quota.MeterRef{Index: i, Remote: !m.own, Seed: m.isSeed}
		if !m.isSeed {
			refs[i].Choice = choice(m.region, m.right, organisation)
		}
	}
	return refs
}

// choice returns the position of a meter among those of its region, which rendezvous
// hashing decides for each organisation.
func choice(region, right, organisation string) int {
	score := func(right string) uint64 {
		return xxhash.Sum64String(organisation + "\x00" + region + "\x00" + right)
	}
	own, position := score(right), 0
	for _, other := range Rights() {
		if score(other) > own {
			position++
		}
	}
	return position
}

var (
	errNoHolder = errors.New("no instance is known to run the meter")
	errNotHeld  = errors.New("the instance does not run the meter")
)

// maxHops bounds the instances that are asked for a meter of another region in one
// call: one that was found earlier, and the holder that it names.
const maxHops = 2

// take sends asks of an organisation to a meter.
func (f *meterFinder) take(ctx context.Context, index int, organisation string, asks []*clusterpb.QuotaAsk) (*clusterpb.TakeQuotaResponse, error) {
	meter := f.meters[index]
	request := &clusterpb.TakeQuotaRequest{Meter: meter.right, Asks: asks}
	if meter.isSeed {
		return f.takeReserve(ctx, meter, organisation, request)
	}
	if meter.own {
		if _, held := f.peers.Held(meter.right); held {
			if response := f.local.Take(request); !response.GetNotHeld() {
				return response, nil
			}
		}
	}
	if f.isLost(index) {
		f.find(index)
		return nil, oops.Code("quota_meter_lost").With("meter", meter.right, "region", meter.region).Wrap(errNoHolder)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(meter.own))
	defer cancel()
	address := f.address(index)
	if address == f.config.Address {
		address = "" // this instance has acquired the right and may not act under it yet
	}
	for range maxHops {
		if address == "" {
			f.setLost(index)
			return nil, oops.Code("quota_meter_unknown").With("meter", meter.right, "region", meter.region).Wrap(errNoHolder)
		}
		response, err := f.call(ctx, address, request)
		if err != nil {
			f.setLost(index)
			return nil, oops.Code("quota_call").With("meter", meter.right, "address", address).Wrap(err)
		}
		if !response.GetNotHeld() {
			f.setAddress(index, address)
			return response, nil
		}
		address = response.GetHolder()
		f.setAddress(index, address)
	}
	return nil, oops.Code("quota_meter_moved").With("meter", meter.right, "region", meter.region).Wrap(errNotHeld)
}

// takeReserve sends asks to a seed.
func (f *meterFinder) takeReserve(ctx context.Context, meter remoteMeter, organisation string, request *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	address, isNear := f.seed(organisation, meter.seed)
	if address == "" {
		return nil, oops.Code("quota_seed_unknown").With("meter", meter.right).Wrap(errNoHolder)
	}
	if address == f.config.Address {
		return f.local.Take(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout(isNear))
	defer cancel()
	response, err := f.call(ctx, address, request)
	if err != nil {
		return nil, oops.Code("quota_call").With("meter", meter.right, "address", address).Wrap(err)
	}
	if response.GetNotHeld() {
		return nil, oops.Code("quota_seed_moved").With("meter", meter.right, "address", address).Wrap(errNotHeld)
	}
	return response, nil
}

// seed returns the address of the seed at a position in the order of an organisation, or
// "", and whether it is known to be in this region. Seeds of this region come first.
func (f *meterFinder) seed(organisation string, position int) (address string, isNear bool) {
	f.mu.Lock()
	seeds := slices.Clone(f.seeds)
	f.mu.Unlock()
	if position >= len(seeds) {
		return "", false
	}
	members := f.peers.MembersIn(f.config.Region)
	near := func(seed string) bool { return seed == f.config.Address || slices.Contains(members, seed) }
	slices.SortFunc(seeds, func(a, b string) int {
		if aNear := near(a); aNear != near(b) {
			if aNear {
				return -1
			}
			return 1
		}
		return cmp.Compare(xxhash.Sum64String(organisation+"\x00"+a), xxhash.Sum64String(organisation+"\x00"+b))
	})
	return seeds[position], near(seeds[position])
}

// address returns where to ask for a meter, or "" if nothing is known. For a meter of
// another region without a known address it is any instance there, which names the
// holder.
func (f *meterFinder) address(index int) string {
	meter := f.meters[index]
	if known := f.knownAddress(index); known != "" || meter.own {
		return known
	}
	return f.anyIn(meter.region)
}

// knownAddress returns the address of the holder of a meter, or "" if it is not known.
func (f *meterFinder) knownAddress(index int) string {
	if meter := f.meters[index]; meter.own {
		return f.peers.Holder(meter.right)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.addresses[index]
}

// anyIn returns the address of an instance of a region, or "". One that does not respond
// is returned only if there is no other.
func (f *meterFinder) anyIn(region string) string {
	members := f.peers.MembersIn(region)
	if len(members) == 0 {
		return ""
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	start := rand.IntN(len(members))
	for n := range members {
		if address := members[(start+n)%len(members)]; !f.silent[address] {
			return address
		}
	}
	return members[start]
}

func (f *meterFinder) setAddress(index int, address string) {
	if f.meters[index].own {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[index] = address
}
