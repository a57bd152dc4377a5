package placement

import "github.com/bulrushwick/bulrushwick/coord/table"

// Config holds the settings of a Picker.
type Config struct {
	// Overload is the number of requests at a worker, in batches, from which new
	// work of a rank goes elsewhere even when that costs a load. Lower spreads a
	// popular adapter sooner and costs loads. Default: 1.5 for urgent, 2 for normal
	// and 4 for patient.
	Overload [table.RankCount]float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Overload: [table.RankCount]float64{1.5, 2, 4}}
}
