// Package demo runs both deployments in one process over loopback and sends
// requests of every kind.
package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/bulrushwick/bulrushwick/cmd/internal/deployment"
	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/daemon"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	"github.com/bulrushwick/bulrushwick/standin"
)

// anyPort takes a free port on loopback.
const anyPort = "127.0.0.1:0"

// tokenTime is the demo engines' time between tokens.
const tokenTime = 2 * time.Millisecond

// Cluster is a whole system in one process.
type Cluster struct {
	Platform *standin.Platform
	Store    *standin.Store
	Engines  []*standin.Engine
	Services []*standin.Service
	// Callers are the addresses of the entry instances.
	Callers []string

	daemons []*daemon.Daemon
	stop    context.CancelFunc
	done    chan error
}

// Start starts the stand-ins of the deployments and one entry instance in each
// of their data centres: a key's home needs an instance of its own.
func Start(log zerolog.Logger, specs ...deployment.Spec) (*Cluster, error) {
	c := &Cluster{}
	var err error
	if c.Platform, err = standin.StartPlatform(anyPort); err != nil {
		return nil, err
	}
	if c.Store, err = standin.StartStore(anyPort, standin.DefaultStoreConfig()); err != nil {
		return nil, err
	}
	if err := c.publish(specs); err != nil {
		return nil, err
	}
	var dataCentres []string
	for _, spec := range specs {
		dataCentres = append(dataCentres, spec.DataCentres()...)
	}
	return c, c.startEntries(log, dataCentres)
}

func (c *Cluster) publish(specs []deployment.Spec) error {
	chunks := make([]table.Chunk, 0, len(specs))
	for _, spec := range specs {
		workers, err := c.startEngines(spec)
		if err != nil {
			return err
		}
		services, err := c.startServices(spec)
		if err != nil {
			return err
		}
		chunks = append(chunks, spec.Chunk(workers, services))
	}
	snapshot, err := deployment.Snapshot(1, chunks...)
	if err != nil {
		return err
	}
	if err := deployment.PublishEndpoints(c.put, []fleet.EndpointState{}); err != nil {
		return err
	}
	return deployment.PublishTables(c.put, snapshot)
}

func (c *Cluster) put(key string, value []byte) error {
	c.Platform.Put(key, value)
	return nil
}

func (c *Cluster) startEngines(spec deployment.Spec) ([]string, error) {
	addresses := make([]string, spec.Workers)
	for i := range addresses {
		engine, err := standin.StartEngine(anyPort, standin.EngineConfig{
			Slots:        spec.Slots,
			TokenTime:    tokenTime,
			Fencing:      spec.Fencing,
			StoreAddress: c.Store.Address(),
		})
		if err != nil {
			return nil, err
		}
		c.Engines = append(c.Engines, engine)
		addresses[i] = engine.Address()
	}
	return addresses, nil
}

func (c *Cluster) startServices(spec deployment.Spec) ([]string, error) {
	addresses := make([]string, spec.Services)
	for i := range addresses {
		service, err := standin.StartService(anyPort, fmt.Sprintf("%s-%d", spec.ServicePool, i))
		if err != nil {
			return nil, err
		}
		c.Services = append(c.Services, service)
		addresses[i] = service.Address()
	}
	return addresses, nil
}

func (c *Cluster) startEntries(log zerolog.Logger, dataCentres []string) error {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.done = make(chan error, len(dataCentres))
	var instances []member.Instance
	for i, dataCentre := range dataCentres {
		s := settings.Default()
		s.Instance = fmt.Sprintf("entry-%d", i)
		s.DataCentre = dataCentre
		s.CallerAddress, s.PeerAddress, s.ControlAddress = anyPort, anyPort, anyPort
		s.PlatformAddress = c.Platform.Address()
		d, err := daemon.New(s, log)
		if err != nil {
			return err
		}
		addresses, err := d.Listen()
		if err != nil {
			return err
		}
		c.daemons = append(c.daemons, d)
		c.Callers = append(c.Callers, addresses.Callers)
		instances = append(instances, member.Instance{
			Name:           s.Instance,
			DataCentre:     dataCentre,
			PeerAddress:    addresses.Peers,
			ControlAddress: addresses.Control,
			State:          member.Live,
		})
	}
	if err := deployment.PublishInstances(c.put, instances); err != nil {
		return err
	}
	for _, d := range c.daemons {
		go func() { c.done <- d.Run(ctx) }()
	}
	return nil
}

// readyPoll is the interval between looks at the instances' readiness.
const readyPoll = 10 * time.Millisecond

// WaitReady returns when every instance takes requests.
func (c *Cluster) WaitReady(ctx context.Context) error {
	for _, d := range c.daemons {
		for !d.Ready() {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Stop stops the instances gracefully and then the stand-ins.
func (c *Cluster) Stop() error {
	c.stop()
	var first error
	for range c.daemons {
		if err := <-c.done; err != nil && first == nil {
			first = err
		}
	}
	for _, engine := range c.Engines {
		_ = engine.Close()
	}
	for _, service := range c.Services {
		_ = service.Close()
	}
	_ = c.Store.Close()
	_ = c.Platform.Close()
	return first
}
