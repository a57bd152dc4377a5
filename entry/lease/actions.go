package lease

import (
	"context"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// executeActions executes the queued actions in order until ctx is done.
// Messages and hand-overs run on the pool.
func (k *Keeper) executeActions(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.actionsQueued:
		}
		k.mu.Lock()
		actions := k.actions
		k.actions = nil
		k.mu.Unlock()
		for _, action := range actions {
			k.execute(ctx, action)
		}
	}
}

func (k *Keeper) execute(ctx context.Context, action ownership.Action) {
	switch a := action.(type) {
	case ownership.Send:
		k.submit(func() { k.send(ctx, a) })
	case ownership.HandOver:
		k.log.Info().Str("event", "hand_over").Str("right", string(a.Right)).Str("to", a.To.Name).Send()
		k.submit(func() { k.handOver(a.Right) })
	case ownership.Acquired:
		k.log.Info().Str("event", "acquired").Str("right", string(a.Right)).
			Uint64("fence", a.Grant.Fence).Bool("handed", a.Handed).Send()
		if h, found := k.handlerOf(a.Right); found {
			h.Acquired(a)
		}
	case ownership.Lost:
		k.log.Info().Str("event", "lost").Str("right", string(a.Right)).Send()
		if h, found := k.handlerOf(a.Right); found {
			h.Lost(a.Right)
		}
	}
}

func (k *Keeper) submit(task func()) {
	if err := k.pool.Submit(task); err != nil {
		k.log.Warn().Err(err).Str("event", "lease_call_skipped").Send()
	}
}

// send sends a message to a peer and applies the reply. A failed message is not
// retried; the next renewal sends the current state.
func (k *Keeper) send(ctx context.Context, s ownership.Send) {
	peer, published := k.fleet.Instance(s.To)
	if !published {
		return
	}
	reply, err := k.sender.Lease(ctx, peer, s.Message)
	if err != nil {
		k.log.Debug().Err(err).Str("event", "lease_failed").Str("peer", s.To).Send()
		return
	}
	k.step(ownership.Replied{Reply: reply})
}

// handOver waits for the handler to finish the hand-over of a right and then
// releases the right.
func (k *Keeper) handOver(r ownership.Right) {
	var state []byte
	if h, found := k.handlerOf(r); found {
		state = h.HandOver(r)
	}
	k.step(ownership.Released{Right: r, State: state})
}
