// Package quota enforces the quotas of organisations at an instance. A Client takes
// tokens from the meters of all clusters before requests spend them, a Server runs the
// meters whose right this instance holds. coord/quota decides; this package sends the
// calls.
package quota

import (
	"context"
	"slices"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/quota"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
)

// MetersPerCluster is the number of meters in each cluster. With two of them an
// organisation keeps half of its region's share while a right passes on.
const MetersPerCluster = 2

// rights are the names of the rights to run the meters of a cluster.
var rights = [MetersPerCluster]string{ReservedDataCentre + "/0", ReservedDataCentre + "/1"}

// Rights returns the names of the rights to run the meters of a cluster.
func Rights() []string { return rights[:] }

// ReservedDataCentre is the name that no data centre may have, because the rights over
// its workers would have the names of those of the meters.
const ReservedDataCentre = "quota"

// ReserveMeter is the name of the reserve meter of each seed in calls. It has no right.
const ReserveMeter = "reserve"

// firstSeeds returns the seeds that run a reserve meter.
func firstSeeds(seeds []string) []string { return slices.Clone(seeds[:min(len(seeds), quota.Seeds)]) }

// Config is what a Client or Server needs to know of its deployment.
type Config struct {
	// Bound is the bound on the spending of each organisation.
	Bound quota.Config
	// Address is the address of this instance in calls to others.
	Address string
	// Region is the region of this instance, Regions those of all clusters. With a
	// single cluster, Regions holds Region only.
	Region  string
	Regions []string
	// Seeds are the addresses of the instances that run a reserve meter; only the first
	// quota.Seeds of them count. They may be changed by Client.SetSeeds and
	// Server.SetSeeds.
	Seeds []string
	// TurnGap is the least time between the last use of a right by one holder and the
	// first by the next.
	TurnGap time.Duration
	// Now is the clock. It must count the time during which the host is suspended, since
	// grants must expire in it.
	Now func() time.Duration
}

// Peers finds and calls other instances.
type Peers interface {
	// Held returns the fencing token of a right of this cluster, and whether this
	// instance may act under it now.
	Held(right string) (uint64, bool)
	// Holder returns the address of the holder of a right of this cluster, or "".
	Holder(right string) string
	// MembersIn lists the addresses of the known instances of a region that have not
	// left.
	MembersIn(region string) []string
	TakeQuota(ctx context.Context, address string, r *clusterpb.TakeQuotaRequest) (*clusterpb.TakeQuotaResponse, error)
}

// Timeouts of a call to a meter: about thirty round trips within a region, and four
// between regions. A later response would carry tokens whose life has begun to pass,
// while the caller waits.
const (
	ownRegionTimeout   = 60 * time.Millisecond
	otherRegionTimeout = 150 * time.Millisecond
	// maxTakeWait bounds how long a request waits for its tokens. It allows for one meter that does not respond in time, and then for one in another
	// region that has to be found, or for two asks of each of four meters.
	maxTakeWait = 250 * time.Millisecond
)
