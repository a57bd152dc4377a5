package quota

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/oops"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// remoteMeter is a meter as a Client sees it.
type remoteMeter struct {
	right, region string
	own           bool // in this instance's region
}

func (m remoteMeter) timeout() time.Duration {
	if m.own {
		return ownRegionTimeout
	}
	return otherRegionTimeout
}

// meterFinder knows all meters and finds their addresses. It is safe for concurrent
// use.
type meterFinder struct {
	config Config
	peers  Peers
	local  *Server
	meters []remoteMeter

	mu sync.Mutex
	// addresses are where meters of other regions were found last, by meter.
	addresses []string
}

func newMeterFinder(config Config, peers Peers, local *Server) *meterFinder {
	f := &meterFinder{config: config, peers: peers, local: local}
	for _, region := range config.Regions {
		for _, right := range Rights() {
			f.meters = append(f.meters, remoteMeter{right, region, region == config.Region})
		}
	}
	f.addresses = make([]string, len(f.meters))
	return f
}

// refs returns the meters as an account of an organisation uses them.
func (f *meterFinder) refs(organisation string) []quota.MeterRef {
	refs := make([]quota.MeterRef, len(f.meters))
	for i, m := range f.meters {
		refs[i] = quota.MeterRef{Index: i, Choice: choice(m.region, m.right, organisation), Remote: !m.own}
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

// take sends asks to a meter.
func (f *meterFinder) take(ctx context.Context, index int, asks []*clusterpb.QuotaAsk) (*clusterpb.TakeQuotaResponse, error) {
	meter := f.meters[index]
	request := &clusterpb.TakeQuotaRequest{Meter: meter.right, Asks: asks}
	if meter.own {
		if _, held := f.peers.Held(meter.right); held {
			if response := f.local.Take(request); !response.GetNotHeld() {
				return response, nil
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, meter.timeout())
	defer cancel()
	address, found := f.address(index), false
	if address == f.config.Address {
		address = "" // this instance has acquired the right and may not act under it yet
	}
	for range maxHops {
		if address == "" {
			return nil, oops.Code("quota_meter_unknown").With("meter", meter.right, "region", meter.region).Wrap(errNoHolder)
		}
		response, err := f.peers.TakeQuota(ctx, address, request)
		if err != nil {
			if !found { // the time was used up on the way to the address that was found
				f.setAddress(index, "")
			}
			return nil, oops.Code("quota_call").With("meter", meter.right, "address", address).Wrap(err)
		}
		if !response.GetNotHeld() {
			f.setAddress(index, address)
			return response, nil
		}
		address, found = response.GetHolder(), true
		f.setAddress(index, address)
	}
	return nil, oops.Code("quota_meter_moved").With("meter", meter.right, "region", meter.region).Wrap(errNotHeld)
}

// address returns where to ask for a meter, or "" if nothing is known. For a meter of
// another region without a known address it is any instance there, which names the
// holder.
func (f *meterFinder) address(index int) string {
	meter := f.meters[index]
	if meter.own {
		return f.peers.Holder(meter.right)
	}
	f.mu.Lock()
	known := f.addresses[index]
	f.mu.Unlock()
	if known != "" {
		return known
	}
	members := f.peers.MembersIn(meter.region)
	if len(members) == 0 {
		return ""
	}
	return members[rand.IntN(len(members))]
}

func (f *meterFinder) setAddress(index int, address string) {
	if f.meters[index].own {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addresses[index] = address
}
