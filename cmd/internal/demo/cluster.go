// Package demo runs both deployments with stand-ins of the systems around them in
// one process over loopback and sends one request of each kind.
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

// anyPort listens on a free port of the loopback interface.
const anyPort = "127.0.0.1:0"

// leaseTTL is short so that the instances become ready soon.
const leaseTTL = time.Second

// tokenTime is the time between two tokens of an engine's response.
const tokenTime = 2 * time.Millisecond

// Cluster is a running system in one process: the stand-ins and the entry
// instances of one or more deployments.
type Cluster struct {
	Platform *standin.Platform
	Store    *standin.Store
	Engines  []*standin.Engine
	Services []*standin.Service
	// EntryAddresses are the addresses at which the entry instances accept requests.
	EntryAddresses []string

	mapAddress AddressMapper
	daemons    []*daemon.Daemon
	cancel     context.CancelFunc
	done       chan error
}

// Hop is the kind of a connection that an entry instance opens, by what it
// connects to.
type Hop string

// Hops of a cluster.
const (
	EngineHop   Hop = "engine"
	ServiceHop  Hop = "service"
	PeerHop     Hop = "peer"
	ControlHop  Hop = "control"
	PlatformHop Hop = "platform"
)

// AddressMapper returns the address that the instances use instead of address. A
// test can return the address of a link that injects faults.
type AddressMapper func(hop Hop, address string) (string, error)

// directAddress leaves addresses unchanged.
func directAddress(_ Hop, address string) (string, error) { return address, nil }

// Start starts the stand-ins of the deployments and one entry instance in each of
// their data centres, because the home of a key needs an instance of its own. The
// caller ends the cluster with Stop.
func Start(log zerolog.Logger, specs ...deployment.Spec) (*Cluster, error) {
	return StartWithLinks(log, directAddress, specs...)
}

// StartWithLinks is like Start, but the instances connect to the addresses that
// mapAddress returns, for example those of links between them and their peers.
func StartWithLinks(log zerolog.Logger, mapAddress AddressMapper, specs ...deployment.Spec) (*Cluster, error) {
	c := &Cluster{mapAddress: mapAddress}
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

// publish starts the engines and services of the deployments and publishes the
// tables that list them as revision 1.
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

// startEngines starts the engines of a deployment and returns their mapped
// addresses.
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
		if addresses[i], err = c.mapAddress(EngineHop, engine.Address()); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// startServices starts the services of a deployment and returns their mapped
// addresses.
func (c *Cluster) startServices(spec deployment.Spec) ([]string, error) {
	addresses := make([]string, spec.Services)
	for i := range addresses {
		service, err := standin.StartService(anyPort, fmt.Sprintf("%s-%d", spec.ServicePool, i))
		if err != nil {
			return nil, err
		}
		c.Services = append(c.Services, service)
		if addresses[i], err = c.mapAddress(ServiceHop, service.Address()); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

// startEntries builds all instances, publishes the list of them, and then runs
// them.
func (c *Cluster) startEntries(log zerolog.Logger, dataCentres []string) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done = make(chan error, len(dataCentres))
	platform, err := c.mapAddress(PlatformHop, c.Platform.Address())
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

// startEntry builds one instance, opens its listeners and returns its entry in
// the published list of instances.
func (c *Cluster) startEntry(log zerolog.Logger, name, dataCentre, platform string) (member.Instance, error) {
	s := settings.Default()
	s.StoreLoadsPerSecond = standin.DefaultStoreConfig().LoadsPerSecond
	s.Instance = name
	s.DataCentre = dataCentre
	s.CallerAddress, s.PeerAddress, s.ControlAddress = anyPort, anyPort, anyPort
	s.PlatformAddress = platform
	s.LeaseTerm = settings.Duration(leaseTTL)
	s.LeaseListLag = settings.Duration(leaseTTL / 4)
	s.LeaseAloneTerm = settings.Duration(leaseTTL / 2)
	d, err := daemon.New(s, log)
	if err != nil {
		return member.Instance{}, err
	}
	addresses, err := d.Listen()
	if err != nil {
		return member.Instance{}, err
	}
	c.daemons = append(c.daemons, d)
	c.EntryAddresses = append(c.EntryAddresses, addresses.Callers)
	instance := member.Instance{Name: name, DataCentre: dataCentre, State: member.Live}
	if instance.PeerAddress, err = c.mapAddress(PeerHop, addresses.Peers); err != nil {
		return member.Instance{}, err
	}
	instance.ControlAddress, err = c.mapAddress(ControlHop, addresses.Control)
	return instance, err
}

// readyPoll is the interval between two checks of an instance's readiness.
const readyPoll = 10 * time.Millisecond

// WaitReady waits until every instance accepts requests, or returns the error of
// ctx.
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

// Stop stops the instances gracefully and then the stand-ins. It returns the first
// error of an instance.
func (c *Cluster) Stop() error {
	c.cancel()
	var firstErr error
	for range c.daemons {
		if err := <-c.done; err != nil && firstErr == nil {
			firstErr = err
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
	return firstErr
}
