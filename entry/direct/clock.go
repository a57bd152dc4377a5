package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// now is the time since the machine's boot, suspended time included, so that
// leases and deadlines end also while the machine is suspended.
func now() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart stands in where the boot clock can't be read.
var processStart = time.Now()
