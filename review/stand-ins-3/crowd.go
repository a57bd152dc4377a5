package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Figures of the case crowd-resets-answer. The answers fit into the buffers of a
// connection, and are read in about 2.5 s.
const (
	crowdReaders     = 6
	crowdAnswerBytes = 90_000
	crowdSize        = 1_000
	crowdBodyBytes   = 2_000
)

// crowdResetsAnswer lets a crowd of callers stall just short of the end of their bodies
// while a few ordinary callers read their answers slowly.
func crowdResetsAnswer(s *stage) (bool, error) {
	w, err := startWorker(s.rec, "i-app-1", "app", "zone-a")
	if err != nil {
		return false, err
	}
	body := letters(crowdAnswerBytes)
	w.respond = wholeAnswer(s.rec, body)
	if err := s.startPlain(w, 2, silt); err != nil {
		return false, err
	}
	first := s.all[0]
	var group sync.WaitGroup
	begun := make(chan struct{}, crowdReaders)
	incomplete := make(chan string, crowdReaders)
	for n := range crowdReaders {
		group.Go(func() {
			id := fmt.Sprintf("c%02d", n+1)
			if err := readSlowly(s.rec, first.callers, id, body, begun); err != nil {
				s.rec.add("answer", "%s: INCOMPLETE: %v", id, err)
				incomplete <- id
			}
		})
	}
	if err := awaitAll(begun, crowdReaders); err != nil {
		return false, err
	}
	var crowd []net.Conn
	defer func() {
		for _, conn := range crowd {
			_ = conn.Close()
		}
	}()
	if s.trouble {
		time.Sleep(200 * time.Millisecond)
		s.rec.add("disruption", "%d callers send a body of %d bytes but for its last byte, and stay open", crowdSize, crowdBodyBytes)
		for n := range crowdSize {
			conn, err := net.DialTimeout("tcp", first.callers, time.Second)
			if err != nil {
				s.rec.add("disruption", "caller %d of the crowd can't connect: %v", n+1, err)
				continue
			}
			crowd = append(crowd, conn)
			_, _ = fmt.Fprintf(conn, "POST /o/report HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd%d\r\nX-Deadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", n, crowdBodyBytes)
			_, _ = io.WriteString(conn, string(letters(crowdBodyBytes-1)))
		}
		s.rec.add("disruption", "the crowd has sent what it sends")
	}
	group.Wait()
	return len(incomplete) > 3, nil
}
