package direct

import (
	"time"

	"golang.org/x/sys/unix"
)

// now returns the time since the machine booted, including time spent
// suspended, so that leases and deadlines also expire during a suspend.
func now() time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

// processStart is the fallback origin if the boot clock can't be read.
var processStart = time.Now()
