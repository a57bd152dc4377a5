package keys

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// Rights tells which rights this instance holds.
type Rights interface {
	Held(r ownership.Right) (ownership.Grant, bool)
}

// shardsOf returns the rights to a data centre's shards.
func shardsOf(dataCentre string) map[ownership.Right]int {
	shards := make(map[ownership.Right]int, attempt.Shards)
	for shard := range attempt.Shards {
		shards[ownership.KeyRight(dataCentre, shard)] = shard
	}
	return shards
}

// held returns since when the right to a shard is held.
func (k *Keys) held(shard int) (since time.Duration, held bool) {
	grant, held := k.rights.Held(ownership.KeyRight(k.fleet.DataCentre(), shard))
	return grant.Since, held
}

// Ready tells whether keys minted now would be run by this instance wherever it
// is their owner.
func (k *Keys) Ready() bool {
	margin := k.config.Record.FutureLimit + k.config.Record.ClockSkew
	for shard := range attempt.Shards {
		since, held := k.held(shard)
		if held && k.fleet.Now() < since+margin && !k.inherited(shard) {
			return false
		}
	}
	return true
}

func (k *Keys) inherited(shard int) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shards[shard].inherited
}

// Acquired implements lease.Handler. Without the state of the holder that
// directly preceded this one, keys that it may have run are answered unknown.
func (k *Keys) Acquired(a ownership.Acquired) {
	shard, own := k.shardOf[a.Right]
	if !own {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.shards[shard].handing = false
	k.shards[shard].inherited = a.Handed && k.takeOver(shard, a.Grant.Since, a.State)
}

// Lost implements lease.Handler.
func (k *Keys) Lost(ownership.Right) {}
