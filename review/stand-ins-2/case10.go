package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case evicted-answers.
const (
	// evictedClients is the number of ordinary clients, who read answers of evictedAnswer
	// bytes at evictedRate bytes a second.
	evictedClients = 12
	evictedAnswer  = 60_000
	evictedRate    = 18_000
	// openBodies is the number of clients that stop just short of the end of a body and
	// keep their connections open: more than the instance admits with the memory of the
	// machine.
	openBodies = 600
	// openBody is the size of these bodies.
	openBody = 4000
	// openAfter is the time from the ordinary requests to the first of them.
	openAfter = time.Second
)

// evictedAnswers sends orders on kept connections, whose answers the clients read slowly.
// With trouble, many clients then send bodies that stop just short of their end.
func evictedAnswers(w *world) error {
	var orders []*worker
	for n := range 3 {
		started, err := startWorker(w.record, fmt.Sprintf("i-7f3a91c%d", n), "app", 6, afterWork(50*time.Millisecond, evictedAnswer))
		if err != nil {
			return err
		}
		orders = append(orders, started)
	}
	i, err := w.startSmallMachine(orders)
	if err != nil {
		return err
	}
	clients := make([]*client, evictedClients)
	var group sync.WaitGroup
	for n := range clients {
		if clients[n], err = dial(w.record, i.caller); err != nil {
			return err
		}
		defer clients[n].close()
		if err := clients[n].conn.(*net.TCPConn).SetReadBuffer(crowdWindow); err != nil {
			return err
		}
		// The first order makes the connection a kept one.
		first, err := clients[n].send(http.MethodPost, "/o/1", ordinaryDeadline, "one label")
		if err != nil {
			return err
		}
		group.Go(func() { clients[n].receive(first, nil) })
	}
	group.Wait()
	attempts := make(map[string]*attempt)
	for _, c := range clients {
		a, err := c.send(http.MethodPost, "/o/2", ordinaryDeadline, "one label")
		if err != nil {
			return err
		}
		attempts[a.id] = a
		group.Go(func() {
			c.receive(a, func(source io.Reader) io.Reader {
				return &slowReader{source: source, start: time.Now(), rate: evictedRate}
			})
		})
	}
	time.Sleep(openAfter)
	if w.trouble {
		w.record.printf("%d clients send bodies that stop just short of their end", openBodies)
		body := strings.Repeat("x", openBody-1)
		for n := range openBodies {
			conn, err := net.DialTimeout("tcp", i.caller, time.Second)
			if err != nil {
				w.record.printf("client %d: %v", n, err)
				continue
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST /o/3 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s", host, newID(), openBody, body)
		}
	}
	if m, err := memoryOf(i.command.Process.Pid); err == nil {
		w.record.print("%s: %d MB resident and %d MB received and not read, of %d MB", i.name, m.resident>>20, m.unread>>20, machineMemoryMB)
	}
	group.Wait()
	select {
	case <-i.ended:
		return fmt.Errorf("the process has ended: %s", i.state)
	default:
	}
	return w.judgeClosed(attempts, orders)
}

// judgeClosed returns errBroken if more than three requests of kept connections that ran at
// a sound worker got no complete answer.
func (w *world) judgeClosed(attempts map[string]*attempt, workers []*worker) error {
	lost := 0
	for _, each := range workers {
		for _, r := range each.list() {
			if a := attempts[r.id]; a != nil && a.kept && !a.complete && r.ended == "200" {
				lost++
				w.record.print("LOST: the order %s ran at %s (%s), and its client got %v, %.1f s after it was sent", r.id, r.worker, r.ended, a, a.endedAt.Sub(a.sentAt).Seconds())
			}
		}
	}
	w.record.print("%d of %d orders lost", lost, len(attempts))
	if lost > 3 {
		return errBroken
	}
	return nil
}
