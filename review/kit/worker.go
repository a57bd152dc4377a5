package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the stand-in of a worker, as SYSTEM.md gives them for the small sites.
const (
	modelName       = "m0"
	adapterSlots    = 6
	transitLimit    = 4
	coldLoad        = 250 * time.Millisecond
	warmLoad        = 25 * time.Millisecond
	heartbeatEvery  = 1200 * time.Millisecond
	streamEvents    = 8
	eventPause      = 25 * time.Millisecond
	batchSlots      = 64
	weightsMB       = 67000
	modelMB         = 65500
	adapterMB       = 40
	historyLength   = 4096
	overloadDownFor = 2 * time.Second
	defaultReportMS = 300
)

// order is an order that reached a worker.
type order struct {
	Operation    string `json:"operation"`
	Model        string `json:"model"`
	Adapter      string `json:"adapter"`
	Holder       string `json:"holder"`
	FencingToken uint64 `json:"fencingToken"`
	worker       string
	at           time.Duration
	status       int
}

// worker is a stand-in of a worker of a service with an engine.
type worker struct {
	id, zone, address string
	born              int64
	record            *record
	reportLag         time.Duration
	// wake makes a worker that has started again write its entry at once.
	wake chan struct{}

	mu        sync.Mutex
	server    *http.Server
	adapters  map[string]*adapter
	warm      map[string]bool
	sequence  int
	orders    []order
	history   []snapshot
	overloads int
	active    int
}

type adapter struct {
	readyAt   time.Time
	running   int
	unloading bool
}

// snapshot is what the worker held from a moment on.
type snapshot struct {
	at              time.Time
	loaded, pending []string
	sequence        int
}

func startWorker(host, id, zone string, r *record) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, zone: zone, address: listener.Addr().String(), record: r, reportLag: defaultReportMS * time.Millisecond, wake: make(chan struct{}, 1)}
	w.serve(listener)
	return w, nil
}

// serve starts a process of the worker, which holds nothing.
func (w *worker) serve(listener net.Listener) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.born, w.server = time.Now().UnixMilli(), &http.Server{Handler: w, ReadHeaderTimeout: 5 * time.Second}
	w.adapters, w.warm, w.sequence, w.active, w.history = make(map[string]*adapter), make(map[string]bool), 0, 0, nil
	w.remember(time.Now())
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
}

