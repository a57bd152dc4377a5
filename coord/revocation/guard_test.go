package revocation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/revocation"
)

const second = time.Second

// TestAStrictGuardNeedsARecentConfirmation guards against a confirmation that counts from
// when it arrived, or that an older one replaces.
func TestAStrictGuardNeedsARecentConfirmation(t *testing.T) {
	g := revocation.NewGuard(revocation.Config{Strict: true, MaxAge: 5 * second}, 0)
	require.False(t, g.Current(0))
	require.True(t, g.Ask(second))
	require.False(t, g.Ask(second+time.Millisecond), "one question at a time")
	g.Confirm(10 * second)
	g.Confirm(8 * second)
	require.False(t, g.Ask(11*second))
	require.True(t, g.Ask(12*second))
	require.True(t, g.Current(15*second-1))
	require.False(t, g.Current(15*second))
	lenient := revocation.NewGuard(revocation.Config{MaxAge: 5 * second}, 0)
	require.True(t, lenient.Current(100*second))
	require.False(t, lenient.Ask(100*second))
}

// TestAStartAsksStoreAndPeers guards against an instance that begins with a version that
// others have replaced, and against one that waits for others that do not respond.
func TestAStartAsksStoreAndPeers(t *testing.T) {
	for name, c := range map[string]struct {
		peers, store, heard bool
		version             uint64
		at, behind          time.Duration
		want                bool
	}{
		"nothing heard":               {peers: true, at: second},
		"store only":                  {peers: true, store: true, at: second},
		"peer only":                   {peers: true, heard: true, version: 4, at: second},
		"peer without one, early":     {peers: true, store: true, heard: true, at: 400 * time.Millisecond},
		"peer without one":            {peers: true, store: true, heard: true, at: 600 * time.Millisecond, want: true},
		"peer without one, no store":  {peers: true, heard: true, at: second},
		"peer without one, then one":  {peers: true, store: true, heard: true, at: second, behind: 1},
		"both":                        {peers: true, store: true, heard: true, version: 4, at: second, want: true},
		"both, one is newer":          {peers: true, store: true, heard: true, version: 5, at: second, behind: 1},
		"the newer one can't be used": {peers: true, store: true, heard: true, version: 5, at: 5 * second, behind: 4 * second, want: true},
		"no other instance":           {store: true, at: 0, want: true},
		"nobody responds":             {peers: true, at: 2 * second, want: true},
	} {
		g := revocation.NewGuard(revocation.Config{HasPeers: c.peers, LagLimit: 4 * second}, 0)
		if c.store {
			g.StoreConfirmed(0)
		}
		if c.heard {
			g.HearPeer(c.version)
		}
		require.Equal(t, c.want, g.Started(c.at, c.behind), name)
		if c.want {
			require.True(t, g.Started(c.at, 1), "%s: a start is not taken back", name)
		}
	}
}
