package keyscope

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// wallClockStart is the wall clock time when the simulation starts, since the
// Unix epoch.
const wallClockStart = 1_800_000_000 * time.Second

// initialStart is when the first instances started, in virtual time.
const initialStart = -time.Minute

// fleet is the simulated state: the instances, the ownership rights and the
// orders of the callers. Times are virtual, since the start of the simulation.
type fleet struct {
	random    *rand.Rand
	scope     Scope
	now       time.Duration
	instances []*instance
	rights    map[shardID]*right
	// partitioned reports whether the current fault separates a and b.
	partitioned func(a, b *instance) bool
	// repairs end the current fault.
	repairs   []func()
	nextID    uint64
	runsByKey map[attempt.Key]int
	// outcomes counts the ended orders.
	outcomes map[attempt.Outcome]int
	pending  []order
}

// instance is one simulated instance. A dead instance refuses connections, a
// frozen one accepts them and does not respond.
type instance struct {
	name, dataCentre string
	record           *attempt.Record
	startedAt        time.Duration
	dead, frozen     bool
}

// shardID identifies one shard of the keys of a group.
type shardID struct {
	group string
	shard int
}

// right is the exclusive, leased right to run the calls of one shard.
type right struct {
	ranking   []*instance // preferred holder first
	holder    *instance
	heldSince time.Duration
	expiresAt time.Duration
}

func newFleet(scope Scope) *fleet {
	f := &fleet{
		random:      rand.New(rand.NewPCG(Seed, 0)),
		scope:       scope,
		rights:      make(map[shardID]*right),
		partitioned: noPartition,
		runsByKey:   make(map[attempt.Key]int),
		outcomes:    make(map[attempt.Outcome]int),
	}
	for i, dataCentre := range instanceDataCentres {
		f.instances = append(f.instances, &instance{
			name:       strconv.Itoa(i),
			dataCentre: dataCentre,
			startedAt:  initialStart,
			record:     attempt.NewRecord(attempt.DefaultRecordConfig()),
		})
	}
	for _, group := range []string{"a", "b", "c", "north", "south", allGroup} {
		for shard := range attempt.Shards {
			f.grantShard(shardID{group, shard})
		}
	}
	return f
}

func noPartition(*instance, *instance) bool { return false }

// restart replaces an instance by a new one with an empty record.
func (f *fleet) restart(i *instance) {
	*i = instance{
		name:       i.name,
		dataCentre: i.dataCentre,
		startedAt:  f.now,
		record:     attempt.NewRecord(attempt.DefaultRecordConfig()),
	}
}

func (f *fleet) canReach(a, b *instance) bool {
	return a == b || !b.dead && !b.frozen && !f.partitioned(a, b)
}

// grantShard gives a shard to the instance ranked first, as at the start.
func (f *fleet) grantShard(id shardID) {
	byName := make(map[string]*instance)
	var names []string
	for _, i := range f.instances {
		if id.group == allGroup || id.group == i.dataCentre || id.group == regionOf[i.dataCentre] {
			byName[i.name] = i
			names = append(names, i.name)
		}
	}
	r := &right{heldSince: initialStart, expiresAt: leaseTTL}
	for _, ranked := range ownership.Rank(id.group+strconv.Itoa(id.shard), names) {
		r.ranking = append(r.ranking, byName[ranked])
	}
	r.holder = r.ranking[0]
	f.rights[id] = r
}

// renewOrClaim renews the lease if its holder can still hold the right. Once the
// lease has expired, the first voter that can hold the right claims it.
func (f *fleet) renewOrClaim(r *right) {
	switch {
	case f.canHold(r.holder, r) && f.now < r.expiresAt:
		r.expiresAt = f.now + leaseTTL
	case f.now >= r.expiresAt:
		for _, i := range r.voters() {
			if f.canHold(i, r) {
				r.holder, r.heldSince, r.expiresAt = i, f.now, f.now+leaseTTL
				return
			}
		}
	}
}

// voters returns the first three instances of the ranking.
func (r *right) voters() []*instance { return r.ranking[:min(len(r.ranking), 3)] }

// canHold reports whether an instance can hold a right: it has been running for
// one lease duration, and it reaches another voter or the member list shows every
// other voter as gone.
func (f *fleet) canHold(i *instance, r *right) bool {
	if i.dead || i.frozen || f.now < i.startedAt+leaseTTL {
		return false
	}
	alone := true
	for _, v := range r.voters() {
		if v == i {
			continue
		}
		if f.canReach(i, v) {
			return true
		}
		alone = alone && v.dead
	}
	return alone
}
