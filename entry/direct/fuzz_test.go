package direct

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// FuzzPeerUpdate feeds the bytes of a peer's update, and of its listing, to an instance
// and has it tell others about them.
func FuzzPeerUpdate(f *testing.F) {
	seed, err := proto.Marshal(&clusterpb.News{
		ConfigVersion: 3, IntervalNs: 1 << 62, DirectoryDigest: 7, ReadsStore: true,
		Uses:     []*clusterpb.WorkerUse{{Worker: "w", Running: 1 << 31, HoldOffMs: 1 << 31, Adapters: []*clusterpb.AdapterUse{{Adapter: "a", Running: 4}}}},
		Slots:    []*clusterpb.WorkerSlots{{Worker: "w", Born: -1, Slots: []*clusterpb.Slot{{Adapter: "a"}}}},
		Workers:  []*clusterpb.WorkerEntry{{Id: "w", Address: "127.0.0.1:1", Service: "s", DataCentre: "a", Slots: 8, Leaving: true}, {Id: "x", Gone: true}},
		Versions: []*clusterpb.AdapterVersion{{Model: "m", Adapter: "a", Version: -1}},
		Crashes:  []*clusterpb.WorkerCrash{{Worker: "w", Parts: []*clusterpb.CrashPart{{Part: 1, Depth: 1 << 31}}}},
	})
	require.NoError(f, err)
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		var update clusterpb.News
		var listing clusterpb.FetchStateResponse
		i, err := New(DefaultSettings(), Ports{Codec: lengthCodec{}, Directory: &emptyDirectory{}}, decision.New(decision.DefaultConfig(), io.Discard, "e0"))
		require.NoError(t, err)
		if proto.Unmarshal(data, &update) == nil {
			update.DirectoryDigest = i.fleet.directoryDigest() // no fetch from a peer that does not exist
			i.ApplyUpdate(now(), "10.0.0.2:1", &update)
		}
		if proto.Unmarshal(data, &listing) == nil {
			i.acceptCompressedConfig(listing.GetConfig(), "10.0.0.2:1")
			i.replaceListing(&listing)
		}
		i.HeartbeatUpdate(true)
		i.ReplyUpdate(now(), "10.0.0.3:1")
		for _, w := range i.fleet.workers.all() {
			require.NoError(t, w.Validate())
		}
	})
}
