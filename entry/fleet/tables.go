package fleet

import (
	"context"
	"slices"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// Usable returns the instances that may be given new work.
func (f *Fleet) Usable() []member.Instance {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Clone(f.usable)
}

// Stamp returns the stamp of the table in force; it is zero before the first.
func (f *Fleet) Stamp() table.Stamp {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Stamp()
}

// OnAnnounced names who learns of the tables that peers hold. It must be called
// before the first heartbeat.
func (f *Fleet) OnAnnounced(learn func(peer string, stamp table.Stamp)) { f.announced = learn }

// Announce says that a peer holds the table with that stamp.
func (f *Fleet) Announce(peer string, stamp table.Stamp) {
	if f.announced != nil && stamp.Above(f.Stamp()) {
		f.announced(peer, stamp)
	}
}

// AwaitStamp returns when the table in force is at stamp or above, or with the
// error of ctx.
func (f *Fleet) AwaitStamp(ctx context.Context, stamp table.Stamp) error {
	for {
		f.mu.RLock()
		behind, installed := stamp.Above(f.register.Stamp()), f.installed
		f.mu.RUnlock()
		if !behind {
			return nil
		}
		select {
		case <-installed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
