package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// run is a request that a worker has begun to work on.
type run struct {
	id, worker string
	at         time.Time
	// ended is how it ended: "200" with the whole answer written, or why not.
	ended string
}

// worker is a worker of a service. It follows X-Expect-Instance, the
// deadline, its slots and the close of a connection.
type worker struct {
	id, service, address string
	// model is the model that it holds; empty for a service without models.
	model  string
	slots  int
	record *record
	// serve works on a request and writes the answer. Its context ends with the
	// connection, with the deadline and when the worker ends.
	serve func(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) error

	server *http.Server
	places chan struct{}
	ctx    context.Context
	end    context.CancelFunc

	mu   sync.Mutex
	runs []*run
}

func startWorker(r *record, id, service string, slots int, serve func(context.Context, http.ResponseWriter, *http.Request, []byte) error) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, address: listener.Addr().String(), slots: slots, record: r, serve: serve, places: make(chan struct{}, slots)}
	w.ctx, w.end = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// entry returns the worker's entry in the store.
func (w *worker) entry(state string) string {
	fields := map[string]any{
		"service": w.service, "address": w.address, "zone": "a", "version": "1", "slots": w.slots, "state": state,
		"coldRemainingMs": 0, "sequence": 1, "born": startedAt.UnixMilli(),
	}
	if w.model != "" {
		fields["models"] = []any{map[string]any{"name": w.model, "version": 1, "adapters": []string{}}}
	}
	encoded, _ := json.Marshal(fields)
	return string(encoded)
}

var startedAt = time.Now()

// exit ends the worker with everything that it works on.
func (w *worker) exit() {
	w.record.printf("worker %s: exits", w.id)
	w.end()
	_ = w.server.Close()
}

// list returns a copy of the runs so far.
func (w *worker) list() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []run
	for _, r := range w.runs {
		all = append(all, *r)
	}
	return all
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		out.Header().Set("X-Instance-Id", w.id)
		return
	}
	if r.URL.Path == "/bulrushwick/report" && w.model != "" {
		w.report(out)
		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	context.AfterFunc(w.ctx, cancel)
	select {
	case w.places <- struct{}{}:
	default:
		out.Header().Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.places }()
	begun := &run{id: id, worker: w.id, at: time.Now(), ended: "still at work"}
	w.mu.Lock()
	w.runs = append(w.runs, begun)
	w.mu.Unlock()
	w.record.printf("worker %s: runs %s %s %s", w.id, id, r.Method, r.URL.Path)
	out.Header().Set("X-Server-Signature", fmt.Sprintf("sig.%s.%s", w.id, id))
	out.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", len(w.places), w.slots))
	err = w.serve(ctx, out, r, body)
	w.mu.Lock()
	begun.ended = "200"
	if err != nil {
		begun.ended = "broken off: " + err.Error()
	}
	w.mu.Unlock()
	w.record.printf("worker %s: the run of %s ends: %s", w.id, id, begun.ended)
	if err != nil {
		panic(http.ErrAbortHandler) // resets or closes the connection
	}
}

// afterWork returns a serve function that answers with size bytes after some work.
func afterWork(work time.Duration, size int) func(context.Context, http.ResponseWriter, *http.Request, []byte) error {
	return func(ctx context.Context, w http.ResponseWriter, _ *http.Request, _ []byte) error {
		select {
		case <-time.After(work):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, err := io.WriteString(w, strings.Repeat("label\n", size/6+1)[:size])
		return err
	}
}
