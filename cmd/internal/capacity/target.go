package capacity

// Sizes that the system is built towards.
const (
	targetNodes       = 970
	targetWorkers     = 7500
	targetAdapters    = 43000
	targetBaseModels  = 4 // with a pool each
	targetRegions     = 6
	targetDataCentres = 12
	targetLocal       = 81 // instances of the largest data centre
	requestsPerSecond = 100000
)

// Rates at that size.
const (
	secondsPerDay = 24 * 60 * 60
	// tableChanges is the number of configuration changes a second.
	tableChanges = 34000.0 / secondsPerDay
	// memberChanges counts two changes of the list, gone and back, for each of
	// 140 failures and 550 replacements a day.
	memberChanges = 2 * (140.0 + 550.0) / secondsPerDay
	// joins is how often an instance starts, a second.
	joins = (140.0 + 550.0) / targetNodes / secondsPerDay
	// wakeShare is the part of the adapters that wake up or fall idle in an hour.
	wakeShare = 0.078
	// recordChanges is the number of workers of a region that change what they
	// hold, a second: two loads for each adapter that wakes up.
	recordChanges = 2 * targetAdapters * wakeShare / 3600 / targetRegions
	// heartbeats is the number of heartbeat intervals a second.
	heartbeats = 2.0
	// ticks is the number of times a second that an owner lets time pass.
	ticks = 50.0
	// workersPerNode is the number of workers that an instance owns.
	workersPerNode = float64(targetWorkers) / targetNodes
)

// Bounds for control, a node.
const (
	boundProcessor = 0.039    // of a core
	boundBytes     = 8 << 10  // a second
	boundMemory    = 64 << 20 // bytes
	boundReads     = 2000     // of the platform a second, by all nodes together
)
