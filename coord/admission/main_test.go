package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// checkSeed is the default seed of the rapid checks; -rapid.seed overrides it.
const checkSeed = "20261204"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", checkSeed); err != nil {
		panic(err)
	}
	flag.Parse()
	fmt.Println("seed", flag.Lookup("rapid.seed").Value)
	os.Exit(m.Run())
}
