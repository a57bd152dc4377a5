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

// leaseTerm is short, so that the demo begins soon.
const leaseTerm = time.Second

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

	through Through
	daemons []*daemon.Daemon
	stop    context.CancelFunc
	done    chan error
}

// Hop is one kind of connection between two parts.
type Hop string

// The hops of a cluster.
const (
	EngineHop   Hop = "engine"
	ServiceHop  Hop = "service"
	PeerHop     Hop = "peer"
	ControlHop  Hop = "control"
	PlatformHop Hop = "platform"
)

// Through returns the address by which the instances reach address, so that a
// test can put a faulty link between.
type Through func(hop Hop, address string) (string, error)

func direct(_ Hop, address string) (string, error) { return address, nil }

// Start starts the stand-ins of the deployments and one entry instance in each
// of their data centres: a key's home needs an instance of its own.
func Start(log zerolog.Logger, specs ...deployment.Spec) (*Cluster, error) {
	return StartThrough(log, direct, specs...)
}

// StartThrough is Start with the instances' connections led through links.
func StartThrough(log zerolog.Logger, through Through, specs ...deployment.Spec) (*Cluster, error) {
	c := &Cluster{through: through}
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
		if addresses[i], err = c.through(EngineHop, engine.Address()); err != nil {
			return nil, err
		}
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
		if addresses[i], err = c.through(ServiceHop, service.Address()); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

func (c *Cluster) startEntries(log zerolog.Logger, dataCentres []string) error {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.done = make(chan error, len(dataCentres))
	platform, err := c.through(PlatformHop, c.Platform.Address())
	if err != nil {
		return err
	}
	var instances []member.Instance
	for i, dataCentre := range dataCentres {
		instance, err := c.startEntry(log, fmt.Sprintf("entry-%d", i), dataCentre, platform)
		if err != nil {
			return err
		}
		instances = append(instances, instance)
	}
	if err := deployment.PublishInstances(c.put, instances); err != nil {
		return err
	}
	for _, d := range c.daemons {
		go func() { c.done <- d.Run(ctx) }()
	}
	return nil
}

// startEntry builds one instance and returns it as the platform publishes it.
func (c *Cluster) startEntry(log zerolog.Logger, name, dataCentre, platform string) (member.Instance, error) {
	s := settings.Default()
	s.Instance = name
	s.DataCentre = dataCentre
	s.CallerAddress, s.PeerAddress, s.ControlAddress = anyPort, anyPort, anyPort
	s.PlatformAddress = platform
	s.LeaseTerm = settings.Duration(leaseTerm)
	s.LeaseListLag = settings.Duration(leaseTerm / 4)
	s.LeaseAloneTerm = settings.Duration(leaseTerm / 2)
	d, err := daemon.New(s, log)
	if err != nil {
		return member.Instance{}, err
	}
	addresses, err := d.Listen()
	if err != nil {
		return member.Instance{}, err
	}
	c.daemons = append(c.daemons, d)
	c.Callers = append(c.Callers, addresses.Callers)
	instance := member.Instance{Name: name, DataCentre: dataCentre, State: member.Live}
	if instance.PeerAddress, err = c.through(PeerHop, addresses.Peers); err != nil {
		return member.Instance{}, err
	}
	instance.ControlAddress, err = c.through(ControlHop, addresses.Control)
	return instance, err
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
