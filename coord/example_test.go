package coord_test

import (
	"fmt"
	"time"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/ownership"
	"github.com/bulrushwick/bulrushwick/coord/table"
)

// published is a configuration of one chunk.
const published = `{
  "regions": [{"name": "ee-north", "dataCentres": ["tln-a"]}],
  "pools": [{
    "name": "tolk-models", "kind": "engine", "slots": 8, "batch": 16,
    "endpoints": [{"name": "worker-1", "address": "10.0.1.1:8000", "dataCentre": "tln-a"}]
  }],
  "routes": [{"name": "labels", "pool": "tolk-models", "adapterPrefix": "tolk-"}],
  "adapters": [{"name": "tolk-0001", "pool": "tolk-models", "versions": ["v1"]}]
}`

// Example decides which instance sends the orders to a request's worker, and
// decides again after that instance has gone silent.
func Example() {
	data := []byte(published)
	accepted, err := table.Build(table.Snapshot{
		Manifest: table.Manifest{Revision: 7, Chunks: []table.ChunkRef{{Key: "chunk", Digest: table.Digest(data)}}},
		Chunks:   map[string][]byte{"chunk": data},
	})
	if err != nil {
		fmt.Println(err) // every finding, with its place
		return
	}
	route, _ := accepted.EngineRoute("tolk-0001")
	worker := accepted.Pools[route.Pool].Endpoints[0]
	fmt.Println("route", route.Name, "pool", route.Pool, "revision", accepted.Revision)

	members := member.NewList("entry-a", member.DefaultConfig())
	members.SetPublished([]member.Instance{
		{Name: "entry-a", DataCentre: "tln-a", State: member.Live},
		{Name: "entry-b", DataCentre: "tln-a", State: member.Live},
		{Name: "entry-c", DataCentre: "tln-a", State: member.Live},
	})
	members.RecordHeartbeat(0, "entry-b", false)
	members.RecordHeartbeat(0, "entry-c", false)
	for _, now := range []time.Duration{time.Second, 10 * time.Second} {
		var names []string
		for _, instance := range members.Usable(now) {
			names = append(names, instance.Name)
		}
		fmt.Println(now, "usable", names, "owner", ownership.Rank(worker.Name, names)[0])
	}
	// Output:
	// route labels pool tolk-models revision 7
	// 1s usable [entry-a entry-b entry-c] owner entry-c
	// 10s usable [entry-a] owner entry-a
}
