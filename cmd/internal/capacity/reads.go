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

// shortWatch stands for the watch's wait, so that a measurement sees many.
const shortWatch = 50 * time.Millisecond

// watchesSeen is the number of waits that a measurement lasts.
const watchesSeen = 20

// readLines counts the calls by which idle instances watch the published lists.
func (s Sizes) readLines() ([]Line, error) {
	line := Line{
		Role: "membership", Cost: "watch the published lists", Kind: Reads,
		Driver: "instances", Target: targetNodes, PerSecond: 1, Control: true,
	}
	line, err := line.measure(s.readers, countReads)
	return []Line{line}, err
}

// countReads returns the calls a second by that many instances, at the wait of
// the default settings.
func countReads(instances int) (float64, error) {
	stand, err := standin.StartPlatform("127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = stand.Close() }()
	stand.Put(platform.InstancesKey, []byte("[]"))
	stand.Put(platform.EndpointsKey, []byte("[]"))
	ctx, cancel := context.WithTimeout(context.Background(), watchesSeen*shortWatch)
	defer cancel()
	started := time.Now()
	for i := range instances {
		client := platform.NewClient(stand.Address())
		f := fleet.New(instanceName(i), dataCentreName(0))
		go platform.NewReader(client, f, shortWatch, zerolog.Nop()).Run(ctx)
	}
	<-ctx.Done()
	waits := time.Since(started).Seconds() / shortWatch.Seconds()
	return float64(stand.Calls()) / waits / settings.Default().WatchWait.Std().Seconds(), nil
}
