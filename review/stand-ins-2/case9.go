package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case stop-slow-reader.
const (
	// slowAnswer is the size of a worker's answer, and slowRate the bytes that a client
	// reads in a second.
	slowAnswer = 260_000
	slowRate   = 20_000
	// slowWindow is the size of the client's receive buffer.
	slowWindow = 4 << 10
	// slowClients is the number of clients.
	slowClients = 3
	// slowBefore is the time from the requests to SIGTERM.
	slowBefore = time.Second
)

// stopSlowReader sends orders whose answers the clients read slowly. With trouble, the
// instance gets SIGTERM a second later.
func stopSlowReader(w *world) error {
	workers, err := w.startWorkers(3, 6, 50*time.Millisecond, slowAnswer)
	if err != nil {
		return err
	}
	if _, err := w.startSystem(3, workers); err != nil {
		return err
	}
	stopped := w.instances[0]
	attempts := make([]*attempt, slowClients)
	var group sync.WaitGroup
	for n := range attempts {
		c, err := dial(w.record, stopped.caller)
		if err != nil {
			return err
		}
		defer c.close()
		if err := c.conn.(*net.TCPConn).SetReadBuffer(slowWindow); err != nil {
			return err
		}
		if attempts[n], err = c.send(http.MethodPost, "/o/1", 2*orderDeadline, "one label"); err != nil {
			return err
		}
		group.Go(func() { c.receive(attempts[n], slowly) })
	}
	time.Sleep(slowBefore)
	stoppedAt, exitedAt := time.Now(), time.Time{}
	if w.trouble {
		stopped.signal(syscall.SIGTERM)
		select {
		case <-stopped.ended:
		case <-time.After(graceS):
			stopped.signal(syscall.SIGKILL)
			<-stopped.ended
		}
		exitedAt = time.Now()
	}
	group.Wait()
	for _, a := range attempts {
		if a.complete && len(a.body) != slowAnswer {
			return fmt.Errorf("the answer to %s has %d bytes and looks complete", a.id, len(a.body))
		}
	}
	return w.judgeLost(attempts, workers, stoppedAt, exitedAt)
}

// slowReader reads rate bytes a second.
type slowReader struct {
	source     io.Reader
	start      time.Time
	read, rate int
}

func slowly(source io.Reader) io.Reader {
	return &slowReader{source: source, start: time.Now(), rate: slowRate}
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Until(r.start.Add(time.Duration(r.read) * time.Second / time.Duration(r.rate))))
	n, err := r.source.Read(p[:min(len(p), 1000)])
	r.read += n
	return n, err
}
