package keyscope

import (
	"time"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// Seed fixes the traffic and the faults.
const Seed = 20261204

// Duration is how long each comparison lasts, in virtual time.
const Duration = 10 * time.Minute

const (
	stepTime      = 100 * time.Millisecond
	leaseTerm     = 3 * time.Second
	faultInterval = time.Minute
	cutTime       = 20 * time.Second // a cut, or the loss of a data centre
	awayTime      = 10 * time.Second // a kill, a planned stop or a freeze
	ordersPerStep = 4
	sendsPerOrder = 5
	sendInterval  = time.Second
	lostAnswers   = 100 // one answer in so many is lost
)

// dataCentres are where the instances stand, and regionOf where those are.
var (
	dataCentres = []string{"a", "b", "c"}
	regionOf    = map[string]string{"a": "north", "b": "north", "c": "south"}
	standing    = []string{"a", "a", "a", "b", "b", "c", "c"}
)

// allGroup is the group of all instances.
const allGroup = "all"

// Scope says which group of instances owns an order's key.
type Scope struct {
	Name  string
	group func(o *order) string
}

// Scopes returns the scopes that are compared.
func Scopes() []Scope {
	return []Scope{
		{"data centre, named", func(o *order) string { return o.from }},
		{"named, new key hashed", namedFirst},
		{"data centre, hashed", hashed},
		{"region, named", func(o *order) string { return regionOf[o.from] }},
		{"all", func(*order) string { return allGroup }},
	}
}

func hashed(o *order) string { return attempt.Home(o.key, dataCentres) }

// namedFirst names the caller's own data centre with the first key and leaves
// the home of a new key after a refusal to the hash.
func namedFirst(o *order) string {
	if o.minted == 1 {
		return o.from
	}
	return hashed(o)
}

// Fault is what happens again and again during a run.
type Fault string

// The faults.
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
