package keys

import (
	"encoding/json"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// handOverBytes bounds the answers that go with the hand-over of one shard. A
// key whose answer is left out is known to have run.
const handOverBytes = 128 << 10

// HandOver implements lease.Handler: it begins no further run of a shard's keys,
// waits until none is in progress and returns what the next holder needs, or nil
// where this instance does not hold the shard.
func (k *Keys) HandOver(r ownership.Right) []byte {
	shard, own := k.shardOf[r]
	if !own {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handing = true
	for k.shards[shard].running > 0 {
		k.idle.Wait()
	}
	since, held := k.held(shard)
	if !held {
		return nil
	}
	state := k.record.HandOver(k.fleet.Now(), shard, wall(), since)
	left := handOverBytes
	for i := range state.Keys {
		answer := state.Keys[i].Answer
		if answer == nil {
			continue
		}
		if left -= len(answer.Body); left < 0 {
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

// takeOver gives the record what the holder that directly preceded this one
// handed over, and tells whether it could be read. The lock must be held.
func (k *Keys) takeOver(shard int, since time.Duration, state []byte) bool {
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
