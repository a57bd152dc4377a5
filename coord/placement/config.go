package placement

import "github.com/bulrushwick/bulrushwick/coord/table"

// Config holds the settings of a Picker.
type Config struct {
	// Overload is the number of requests at a worker, by rank and as a multiple of
	// the batch size, from which new requests of the rank go to another worker even
	// if that needs a load. Lower spreads a popular adapter sooner and needs more
	// loads. Default: 1.5 for urgent, 2 for normal and 4 for patient.
	Overload [table.RankCount]float64
	// CostWeight is the weight of one unit of Candidate.LoadCost against the
	// rendezvous score of Home, which is from 0 to 1. Higher uses the slots of a
	// region better, and more often loads an adapter on two workers when instances
	// have different reports of the workers. Default: 0.5.
	CostWeight float64
}

// DefaultConfig returns the settings with their defaults.
func DefaultConfig() Config {
	return Config{Overload: [table.RankCount]float64{1.5, 2, 4}, CostWeight: 0.5}
}
