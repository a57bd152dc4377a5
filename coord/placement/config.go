package placement

import "github.com/bulrushwick/bulrushwick/coord/table"

// Config holds the settings of a Picker.
type Config struct {
	// Overload is the number of requests at a worker, in batches, from which new
	// work of a rank goes elsewhere even when that costs a load. Lower spreads a
	// popular adapter sooner and costs loads. Default: 1.5 for urgent, 2 for normal
	// and 4 for patient.
	Overload [table.RankCount]float64
	// CostWeight is what one use of the adapter to be unloaded counts against the
	// rendezvous order of an adapter's homes, whose scores are from 0 to 1. Higher
	// uses the slots of a region better and loads an adapter twice more often when
	// instances see different reports. Default: 0.5.
	CostWeight float64
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{Overload: [table.RankCount]float64{1.5, 2, 4}, CostWeight: 0.5}
}
