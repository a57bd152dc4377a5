package daemon

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/residency"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/endpoint"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
	"github.com/bulrushwick/bulrushwick/entry/lease"
	"github.com/bulrushwick/bulrushwick/entry/owner"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// newOwner returns the owner, which schedules the workers whose rights this instance
// holds.
func newOwner(s settings.Settings, f *fleet.Fleet, clients httpx.ClientConfig, log zerolog.Logger) (*owner.Owner, error) {
	return owner.New(owner.Config{
		QueueLimit:          s.QueueLimit,
		Store:               residency.StoreLimits{LoadsPerSecond: s.StoreLoadsPerSecond, Transit: s.StoreTransit},
		DispatchConcurrency: s.DispatchConcurrency,
		ServeGrace:          s.ServeGrace.Std(),
		MaxDeadline:         call.MaxDeadline,
	}, f, endpoint.NewClient(clients), log)
}

// newKeeper returns the keeper of this instance's leases. A right is the exclusive,
// leased permission to send orders to a worker or to run the calls of a shard of
// keys; own handles the rights to workers.
func newKeeper(s settings.Settings, f *fleet.Fleet, sender lease.Sender, own *owner.Owner, log zerolog.Logger) (*lease.Keeper, error) {
	self := lease.NewIncarnation(s.Instance)
	timing := ownership.DefaultConfig(lease.Ordinal(self))
	timing.TTL = s.LeaseTerm.Std()
	timing.ListLag = s.LeaseListLag.Std()
	timing.SoloTTL = s.LeaseAloneTerm.Std()
	keeper, err := lease.NewKeeper(lease.Config{
		Lease:       timing,
		RenewEvery:  s.LeaseTerm.Std() / lease.RenewalsPerLease,
		Concurrency: s.ControlConcurrency,
	}, self, f, sender, log)
	if err != nil {
		return nil, err
	}
	keeper.Handle(string(ownership.WorkerRight("")), own)
	own.SetFenceObserver(keeper)
	return keeper, nil
}

// handOverRights waits until every right is handed over to another instance. The
// leases of rights that aren't within two lease durations expire.
func (d *Daemon) handOverRights() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*d.settings.LeaseTerm.Std())
	defer cancel()
	if err := d.keeper.AwaitHandOver(ctx); err != nil {
		d.log.Warn().Err(err).Str("event", "hand_over_incomplete").Send()
	}
}
