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
		f.mu.Lock()
		f.silent[address] = true
		f.mu.Unlock()
		f.probe(address, request.GetMeter())
	}
	return response, err
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

// findAgain asks an instance of another region for the holder of a meter, after the last
// one did not respond.
func (f *meterFinder) findAgain(index int) {
	f.inBackground("find "+strconv.Itoa(index), func(ctx context.Context) {
		meter := f.meters[index]
		address := f.anyIn(meter.region)
		if address == "" {
			return
		}
		response, err := f.peers.TakeQuota(ctx, address, &clusterpb.TakeQuotaRequest{Meter: meter.right})
		if err != nil {
			return
		}
		if response.GetNotHeld() {
			address = response.GetHolder()
		}
		f.setAddress(index, address)
	})
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
