package table_test

import (
	"fmt"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

func Example() {
	whole := table.Chunk{
		Routes:   []table.Route{{Name: "completions", Pool: "models"}},
		Pools:    []table.Pool{{Name: "models", Kind: table.Engine, Slots: 8, Batch: 16}},
		Adapters: []table.Adapter{{Name: "tolk-1", Pool: "models", Versions: []string{"v1"}}},
	}
	published, _ := table.Split(1, whole, table.DefaultSplitConfig("t/"))
	built, err := table.Build(published)
	fmt.Println(built.HasVersion("models", table.AdapterVersion{Adapter: "tolk-1", Version: "v1"}), err)

	var register table.Register
	fmt.Println(register.Offer(built), register.Offer(built), register.Revision())
	// Output:
	// true <nil>
	// true false 1
}