// crash ends the process and all its connections, and starts another one under the same id
// and address after a time.
func (w *worker) crash(downFor time.Duration) error {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server == nil {
		return nil // it is down already
	}
	_ = server.Close()
	w.record.line("crashed %s", w.id)
	time.Sleep(downFor)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.serve(listener)
	w.record.line("started %s", w.id)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// register writes the worker's entry until stop is closed.
func (w *worker) register(s *store, stop <-chan struct{}) {
	for n := 0; ; n++ {
		w.mu.Lock()
		loaded, _ := w.held(time.Now())
		born, up := w.born, w.server != nil
		w.mu.Unlock()
		if up {
			s.put("servers/"+w.id, map[string]any{
				"service": "llm", "address": w.address, "zone": w.zone, "version": "1", "slots": batchSlots, "state": "ready",
				"coldRemainingMs": 0, "sequence": n, "born": born,
				"models": []any{map[string]any{"name": modelName, "version": 1, "adapters": versioned(loaded)}},
			})
		}
		select {
		case <-stop:
			return
		case <-w.wake:
		case <-time.After(heartbeatEvery):
		}
	}
}

func versioned(adapters []string) []string {
	list := []string{}
	for _, a := range adapters {
		list = append(list, a+"@1")
	}
	return list
}

// held returns the loaded adapters and those in transit; w.mu must be held.
func (w *worker) held(now time.Time) (loaded, pending []string) {
	for name, a := range w.adapters {
		if now.Before(a.readyAt) {
			pending = append(pending, name)
		} else {
			loaded = append(loaded, name)
			w.warm[name] = true
		}
	}
	slices.Sort(loaded)
	slices.Sort(pending)
	return loaded, pending
}

// remember keeps the present state for later reports; w.mu must be held.
func (w *worker) remember(now time.Time) {
	loaded, pending := w.held(now)
	w.history = append(w.history, snapshot{at: now, loaded: loaded, pending: pending, sequence: w.sequence})
	if len(w.history) > historyLength {
		w.history = slices.Delete(w.history, 0, historyLength/2)
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header()["Date"] = nil
	if id := r.Header.Get("X-Request-Id"); id != "" {
		rw.Header().Set("X-Request-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/bulrushwick/report":
		w.report(rw)
	case "/bulrushwick/order":
		w.order(rw, r)
	default:
		w.run(rw, r)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	now := time.Now()
	w.remember(now)
	state := w.history[0] // as of the start, if the process is younger
	for _, s := range w.history {
		if now.Sub(s.at) >= w.reportLag {
			state = s
		}
	}
	// A load that has ended since the snapshot is loaded as of the report's time.
	body := map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": versioned(state.loaded)}},
		"busy": false, "sequence": state.sequence, "queued": 0, "active": w.active, "kvUsed": 0, "kvTotal": 149332, "handles": 0,
		"born": w.born, "pending": pendingNames(state.pending),
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(body)
}

func pendingNames(adapters []string) []string {
	list := []string{}
	for _, a := range adapters {
		list = append(list, modelName+"/"+a+"@1")
	}
	return list
}

func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil || o.Holder == "" || o.FencingToken == 0 {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	o.worker, o.at = w.id, w.record.elapsed()
	o.status = w.apply(o)
	w.remember(time.Now())
	w.orders = append(w.orders, o)
	w.mu.Unlock()
	w.record.line("order worker=%s holder=%s fence=%d %s %s status=%d", w.id, o.Holder, o.FencingToken, o.Operation, o.Adapter, o.status)
	rw.WriteHeader(o.status)
}

// apply carries out an order and returns the status of its response; w.mu must be held.
func (w *worker) apply(o order) int {
	now := time.Now()
	held := w.adapters[o.Adapter]
	switch {
	case o.Model != modelName || o.Operation != "loading" && o.Operation != "unloading":
		return http.StatusBadRequest
	case o.Adapter == "":
		return http.StatusOK // the model is there
	case w.unloadsOther(o.Adapter):
		return http.StatusConflict
	case o.Operation == "unloading" && held == nil:
		return http.StatusOK
	case o.Operation == "unloading" && held.running > 0:
		held.unloading = true
		w.sequence++
		return http.StatusAccepted
	case o.Operation == "unloading":
		delete(w.adapters, o.Adapter)
		w.sequence++
		return http.StatusOK
	case held != nil && now.Before(held.readyAt):
		return http.StatusAccepted
	case held != nil:
		held.unloading = false
		return http.StatusOK
	}
	_, pending := w.held(now)
	if len(pending) >= transitLimit {
		return http.StatusConflict
	}
	if len(w.adapters) >= adapterSlots {
		w.overloads++
		go func() { _ = w.crash(overloadDownFor) }()
		w.record.line("overload worker=%s holder=%s adapter=%s held=%d", w.id, o.Holder, o.Adapter, len(w.adapters))
		return http.StatusServiceUnavailable
	}
	took := coldLoad
	if w.warm[o.Adapter] {
		took = warmLoad
	}
	w.adapters[o.Adapter] = &adapter{readyAt: now.Add(took)}
	w.sequence++
	return http.StatusAccepted
}

// unloadsOther reports whether an order to unload another adapter waits for its runs: other
// orders are rejected until it is done. w.mu must be held.
func (w *worker) unloadsOther(name string) bool {
	for other, a := range w.adapters {
		if a.unloading && other != name {
			return true
		}
	}
	return false
}

func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	_, name, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	w.mu.Lock()
	a := w.adapters[name]
	switch {
	case id == "":
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	case a == nil || time.Now().Before(a.readyAt):
		w.mu.Unlock()
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	case a.unloading:
		w.mu.Unlock()
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a.running++
	w.active++
	active := w.active
	w.mu.Unlock()
	defer w.ended(name, a)
	w.record.line("run worker=%s id=%s adapter=%s after=%s", w.id, id, name, r.Header.Get("Last-Event-Id"))
	_, _ = io.Copy(io.Discard, r.Body)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set("X-Server-Signature", "sig."+w.id+"."+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", active, batchSlots))
	flusher := rw.(http.Flusher)
	for n := first + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", n, id, n); err != nil {
			return
		}
		flusher.Flush()
	}
}

func (w *worker) ended(name string, a *adapter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.adapters[name] == a {
		w.active--
	}
	if a.running--; a.running == 0 && a.unloading && w.adapters[name] == a {
		delete(w.adapters, name)
		w.sequence++
	}
}

// ordersSeen returns the orders so far, in order of arrival.
func (w *worker) ordersSeen() []order {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.orders)
}
