package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Figures of the case slow-reader-stop. An answer is read whole in about 6.5 s, which is
// less than the grace of a stop and than the deadline.
const (
	slowClients     = 4
	slowAnswerBytes = 250_000
	slowReadBytes   = 4_000 // every slowReadPause
	slowReadPause   = 100 * time.Millisecond
	slowDeadlineMs  = 10_000
	slowBuffer      = 8 << 10
)

// slowReaderStop stops an instance in a planned way while callers read answers whose worker
// has finished long ago.
func slowReaderStop(s *stage) (bool, error) {
	w, err := startWorker(s.rec, "i-app-1", "app", "zone-a")
	if err != nil {
		return false, err
	}
	body := letters(slowAnswerBytes)
	w.respond = wholeAnswer(s.rec, body)
	if err := s.startPlain(w, 2, hengmao); err != nil {
		return false, err
	}
	first := s.all[0]
	var group sync.WaitGroup
	begun := make(chan struct{}, slowClients)
	incomplete := make(chan string, slowClients)
	for n := range slowClients {
		group.Go(func() {
			id := fmt.Sprintf("c%02d", n+1)
			if err := readSlowly(s.rec, first.callers, id, body, begun); err != nil {
				s.rec.add("answer", "%s: INCOMPLETE: %v", id, err)
				incomplete <- id
			}
		})
	}
	if err := awaitAll(begun, slowClients); err != nil {
		return false, err
	}
	if s.trouble {
		first.signal(syscall.SIGTERM)
		kill := time.AfterFunc(hengmao.grace, func() {
			if first.running() {
				first.signal(syscall.SIGKILL)
			}
		})
		defer kill.Stop()
	}
	group.Wait()
	return len(incomplete) > 0, nil
}

// useOnce has a small request answered, so that the connection is a kept one.
func useOnce(rec *record, conn net.Conn, reader *bufio.Reader, id string) error {
	rec.add("sent", "%s: POST /o/small", id)
	request := fmt.Sprintf("POST /o/small HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, slowDeadlineMs)
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	got, err := io.ReadAll(response.Body)
	rec.add("answer", "%s: status %d, %d bytes", id, response.StatusCode, len(got))
	return err
}

// readSlowly sends a request on a kept connection and reads its answer at a steady slow
// pace.
func readSlowly(rec *record, address, id string, want []byte, begun chan<- struct{}) error {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBuffer)
		})
	}}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReaderSize(conn, 1<<10)
	if err := useOnce(rec, conn, reader, id+"-first"); err != nil {
		return fmt.Errorf("the first request of the connection: %w", err)
	}
	sent := rec.now()
	rec.add("sent", "%s to %s: POST /o/report, deadline %d ms", id, address, slowDeadlineMs)
	request := fmt.Sprintf("POST /o/report HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 2\r\n\r\n{}", id, slowDeadlineMs)
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	rec.add("answer", "%s: status %d, length %d, signature %q", id, response.StatusCode, response.ContentLength, response.Header.Get("X-Server-Signature"))
	begun <- struct{}{}
	var got []byte
	buffer := make([]byte, slowReadBytes)
	for {
		n, err := io.ReadFull(response.Body, buffer)
		got = append(got, buffer[:n]...)
		if err == io.EOF || err == io.ErrUnexpectedEOF && len(got) == len(want) {
			break
		}
		if err != nil {
			return fmt.Errorf("after %d of %d bytes, %.1f s after it was sent: %w", len(got), len(want), (rec.now() - sent).Seconds(), err)
		}
		time.Sleep(slowReadPause)
	}
	if string(got) != string(want) {
		return fmt.Errorf("%d of %d bytes, or others than the worker's", len(got), len(want))
	}
	rec.add("answer", "%s: complete, %d bytes, %.1f s after it was sent", id, len(got), (rec.now() - sent).Seconds())
	return nil
}

// letters returns n bytes that show where a body was cut or mixed.
func letters(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return body
}

// wholeAnswer returns the work of a worker that answers at once.
func wholeAnswer(rec *record, body []byte) func(*worker, net.Conn, *http.Request, []byte) bool {
	return func(w *worker, conn net.Conn, r *http.Request, _ []byte) bool {
		if r.URL.Path == "/o/small" {
			return w.answer(conn, r, http.StatusOK, letters(10))
		}
		ok := w.answer(conn, r, http.StatusOK, body)
		rec.add("run", "worker %s has written its whole answer to %s: %t", w.id, r.Header.Get("X-Request-Id"), ok)
		return ok
	}
}

// startPlain publishes a worker and a route of non-idempotent requests to it, starts
// instances, and waits until they have been in touch for longer than stabilityWindowMs.
func (s *stage) startPlain(w *worker, instances int, site siteSettings) (err error) {
	s.store.put("servers/"+w.id, w.entry("ready"))
	s.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "report", "hostname": "h.example", "prefix": "/o/", "routeType": "non_idempotent", "timeoutMs": slowDeadlineMs,
			"targetLatencyMs": 400, "priority": 2, "service": "app", "attempts": 1,
		}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 410}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if s.all, err = newInstances(s.rec, s.folder, s.store.address, instances, site); err != nil {
		return err
	}
	for _, i := range s.all {
		if err := i.start(s.program, true); err != nil {
			return err
		}
	}
	time.Sleep(site.inTouch)
	return nil
}

// awaitAll waits until n answers have begun.
func awaitAll(begun <-chan struct{}, n int) error {
	for range n {
		select {
		case <-begun:
		case <-time.After(5 * time.Second):
			return fmt.Errorf("an answer did not begin")
		}
	}
	return nil
}
