package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt. It is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	began  time.Time
	failed int
}

func newRecord(dir string) (*record, error) {
	file, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// elapsed returns the time since the start of the case.
func (r *record) elapsed() time.Duration { return time.Since(r.began) }

// line writes one line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// broken writes a violation of the rule, to the standard output too.
func (r *record) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failed++; r.failed <= maxPrinted {
		fmt.Println("BROKEN", text)
	}
}

// maxPrinted is the number of violations that are printed; the record has all.
const maxPrinted = 5

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
