package capacity

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/platform"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/standin"
)

// watchWait is the wait time of a watch, shorter than the default so that a
// measurement covers many watches.
const watchWait = 50 * time.Millisecond

// watchWaits is the length of a measurement, in multiples of watchWait.
const watchWaits = 20

// readLines measures the platform calls of idle instances that watch the published
// lists.
func (s Sizes) readLines() ([]Line, error) {
	line := Line{
		Role: "membership", Cost: "watch the published lists", Kind: Reads,
		Driver: "instances", Target: targetInstances, PerSecond: 1, Control: true,
	}
	line, err := line.measure(s.readers, readsPerSecond)
	return []Line{line}, err
}

// readsPerSecond returns the calls per second by that many instances, scaled to the
// watch wait of the default settings.
func readsPerSecond(instances int) (float64, error) {
	standIn, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = standIn.Close() }()
	standIn.Put(platform.InstancesKey, []byte("[]"))
	standIn.Put(platform.EndpointsKey, []byte("[]"))
	ctx, cancel := context.WithTimeout(context.Background(), watchWaits*watchWait)
	defer cancel()
	started := time.Now()
	for i := range instances {
		client := platform.NewClient(standIn.Address())
		f := fleet.New(instanceName(i), dataCentreName(0))
		go platform.NewReader(client, f, watchWait, zerolog.Nop()).Run(ctx)
	}
	<-ctx.Done()
	waits := time.Since(started).Seconds() / watchWait.Seconds()
	return float64(standIn.Calls()) / waits / settings.Default().WatchWait.Std().Seconds(), nil
}
