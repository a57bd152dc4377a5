package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case prompt-parts-memory. All requests keep within the limits of the
// configuration, and the service has the slots and the work of stock-read on the sheet.
const (
	partsInstances   = 3
	partsAttacked    = 2 // one after the other
	partsWorkers     = 3
	partsSlots       = 6
	partsQueue       = 24
	partsWork        = 30 * time.Millisecond
	partsClients     = 24
	partsHeaderBytes = 16_100 // of 16,384
	partsEnds        = 3
	partsDuration    = 48 * time.Second // for each attacked instance
	orderTimeoutMs   = 2500
)

// promptPartsMemory lets a few callers send lookups whose prompts have many parts, and acts
// as the platform, which kills a process that is over the memory of its machine.
func promptPartsMemory(s *stage) (bool, error) {
	var workers []*worker
	for n := range partsWorkers {
		w, err := startWorker(s.rec, fmt.Sprintf("i-app-%d", n+1), "app", "zone-a")
		if err != nil {
			return false, err
		}
		w.quiet = true
		w.limit(partsSlots, partsQueue)
		w.respond = func(w *worker, conn net.Conn, r *http.Request, _ []byte) bool {
			time.Sleep(partsWork)
			return w.answer(conn, r, http.StatusOK, letters(800))
		}
		s.store.put("servers/"+w.id, w.entry("ready"))
		workers = append(workers, w)
	}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "hostname": "h.example", "prefix": prefix, "routeType": kind, "timeoutMs": orderTimeoutMs,
			"targetLatencyMs": 250, "priority": 2, "service": "app", "attempts": 2}
	}
	s.store.put("op/config", map[string]any{
		"version":  3,
		"routes":   []any{route("stock-read", "/r/", "idempotent"), route("stock-reserve", "/o/", "non_idempotent")},
		"services": []any{map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	var err error
	if s.all, err = newInstances(s.rec, s.folder, s.store.address, partsInstances, suzgec); err != nil {
		return false, err
	}
	for _, i := range s.all {
		if err := i.start(s.program, true); err != nil {
			return false, err
		}
	}
	time.Sleep(suzgec.inTouch)
	ended := 0
	var lost, served atomic.Int64
	for _, i := range s.all[:partsAttacked] {
		p := &partsPhase{stage: s, instance: i, workers: workers, end: time.Now().Add(partsDuration), lost: &lost, served: &served}
		ends, err := p.play()
		if err != nil {
			return false, err
		}
		if ends >= partsEnds {
			ended++
		}
	}
	s.rec.add("answer", "ordinary orders: %d answered, %d run by a worker without an answer", served.Load(), lost.Load())
	return ended >= partsAttacked, nil
}

// partsPhase is the time in which one instance gets the requests.
type partsPhase struct {
	*stage
	instance     *instance
	workers      []*worker
	end          time.Time
	lost, served *atomic.Int64
	parts, sent  atomic.Int64
	done         atomic.Bool
}

func (p *partsPhase) stopped() bool { return p.done.Load() || time.Now().After(p.end) }

// play returns how often the process has ended.
func (p *partsPhase) play() (ends int, err error) {
	var group sync.WaitGroup
	if p.trouble {
		p.rec.add("disruption", "%d callers each send %s lookups with about %d parts of a prompt, one after the other", partsClients, p.instance.name, partsHeaderBytes/9)
		for n := range partsClients {
			group.Go(func() {
				for k := 0; !p.stopped(); k++ {
					if p.sendParts(fmt.Sprintf("%s-%d-%d", p.instance.name, n, k)) != nil {
						time.Sleep(200 * time.Millisecond)
					}
				}
			})
		}
	} else {
		p.end = time.Now().Add(10 * time.Second)
	}
	group.Go(p.sendOrders)
	ends, err = p.keepWithinMemory()
	p.done.Store(true)
	group.Wait()
	return ends, err
}

// sendParts sends requests one after the other on one connection.
func (p *partsPhase) sendParts(name string) error {
	conn, err := net.DialTimeout("tcp", p.instance.callers, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for k := 0; !p.stopped(); k++ {
		var prefix strings.Builder
		for prefix.Len() < partsHeaderBytes {
			fmt.Fprintf(&prefix, "%x:1,", 0x100000+p.parts.Add(1))
		}
		prefix.WriteString("e:1")
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		_, err := fmt.Fprintf(conn, "GET /r/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nX-Prompt-Prefix: %s\r\n\r\n", name, k, orderTimeoutMs, prefix.String())
		if err != nil {
			return err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return err
		}
		p.sent.Add(1)
	}
	return nil
}

// sendOrders sends ordinary orders, and counts those that a worker ran and whose
// connection ended without an answer.
func (p *partsPhase) sendOrders() {
	for k := 0; !p.stopped(); k++ {
		id := fmt.Sprintf("order-%s-%d", p.instance.name, k)
		status, err := postOrder(p.instance.callers, id)
		switch {
		case err == nil && status == http.StatusOK:
			p.served.Add(1)
		case err != nil && slices.ContainsFunc(p.workers, func(w *worker) bool { return w.hasRun(id) }):
			p.lost.Add(1)
			p.rec.add("answer", "%s was run, and its connection ended without an answer: %v", id, err)
		default:
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func postOrder(address, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := fmt.Fprintf(conn, "POST /o/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", id, orderTimeoutMs); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.ReadAll(response.Body)
	return response.StatusCode, err
}

// keepWithinMemory kills the process when it holds more memory than its machine has, and
// starts it again after a short delay, as the platform does. It returns how often.
func (p *partsPhase) keepWithinMemory() (ends int, err error) {
	i, most, reported := p.instance, 0, time.Now()
	for ; !p.stopped() && ends < partsEnds; time.Sleep(100 * time.Millisecond) {
		kb, err := residentKB(i.command.Process.Pid)
		if err != nil {
			return ends, err
		}
		most = max(most, kb)
		if time.Since(reported) > 2*time.Second {
			reported = time.Now()
			p.rec.add("memory", "%s holds %d MB of %d; %d lookups were answered", i.name, kb>>10, suzgec.memoryMB, p.sent.Load())
		}
		if kb <= suzgec.memoryMB<<10 {
			continue
		}
		ends++
		p.rec.add("memory", "%s holds %d MB of %d: it is over the memory of its machine, for the %d. time, %.1f s after its start and with %.1f s of processor time",
			i.name, kb>>10, suzgec.memoryMB, ends, time.Since(i.began).Seconds(), processorTime(i.command.Process.Pid).Seconds())
		i.signalPlatform(syscall.SIGKILL)
		<-i.done
		time.Sleep(300 * time.Millisecond)
		if err := i.start(p.program, true); err != nil {
			return ends, err
		}
	}
	p.rec.add("memory", "%s: at most %d MB of %d, ended %d times", i.name, most>>10, suzgec.memoryMB, ends)
	return ends, nil
}

// residentKB returns the resident memory of a process in kB.
func residentKB(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, fmt.Errorf("process %d states no resident memory", pid)
}

// processorTime returns the processor time that a process has used; 0 if it can't be read.
func processorTime(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
