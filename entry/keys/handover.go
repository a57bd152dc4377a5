package keys

import (
	"encoding/json"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// handOverBytes bounds the answers that go with the hand-over of one shard. A
// key whose answer is left out is known to have run.
const handOverBytes = 128 << 10

// HandOver begins no further run of a shard's keys, waits until none is in
// progress and returns what the next holder needs, or nil where this instance
// does not hold the shard.
func (k *Keys) HandOver(shard int) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handing = true
	for k.shards[shard].running > 0 {
		k.idle.Wait()
	}
	since, held := k.rights.held(shard)
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

// TakeOver begins this instance's right to a shard. State is what the holder
// that directly preceded it handed over, or nil: then keys that it may have run
// are answered unknown.
func (k *Keys) TakeOver(shard int, since time.Duration, state []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handing = false
	if len(state) == 0 {
		return
	}
	var handed attempt.HandOver
	if err := json.Unmarshal(state, &handed); err != nil || handed.Shard != shard {
		k.log.Error().Err(err).Str("event", "hand_over_unreadable").Int("shard", shard).Send()
		return
	}
	k.record.Step(k.fleet.Now(), attempt.Inherited{Since: since, HandOver: handed})
}
