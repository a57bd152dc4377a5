package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case pipelined-stop.
const (
	pipelineCallers = 6
	pipelineLength  = 4 // lookups that a caller sends at once on its connection
	pipelineWork    = 400 * time.Millisecond
	pipelineTimeout = 4 * time.Second // timeoutMs of the route, and deadline
	stopAfter       = 150 * time.Millisecond
	lossSlack       = 200 * time.Millisecond
)

// pipelinedStop stops an instance in a planned way while callers have several lookups on a
// kept connection.
func pipelinedStop(s *stage) (bool, error) {
	for n := range 3 {
		w, err := startWorker(s.rec, fmt.Sprintf("i-app-%d", n+1), "app", "zone-a")
		if err != nil {
			return false, err
		}
		w.limit(6, 24)
		w.respond = func(w *worker, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(pipelineWork)
			return w.answer(conn, r, http.StatusOK, letters(800))
		}
		s.store.put("servers/"+w.id, w.entry("ready"))
	}
	s.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{"name": "label-lookup", "hostname": "h.example", "prefix": "/r/", "routeType": "idempotent", "timeoutMs": pipelineTimeout.Milliseconds(),
			"targetLatencyMs": 400, "priority": 2, "service": "app", "attempts": 2}},
		"services": []any{map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var err error
	if s.all, err = newInstances(s.rec, s.folder, s.store.address, 2, silt); err != nil {
		return false, err
	}
	for _, i := range s.all {
		if err := i.start(s.program, true); err != nil {
			return false, err
		}
	}
	time.Sleep(silt.inTouch)
	first := s.all[0]
	var group sync.WaitGroup
	var lost atomic.Int64
	for n := range pipelineCallers {
		group.Go(func() { lost.Add(int64(sendPipelined(s.rec, first, n+1))) })
	}
	time.Sleep(stopAfter)
	for _, queue := range unread(first) {
		s.rec.add("process", "%s has %d unread bytes of a caller's connection", first.name, queue)
	}
	if s.trouble {
		first.signal(syscall.SIGTERM)
		kill := time.AfterFunc(silt.grace, func() {
			if first.running() {
				first.signal(syscall.SIGKILL)
			}
		})
		defer kill.Stop()
	}
	group.Wait()
	s.rec.add("answer", "%d lookups that were read have no answer", lost.Load())
	return lost.Load() > 0, nil
}

// sendPipelined sends lookups on one connection and returns how many were read by the
// instance and not answered when the connection ended, later than lossSlack after their
// last byte was sent.
func sendPipelined(rec *record, i *instance, caller int) (lost int) {
	conn, err := net.DialTimeout("tcp", i.callers, time.Second)
	if err != nil {
		rec.add("sent", "caller %d can't connect: %v", caller, err)
		return 0
	}
	defer func() { _ = conn.Close() }()
	var requests strings.Builder
	for k := range pipelineLength {
		fmt.Fprintf(&requests, "GET /r/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: c%d-%d\r\nX-Deadline-Ms: %d\r\n\r\n", caller, k+1, pipelineTimeout.Milliseconds())
	}
	if _, err := io.WriteString(conn, requests.String()); err != nil {
		return 0
	}
	sent := time.Now()
	rec.add("sent", "c%d-1 to c%d-%d to %s, %d bytes at once", caller, caller, pipelineLength, i.name, requests.Len())
	_ = conn.SetReadDeadline(sent.Add(2 * pipelineTimeout))
	reader := bufio.NewReader(conn)
	for k := range pipelineLength {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		after := time.Since(sent)
		if err == nil {
			rec.add("answer", "c%d-%d: status %d after %.2f s, Connection: close %t", caller, k+1, response.StatusCode, after.Seconds(), response.Close)
			continue
		}
		rec.add("answer", "c%d-%d: NO ANSWER, the connection ended %.2f s after it was sent: %v", caller, k+1, after.Seconds(), err)
		if after > lossSlack && after < pipelineTimeout {
			lost++
		}
	}
	return lost
}

// unread returns the bytes that an instance has received on the connections of callers and
// not read, where there are any.
func unread(i *instance) (queues []int64) {
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", i.command.Process.Pid))
	if err != nil {
		return nil
	}
	var port int
	_, _ = fmt.Sscanf(i.callers[strings.LastIndexByte(i.callers, ':')+1:], "%d", &port)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] != "01" || !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port)) {
			continue
		}
		var transmit, receive int64
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &transmit, &receive); err == nil && receive > 0 {
			queues = append(queues, receive)
		}
	}
	return queues
}

// letters returns n bytes.
func letters(n int) []byte {
	body := make([]byte, n)
	for i := range body {
		body[i] = byte('a' + i%26)
	}
	return body
}
