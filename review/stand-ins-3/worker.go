package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	id     string
	worker string
	at     time.Duration
}

// worker is a sound worker. respond writes the answer to a request that it runs, and
// returns false if the connection has to be closed.
type worker struct {
	id, service, zone, address string
	born                       int64
	signature                  string
	// quiet leaves single runs out of the record.
	quiet   bool
	rec     *record
	respond func(w *worker, conn net.Conn, r *http.Request, body []byte) bool

	// queue bounds the requests that run or wait, and slots those that run; both are nil
	// without a bound.
	slots, queue chan struct{}

	mu   sync.Mutex
	runs []run
}

func startWorker(rec *record, id, service, zone string) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, service: service, zone: zone, address: listener.Addr().String(), born: time.Now().UnixMilli(), signature: "sig." + id, rec: rec}
	w.respond = func(w *worker, conn net.Conn, r *http.Request, _ []byte) bool {
		return w.answer(conn, r, 200, []byte("from "+w.id))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	return w, nil
}

// limit makes the worker run a number of requests at once, and queue some more.
func (w *worker) limit(slots, queue int) {
	w.slots, w.queue = make(chan struct{}, slots), make(chan struct{}, slots+queue)
}

// enter waits for a slot, and reports false if the worker is full.
func (w *worker) enter() bool {
	if w.slots == nil {
		return true
	}
	select {
	case w.queue <- struct{}{}:
		w.slots <- struct{}{}
		return true
	default:
		return false
	}
}

func (w *worker) leave() {
	if w.slots != nil {
		<-w.slots
		<-w.queue
	}
}

// entry is what the worker reports to the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": 1, "slots": 8, "state": state,
		"coldRemainingMs": 0, "sequence": time.Now().UnixMilli(), "born": w.born, "models": []any{},
	}
}

func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
			if !write(conn, fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"), w.id)) {
				return
			}
			continue
		}
		if r.URL.Path == "/bulrushwick/report" {
			document, _ := json.Marshal(map[string]any{"phase": "combined", "models": []any{}, "busy": false, "sequence": 0, "born": w.born})
			if !write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(document), document)) {
				return
			}
			continue
		}
		id := r.Header.Get("X-Request-Id")
		if !w.enter() {
			if !write(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)) {
				return
			}
			continue
		}
		if !w.quiet {
			w.rec.add("run", "worker %s runs %s %s %s (%d bytes of body)", w.id, r.Method, r.URL.RequestURI(), id, len(body))
		}
		w.mu.Lock()
		w.runs = append(w.runs, run{id: id, worker: w.id, at: w.rec.now()})
		w.mu.Unlock()
		keep := w.respond(w, conn, r, body)
		w.leave()
		if !keep {
			return
		}
	}
}

// hasRun reports whether the worker began to work on a request.
func (w *worker) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.ContainsFunc(w.runs, func(r run) bool { return r.id == id })
}

// answer writes a complete answer with the worker's signature.
func (w *worker) answer(conn net.Conn, r *http.Request, status int, body []byte) bool {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Signature: %s\r\nContent-Type: application/octet-stream\r\nContent-Length: %d\r\n\r\n",
		status, http.StatusText(status), r.Header.Get("X-Request-Id"), w.signature, len(body))
	return write(conn, head+string(body))
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
