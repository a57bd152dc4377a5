package keys

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// Rights reports which rights this instance holds now.
type Rights interface {
	Held(r ownership.Right) (ownership.Grant, bool)
}

// shardsByRight returns the shard of each right to a shard of the data centre.
func shardsByRight(dataCentre string) map[ownership.Right]int {
	shards := make(map[ownership.Right]int, attempt.Shards)
	for shard := range attempt.Shards {
		shards[ownership.KeyRight(dataCentre, shard)] = shard
	}
	return shards
}

// heldSince returns when the right to a shard began, on the fleet's monotonic
// clock, and whether this instance holds it now.
func (k *Keys) heldSince(shard int) (since time.Duration, held bool) {
	grant, held := k.rights.Held(ownership.KeyRight(k.fleet.DataCentre(), shard))
	return grant.Since, held
}

// Ready reports whether this instance would run a key minted now, for every
// shard that it holds. After a change of holder without a hand-over, that is
// the case once the floor, which lies FutureLimit and ClockSkew after the start
// of the right, has passed.
func (k *Keys) Ready() bool {
	margin := k.config.Record.FutureLimit + k.config.Record.ClockSkew
	for shard := range attempt.Shards {
		since, held := k.heldSince(shard)
		if held && k.fleet.Now() < since+margin && !k.isInherited(shard) {
			return false
		}
	}
	return true
}

// isInherited reports whether the record contains the previous holder's state
// of the shard.
func (k *Keys) isInherited(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[shard].inherited
}

// Acquired implements lease.Handler. Without the state of the holder whose
// right ended where this one began, the outcome of the keys that this holder
// may have run is Unknown.
func (k *Keys) Acquired(a ownership.Acquired) {
	shard, own := k.shardByRight[a.Right]
	if !own {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handingOver = false
	k.shards[shard].inherited = a.Handed && k.importState(shard, a.Grant.Since, a.State)
}

// Lost implements lease.Handler. It does nothing, because every run checks the
// right itself.
func (k *Keys) Lost(ownership.Right) {}
