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

// Stamp returns the stamp of the table in force, which is zero before the first one
// is installed.
func (f *Fleet) Stamp() table.Stamp {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.register.Stamp()
}

// OnPeerHolds sets the function that is called when a peer holds a table above the
// one in force. It must be called before the first heartbeat.
func (f *Fleet) OnPeerHolds(onPeerHolds func(peer string, stamp table.Stamp)) {
	f.onPeerHolds = onPeerHolds
}

// PeerHolds passes on that a peer holds the table with that stamp, unless the table
// in force is at that stamp or above.
func (f *Fleet) PeerHolds(peer string, stamp table.Stamp) {
	if f.onPeerHolds != nil && stamp.Above(f.Stamp()) {
		f.onPeerHolds(peer, stamp)
	}
}

// AwaitStamp waits until the table in force is at stamp or above. It returns the
// cause of ctx if ctx ends first.
func (f *Fleet) AwaitStamp(ctx context.Context, stamp table.Stamp) error {
	for {
		f.mu.RLock()
		isBehind, nextInstall := stamp.Above(f.register.Stamp()), f.nextInstall
		f.mu.RUnlock()
		if !isBehind {
			return nil
		}
		select {
		case <-nextInstall:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
