package soak

import "time"

// Config configures one run.
type Config struct {
	// Program is the path of the bulrushwick binary.
	Program string
	// Seed seeds the random faults and requests.
	Seed uint64
	// Instances is the number of processes.
	Instances int
	// Callers is the number of concurrent callers, each with keep-alive connections.
	Callers int
	// FaultDuration is how long faults are injected. In a longer run more of them
	// overlap.
	FaultDuration time.Duration
	// RecoveryTimeout is the time limit, after the last fault, until everything
	// is served.
	RecoveryTimeout time.Duration
}

// DefaultConfig returns the configuration of a run of about a minute.
func DefaultConfig(program string, seed uint64) Config {
	return Config{
		Program: program, Seed: seed, Instances: 6, Callers: 8,
		FaultDuration:   25 * time.Second,
		RecoveryTimeout: 40 * time.Second, // instances that can't reach a seed take 20 s to settle
	}
}

// Size and timing of the deployment.
const (
	modelWorkers = 4
	plainWorkers = 3
	adapters     = 7
	// adapterSlots is the number of adapter slots of a model worker.
	adapterSlots = 2
	// turnGap is the minimum time between orders of different instances to the same
	// worker.
	turnGap = 3 * time.Second
	// stopGrace is how long a stopping instance finishes requests in progress.
	stopGrace = 4 * time.Second
)
