package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bulrushwick/bulrushwick/platform"
	standins "github.com/bulrushwick/bulrushwick/platform/standin"
	"github.com/bulrushwick/bulrushwick/standin"
)

// deployment has the instances and the stand-ins that they use.
type deployment struct {
	store     *standins.Store
	server    *http.Server
	workers   []*standins.Worker
	links     []*standin.Link
	listeners []net.Listener
	instances []*instance
	seeds     []string
	version   atomic.Int64
}

// deploy starts the stand-ins and the processes. After an error the deployment, if
// not nil, must still be closed.
func deploy(config Config, dir string, responder *workerResponder) (*deployment, error) {
	d := &deployment{store: standins.NewStore()}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.server = &http.Server{Handler: d.store, ReadHeaderTimeout: time.Second}
	go func() { _ = d.server.Serve(listener) }() // returns after close
	for n := range modelWorkers + plainWorkers {
		if err := d.addWorker(n, responder); err != nil {
			return d, err
		}
	}
	d.publish()
	run := runs.Add(1)
	for n := range config.Instances {
		i, err := newInstance(config.Program, dir, instanceHost(run, n), n, listener.Addr().String())
		if err != nil {
			return d, err
		}
		d.instances = append(d.instances, i)
	}
	for _, i := range d.instances[:3] {
		d.seeds = append(d.seeds, i.settings.ControlAddress)
	}
	for _, i := range d.instances {
		if err := i.writeSettings(d.seeds); err != nil {
			return d, err
		}
		if err := i.start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *deployment) addWorker(n int, responder *workerResponder) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	id, service := fmt.Sprintf("m%d", n), standins.ModelService
	if n >= modelWorkers {
		id, service = fmt.Sprintf("p%d", n), standins.PlainService
	}
	w := standins.StartWorker(listener, id, service)
	w.Capacity = adapterSlots
	w.SetResponder(func(conn net.Conn, r standins.ReceivedRequest) bool { return responder.respond(w, conn, r) })
	link, err := standin.StartLink("127.0.0.1:0", w.Address)
	if err != nil {
		return err
	}
	d.workers, d.links = append(d.workers, w), append(d.links, link)
	d.store.PutWorker(id, w.Entry("ready", string(rune('a'+n%2)), link.Address()))
	return nil
}

// publish writes the next configuration. Each version adds a route and keeps the
// earlier ones, so that a rollback to an older version is visible to callers.
func (d *deployment) publish() {
	version := int(d.version.Add(1))
	var marks []string
	for v := 1; v <= version; v++ {
		marks = append(marks, versionPrefix(v))
	}
	d.store.PutConfiguration(standins.WithVersion(version, marks...))
}

// newest returns the version that was published last.
func (d *deployment) newest() int { return int(d.version.Load()) }

// versionPrefix returns the path prefix of the route that a version added.
func versionPrefix(version int) string { return fmt.Sprintf("/v%d/", version) }

// awaitReady waits until every instance reports that it is ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for _, i := range d.instances {
		for {
			response, err := http.Get("http://" + i.settings.ReadinessAddress + platform.Codec{}.ReadinessPath())
			if err == nil {
				_ = response.Body.Close()
			}
			if err == nil && response.StatusCode == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %s is not ready: %w", i.settings.Instance, ctx.Err())
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// close stops every process and stand-in.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.close()
	}
	for _, link := range d.links {
		_ = link.Close() // the error does not matter at shutdown
	}
	for _, listener := range d.listeners {
		_ = listener.Close()
	}
	_ = d.server.Close()
}
