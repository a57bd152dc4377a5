package capacity

// Sizes that the system is designed for.
const (
	targetInstances      = 970
	targetWorkers        = 7500
	targetAdapters       = 43000
	targetBaseModels     = 4 // with one pool each
	targetRegions        = 6
	targetDataCentres    = 12
	targetLocalInstances = 81 // instances of the largest data centre
	requestsPerSecond    = 100000
)

// Rates at the target size.
const (
	secondsPerDay = 24 * 60 * 60
	// tableChangesPerSecond is the rate of configuration changes.
	tableChangesPerSecond = 34000.0 / secondsPerDay
	// memberChangesPerSecond is the rate of changes of the member list: a removal
	// and an addition for each of 140 failures and 550 replacements a day.
	memberChangesPerSecond = 2 * (140.0 + 550.0) / secondsPerDay
	// joinsPerSecond is the rate of starts of one instance.
	joinsPerSecond = (140.0 + 550.0) / targetInstances / secondsPerDay
	// hourlyWakeShare is the share of the adapters that become active or idle in an
	// hour.
	hourlyWakeShare = 0.078
	// recordChangesPerSecond is the rate at which workers of a region change their
	// resident adapters: two loads for each adapter that becomes active.
	recordChangesPerSecond = 2 * targetAdapters * hourlyWakeShare / 3600 / targetRegions
	// heartbeatsPerSecond is the number of heartbeat intervals in a second.
	heartbeatsPerSecond = 2.0
	// ticksPerSecond is the rate at which an owner advances the time of its workers.
	ticksPerSecond = 50.0
	// workersPerInstance is the mean number of workers that an instance owns.
	workersPerInstance = float64(targetWorkers) / targetInstances
)

// Limits on the control costs of one instance.
const (
	maxProcessorCores = 0.039
	maxBytesPerSecond = 8 << 10
	maxMemoryBytes    = 64 << 20
	maxReadsPerSecond = 2000 // calls to the platform by all instances together
)
