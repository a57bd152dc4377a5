package keys

import (
	"encoding/json"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// maxHandOverBytes is the maximum total size of the response bodies in the
// hand-over of one shard. A key whose response is left out is still known to
// have run.
const maxHandOverBytes = 128 << 10

// HandOver implements lease.Handler. It prevents new runs of the shard's keys,
// waits until none is in progress and returns the state for the next holder, or
// nil if this instance does not hold the shard.
func (k *Keys) HandOver(r ownership.Right) []byte {
	shard, own := k.shardByRight[r]
	if !own {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handingOver = true
	for k.shards[shard].running > 0 {
		k.runEnded.Wait()
	}
	since, held := k.heldSince(shard)
	if !held {
		return nil
	}
	state := k.record.HandOver(k.fleet.Now(), shard, wallTime(), since)
	remaining := maxHandOverBytes
	for i := range state.Keys {
		answer := state.Keys[i].Answer
		if answer == nil {
			continue
		}
		if remaining -= len(answer.Body); remaining < 0 {
			state.Keys[i].Answer = nil
		}
	}
	data, err := json.Marshal(state)
	if err != nil {
		k.log.Error().Err(err).Str("event", "hand_over_failed").Int("shard", shard).Send()
		return nil
	}
	return data
}

// importState adds the state that the previous holder handed over to the record
// and reports whether the state was readable. The previous holder must be the
// one whose right ended where this instance's right began. k.mu must be held.
func (k *Keys) importState(shard int, since time.Duration, state []byte) bool {
	if len(state) == 0 {
		return false
	}
	var handed attempt.HandOver
	if err := json.Unmarshal(state, &handed); err != nil || handed.Shard != shard {
		k.log.Error().Err(err).Str("event", "hand_over_unreadable").Int("shard", shard).Send()
		return false
	}
	k.record.Step(k.fleet.Now(), attempt.Inherited{HeldSince: since, HandOver: handed})
	return true
}
