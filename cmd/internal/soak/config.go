package soak

import "time"

// Config sets one run.
type Config struct {
	// Program is the path of the bulrushwick binary.
	Program string
	// Seed decides faults and requests.
	Seed uint64
	// Instances is the number of processes.
	Instances int
	// Callers is the number of callers, each on kept connections.
	Callers int
	// Faults is how long faults strike. Longer lets more of them overlap.
	Faults time.Duration
	// Heal bounds the time after the last fault until everything is served.
	Heal time.Duration
}

// DefaultConfig returns a run of about a minute.
func DefaultConfig(program string, seed uint64) Config {
	return Config{
		Program: program, Seed: seed, Instances: 6, Callers: 8,
		Faults: 25 * time.Second,
		Heal:   40 * time.Second, // instances that can't reach a seed settle after 20 s
	}
}

// The shape of the deployment.
const (
	modelWorkers = 4
	plainWorkers = 3
	adapters     = 7
	// slots is the number of adapters that a model worker holds.
	slots = 2
	// turnGap is the least time between orders of two instances to one worker.
	turnGap = 3 * time.Second
	// grace is the time between the signal to stop and the kill.
	grace = 4 * time.Second
)
