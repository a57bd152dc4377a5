package keyscope

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// Seed is the seed of the random traffic and faults.
const Seed = 20261204

// Duration is the length of each run, in virtual time.
const Duration = 10 * time.Minute

const (
	stepInterval      = 100 * time.Millisecond
	leaseTTL          = 3 * time.Second
	faultInterval     = time.Minute
	partitionDuration = 20 * time.Second // a partition, or the loss of a data centre
	outageDuration    = 10 * time.Second // a kill, a planned stop or a freeze
	ordersPerStep     = 4
	maxSendsPerOrder  = 5
	sendInterval      = time.Second
	responsesPerLoss  = 100 // one response in this many is lost
)

// The simulated fleet: regionOf maps a data centre to its region, and
// instanceDataCentres has the data centre of each instance.
var (
	dataCentres         = []string{"a", "b", "c"}
	regionOf            = map[string]string{"a": "north", "b": "north", "c": "south"}
	instanceDataCentres = []string{"a", "a", "a", "b", "b", "c", "c"}
)

// allGroup is the name of the group of all instances. The other groups have the
// names of the data centres and regions.
const allGroup = "all"

// Scope is a rule that decides which group of instances owns an order's key.
type Scope struct {
	Name       string
	ownerGroup func(o *order) string
}

// Scopes returns the scopes that are compared.
func Scopes() []Scope {
	return []Scope{
		{"data centre, named", func(o *order) string { return o.from }},
		{"named, new key hashed", ownThenHashed},
		{"data centre, hashed", hashedDataCentre},
		{"region, named", func(o *order) string { return regionOf[o.from] }},
		{"all", func(*order) string { return allGroup }},
	}
}

// hashedDataCentre returns the data centre to which the key hashes.
func hashedDataCentre(o *order) string { return attempt.Home(o.key, dataCentres) }

// ownThenHashed returns the caller's own data centre for the first key of an order
// and the hashed data centre for each later key, after a refusal.
func ownThenHashed(o *order) string {
	if o.keyCount == 1 {
		return o.from
	}
	return hashedDataCentre(o)
}

// Fault is the kind of fault that recurs during a run, every faultInterval.
type Fault string

// The kinds of fault. A cut is a network partition.
const (
	None           Fault = "none"
	Kill           Fault = "kill"
	PlannedStop    Fault = "planned stop"
	Freeze         Fault = "freeze"
	DataCentreCut  Fault = "data centre cut"
	RegionCut      Fault = "region cut"
	DataCentreLost Fault = "data centre lost"
)

// Faults returns the faults that are compared.
func Faults() []Fault {
	return []Fault{None, Kill, PlannedStop, Freeze, DataCentreCut, RegionCut, DataCentreLost}
}
