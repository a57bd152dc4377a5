package replica_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/coord/table/replica"
)

func Example() {
	r := replica.New(replica.DefaultConfig("entry-0", "dc-a", rand.New(rand.NewPCG(1, 1))))
	alone := replica.Members{Peers: []replica.Peer{{Name: "entry-0", DataCentre: "dc-a"}}}
	watch := r.Step(0, alone)[0].(replica.WatchManifest)

	chunk := []byte(`{"routes": [], "pools": []}`)
	m := table.Manifest{Revision: 7, Chunks: []table.ChunkRef{{Key: "c", Digest: table.Digest(chunk)}}}
	read := r.Step(time.Millisecond, replica.ManifestRead{Call: watch.Call, Data: m.Encode(), Index: 1})[0].(replica.ReadChunk)
	for _, action := range r.Step(2*time.Millisecond, replica.ChunkRead{Call: read.Call, Data: chunk}) {
		if install, ok := action.(replica.Install); ok {
			fmt.Println("in force:", install.Table.Revision)
		}
	}
	// Output: in force: 7
}
