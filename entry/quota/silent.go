package quota

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/recovery"
)

var errSilent = errors.New("the instance has not responded to the last call")

// Constants of calls that no request waits for.
const (
	// probeInterval is the least time between the end of one and the start of the next of
	// the same kind. They are made only while requests need the meter.
	probeInterval = 250 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// timeout returns the time-out of a call.
func timeout(isOwnRegion bool) time.Duration {
	if isOwnRegion {
		return ownRegionTimeout
	}
	return otherRegionTimeout
}

// call sends a request to an instance, unless its last call had no response: then it
// fails at once, and a call that no request waits for finds out when the instance
// responds again. Otherwise each request would wait for the time-out of a dead machine.
func (f *meterFinder) call(ctx context.Context, address string, request *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error) {
	f.mu.Lock()
	isSilent := f.silent[address]
	f.mu.Unlock()
	if isSilent {
		f.probe(address, request.GetMeter())
		return nil, errSilent
	}
	response, err := f.peers.TakeQuota(ctx, address, request)
	if err != nil {
		f.setSilent(address)
		f.probe(address, request.GetMeter())
		f.checkOthers()
	}
	return response, err
}

// checkOthers finds out which of the other instances that may be asked respond: when one
// fails, others often have too, or this instance is cut off, and requests should not find
// this out one time-out after the other.
func (f *meterFinder) checkOthers() {
	for i, m := range f.meters {
		if m.isSeed || f.isLost(i) {
			continue
		}
		address := f.knownAddress(i)
		if address == "" && !m.own {
			f.find(i)
		}
		f.check(address, m.right, func() { f.setLost(i) })
	}
	f.mu.Lock()
	seeds := f.seeds
	f.mu.Unlock()
	for _, seed := range seeds {
		f.check(seed, ReserveMeter, func() {})
	}
}

// check calls an instance and records that it is silent if it does not respond.
func (f *meterFinder) check(address, meter string, onSilent func()) {
	f.mu.Lock()
	isSilent := f.silent[address]
	f.mu.Unlock()
	if isSilent || address == "" || address == f.config.Address {
		return
	}
	f.inBackground("check "+address, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, otherRegionTimeout)
		defer cancel()
		if _, err := f.peers.TakeQuota(ctx, address, &clusterpb.TakeQuotaRequest{Meter: meter}); err != nil {
			f.setSilent(address)
			onSilent()
		}
	})
}

// probe finds out whether an instance responds again.
func (f *meterFinder) probe(address, meter string) {
	f.inBackground("probe "+address, func(ctx context.Context) {
		if _, err := f.peers.TakeQuota(ctx, address, &clusterpb.TakeQuotaRequest{Meter: meter}); err != nil {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.silent, address)
	})
}

func (f *meterFinder) isLost(index int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lost[index]
}

// setLost records that the holder of a meter of another region did not respond or is not
// known, and looks for it. The other meters of the region are lost as well if nothing is
// known of them.
func (f *meterFinder) setLost(index int) {
	if f.meters[index].own {
		return
	}
	f.mu.Lock()
	f.addresses[index] = ""
	var lost []int
	for i, m := range f.meters {
		if !m.isSeed && m.region == f.meters[index].region && f.addresses[i] == "" {
			f.lost[i] = true
			lost = append(lost, i)
		}
	}
	f.mu.Unlock()
	for _, i := range lost {
		f.find(i)
	}
}

// find asks an instance of another region for the holder of a meter, and the holder
// whether it responds.
func (f *meterFinder) find(index int) {
	f.inBackground("find "+strconv.Itoa(index), func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, 2*otherRegionTimeout)
		defer cancel()
		request := &clusterpb.TakeQuotaRequest{Meter: f.meters[index].right}
		address := f.anyIn(f.meters[index].region)
		for range maxHops {
			if address == "" {
				break
			}
			response, err := f.peers.TakeQuota(ctx, address, request)
			if err != nil {
				f.setSilent(address)
				address = ""
				break
			}
			if !response.GetNotHeld() {
				break
			}
			address = response.GetHolder()
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.addresses[index], f.lost[index] = address, address == ""
	})
}

// reportInterval is the least time between two reports of errors of one meter: while it is
// known to be silent, calls fail as often as requests arrive.
const reportInterval = time.Second

// mayReport reports whether an error of a meter is to be reported.
func (f *meterFinder) mayReport(index int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.config.Now()
	if f.reportedAt[index] > 0 && now-f.reportedAt[index] < reportInterval {
		return false
	}
	f.reportedAt[index] = now
	return true
}

func (f *meterFinder) setSilent(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[address] = true
}

// inBackground starts a call, unless one of the same kind is in progress or has ended
// lately.
func (f *meterFinder) inBackground(kind string, call func(context.Context)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.background[kind]
	if b != nil && (b.running || f.config.Now()-b.endedAt < probeInterval) {
		return
	}
	if b == nil {
		b = &backgroundCall{}
		f.background[kind] = b
	}
	b.running = true
	go func() {
		recovery.Run(f.reportPanic, "quota", func() {
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			call(ctx)
		})
		f.mu.Lock()
		defer f.mu.Unlock()
		b.running, b.endedAt = false, f.config.Now()
	}()
}
