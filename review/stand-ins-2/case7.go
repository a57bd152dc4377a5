package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// modelConfiguration adds a service of model workers, with a streaming route.
const modelConfiguration = `{"version":3,"routes":[
 {"name":"reply","hostname":"h.example","prefix":"/s/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":800,"gapTargetMs":300,"priority":1,"service":"lm","attempts":2,"resumable":false,"sessionAffinity":true},
 {"name":"order","hostname":"h.example","prefix":"/o/","routeType":"non_idempotent","timeoutMs":4000,"targetLatencyMs":250,"priority":2,"service":"app","attempts":1}],
 "services":[{"name":"lm","healthPath":"/healthz","maxConnections":670,"engine":{"slots":64,"kvCapacityTokens":147819,"models":[{"name":"m0","weightsMb":34300,"loadS":1.5,"adapters":10,"adapterSizeMb":40}],"weightsMb":35000,"adapterSlots":5,"loadsPerS":30}},
  {"name":"app","healthPath":"/healthz","maxConnections":410}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// Figures of the case slow-readers. The machine is the smallest of hengmao-oil-grown.
const (
	machineMemoryMB, machineCores = 144, 0.144
	// crowd is the number of clients that come at once, and calm their number without the
	// disruption.
	crowd, calm = 440, 40
	// crowdWorkers is the number of workers with a model.
	crowdWorkers = 60
	// crowdRate is how many bytes each of them reads in a second, crowdWindow its buffer.
	crowdRate, crowdWindow = 2000, 4 << 10
	// crowdParts is the number of parts of their prompts, of 16 tokens each.
	crowdParts = 400
	// crowdBody is the size of their bodies.
	crowdBody = 48_000
	// crowdEvents is the number of events of a stream.
	crowdEvents = 6000
	// crowdTime is how long the crowd is played.
	crowdTime = 13 * time.Second
	// crowdDeadline is the deadline of its requests.
	crowdDeadline = 14 * time.Second
	// ordinaryClients send orders all the while, on kept connections.
	ordinaryClients  = 12
	ordinaryWork     = 1500 * time.Millisecond
	ordinaryDeadline = 4 * time.Second
)

// slowReaders plays clients whose requests are within the limits and who read their streams
// slowly. With trouble many come at once. The platform kills a process that exceeds its
// memory.
func slowReaders(w *world) error {
	var workers, orders []*worker
	for n := range crowdWorkers {
		started, err := startWorker(w.record, fmt.Sprintf("i-51b02c%02d", n), "lm", 64, stream)
		if err != nil {
			return err
		}
		started.model = "m0"
		workers = append(workers, started)
	}
	for n := range 3 {
		started, err := startWorker(w.record, fmt.Sprintf("i-7f3a91c%d", n), "app", 6, afterWork(ordinaryWork, 800))
		if err != nil {
			return err
		}
		orders = append(orders, started)
	}
	i, err := w.startSmallMachine(append(workers, orders...))
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	attempts := make(map[string]*attempt)
	for n := range ordinaryClients {
		group.Go(func() {
			time.Sleep(time.Duration(n) * ordinaryWork / ordinaryClients)
			sendOrders(w.record, i.caller, ordinaryDeadline, stop, func(a *attempt) {
				mu.Lock()
				defer mu.Unlock()
				attempts[a.id] = a
			})
		})
	}
	time.Sleep(3 * ordinaryWork) // each connection has carried an order before
	clients := calm
	if w.trouble {
		clients = crowd
	}
	for n := range clients {
		group.Go(func() { w.readStream(i, n) })
	}
	killedAt := w.watchMemory(i, time.Now().Add(crowdTime))
	close(stop)
	group.Wait()
	if killedAt.IsZero() {
		return nil
	}
	return w.judgeCut(attempts, orders, killedAt)
}

// startSmallMachine starts one instance with the settings of a small machine.
func (w *world) startSmallMachine(workers []*worker) (*instance, error) {
	s, err := startStore(w.record)
	if err != nil {
		return nil, err
	}
	s.put("op/config", modelConfiguration)
	for _, each := range workers {
		s.put("servers/"+each.id, each.entry("ready"))
	}
	if w.instances, err = newInstances(w.record, w.temporary, s.address, 1); err != nil {
		return nil, err
	}
	i := w.instances[0]
	i.settings["memoryLimitMB"], i.settings["cpuShare"] = machineMemoryMB, machineCores
	if err := i.start(); err != nil {
		return nil, err
	}
	if err := i.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second) // for the rights to order workers
	return i, nil
}

// watchMemory kills the process as the platform does if it exceeds the memory of its
// machine, and returns when it did.
func (w *world) watchMemory(i *instance, until time.Time) time.Time {
	var most memory
	for ; time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		m, err := memoryOf(i.command.Process.Pid)
		if err != nil {
			break // the process has ended
		}
		if m.total() > most.total()+1<<20 {
			most = m
			w.record.printf("%s: %d MB resident, %d MB received and not read", i.name, m.resident>>20, m.unread>>20)
		}
		if m.total() > machineMemoryMB<<20 {
			w.record.print("%s: %d MB resident and %d MB received and not read exceed the %d MB of the machine: killed", i.name, m.resident>>20, m.unread>>20, machineMemoryMB)
			killedAt := time.Now()
			i.signal(syscall.SIGKILL)
			<-i.ended
			return killedAt
		}
	}
	w.record.print("%s: at most %d MB resident and %d MB received and not read, of %d MB", i.name, most.resident>>20, most.unread>>20, machineMemoryMB)
	return time.Time{}
}

// readStream sends one request of the crowd and reads its stream.
func (w *world) readStream(i *instance, n int) {
	c, err := dial(w.record, i.caller)
	if err != nil {
		w.record.printf("client %d: %v", n, err)
		return
	}
	defer c.close()
	if err := c.conn.(*net.TCPConn).SetReadBuffer(crowdWindow); err != nil {
		w.record.printf("client %d: %v", n, err)
		return
	}
	parts := make([]string, crowdParts)
	for p := range parts {
		parts[p] = fmt.Sprintf("%08x:16", 0x5c1e0000+p)
	}
	parts[crowdParts-1] = fmt.Sprintf("%08x:16", 0x91bd0000+n)
	header := fmt.Sprintf("X-Model: m0\r\nX-Token-Usage: %d,%d\r\nX-Prompt-Prefix: %s\r\n", 16*crowdParts, 3*crowdEvents, strings.Join(parts, ","))
	a, err := c.sendWith(http.MethodPost, "/s/1", crowdDeadline, header, strings.Repeat("x", crowdBody))
	if err != nil {
		w.record.printf("client: %s is not sent whole: %v", a.id, err)
		return
	}
	wrap := func(source io.Reader) io.Reader { return source }
	if w.trouble {
		wrap = func(source io.Reader) io.Reader {
			return &slowReader{source: source, start: time.Now(), rate: crowdRate}
		}
	}
	c.receive(a, wrap)
}

// stream answers with events.
func stream(ctx context.Context, w http.ResponseWriter, _ *http.Request, _ []byte) error {
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range crowdEvents {
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: three tokens of a reply that goes on\n\n", n+1); err != nil {
			return err
		}
		if n%20 == 0 {
			w.(http.Flusher).Flush()
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// report answers GET /bulrushwick/report of a worker with a model.
func (w *worker) report(out http.ResponseWriter) {
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}, "busy": false, "sequence": 0,
		"queued": 0, "active": len(w.places), "kvUsed": 0, "kvTotal": 147819, "handles": 0, "born": startedAt.UnixMilli(),
	})
}

// judgeCut returns errBroken if more than three orders that were sent on kept connections
// and ran at a sound worker ended without an answer when the process was killed.
func (w *world) judgeCut(attempts map[string]*attempt, workers []*worker, killedAt time.Time) error {
	lost := 0
	for _, each := range workers {
		for _, r := range each.list() {
			if a := attempts[r.id]; a != nil && a.kept && a.status == 0 && a.sentAt.Before(killedAt) && a.endedAt.After(killedAt) {
				lost++
				w.record.print("LOST: the order %s ran at %s (%s), and its client got %v", r.id, r.worker, r.ended, a)
			}
		}
	}
	w.record.print("%d orders on kept connections lost", lost)
	if lost > 3 {
		return errBroken
	}
	return nil
}
