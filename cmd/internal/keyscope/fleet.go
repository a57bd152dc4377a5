package keyscope

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
)

// wallStart is the wall clock at the start, since the Unix epoch.
const wallStart = 1_800_000_000 * time.Second

// longAgo is when the first instances started.
const longAgo = -time.Minute

// fleet is the instances, who holds which right, and the callers' orders.
type fleet struct {
	random    *rand.Rand
	scope     Scope
	now       time.Duration
	instances []*instance
	rights    map[shardName]*right
	cut       func(a, b *instance) bool
	mend      []func()
	nextID    uint64
	runs      map[attempt.Key]int
	tally     map[attempt.Outcome]int
	waiting   []order
}

type instance struct {
	name, dataCentre string
	record           *attempt.Record
	booted           time.Duration
	dead, frozen     bool
}

// shardName names one shard of a group.
type shardName struct {
	group string
	shard int
}

// right is who holds one shard of a group.
type right struct {
	order  []*instance // the owner first
	holder *instance
	since  time.Duration
	until  time.Duration
}

func newFleet(scope Scope) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(Seed, 0)),
		scope:  scope,
		rights: make(map[shardName]*right),
		cut:    connected,
		runs:   make(map[attempt.Key]int),
		tally:  make(map[attempt.Outcome]int),
	}
	for i, dataCentre := range standing {
		f.instances = append(f.instances, &instance{
			name:       strconv.Itoa(i),
			dataCentre: dataCentre,
			booted:     longAgo,
			record:     attempt.NewRecord(attempt.DefaultRecordConfig()),
		})
	}
	for _, group := range []string{"a", "b", "c", "north", "south", allGroup} {
		for shard := range attempt.Shards {
			f.grant(shardName{group, shard})
		}
	}
	return f
}

func connected(*instance, *instance) bool { return false }

// restart replaces an instance by one without memory.
func (f *fleet) restart(i *instance) {
	*i = instance{
		name:       i.name,
		dataCentre: i.dataCentre,
		booted:     f.now,
		record:     attempt.NewRecord(attempt.DefaultRecordConfig()),
	}
}

func (f *fleet) reaches(a, b *instance) bool {
	return a == b || !b.dead && !b.frozen && !f.cut(a, b)
}

// grant gives a shard to its owner at the start.
func (f *fleet) grant(name shardName) {
	byName := make(map[string]*instance)
	var names []string
	for _, i := range f.instances {
		if name.group == allGroup || name.group == i.dataCentre || name.group == regionOf[i.dataCentre] {
			byName[i.name] = i
			names = append(names, i.name)
		}
	}
	r := &right{since: longAgo, until: leaseTerm}
	for _, ranked := range ownership.Rank(name.group+strconv.Itoa(name.shard), names) {
		r.order = append(r.order, byName[ranked])
	}
	r.holder = r.order[0]
	f.rights[name] = r
}

// renew prolongs a right while its holder is able to hold it; one of the first
// three in order claims it when it has run out.
func (f *fleet) renew(r *right) {
	switch {
	case f.able(r.holder, r) && f.now < r.until:
		r.until = f.now + leaseTerm
	case f.now >= r.until:
		for _, i := range r.voters() {
			if f.able(i, r) {
				r.holder, r.since, r.until = i, f.now, f.now+leaseTerm
				return
			}
		}
	}
}

func (r *right) voters() []*instance { return r.order[:min(len(r.order), 3)] }

// able tells whether an instance can hold a right: it has run for a term and
// reaches another voter, or the list calls every other voter gone.
func (f *fleet) able(i *instance, r *right) bool {
	if i.dead || i.frozen || f.now < i.booted+leaseTerm {
		return false
	}
	alone := true
	for _, v := range r.voters() {
		if v == i {
			continue
		}
		if f.reaches(i, v) {
			return true
		}
		alone = alone && v.dead
	}
	return alone
}
