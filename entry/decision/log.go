// Package decision writes the decision log: a JSON line for each decision on a
// request and each change of the state that decisions depend on. Each kind of line
// has a rate limit, and writing a line never waits for the output.
package decision

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"
)

// Config limits the volume of the log.
type Config struct {
	// LinesPerSecond is the rate limit for each event, Burst the number of lines
	// that may exceed it at once. More lines explain more of a second with many
	// failures, but take more processor time.
	LinesPerSecond float64
	Burst          int
	// Buffer is the number of lines that can wait for the output. If it is full,
	// new lines overwrite the oldest.
	Buffer int
}

// DefaultConfig returns limits for an instance that has a fraction of a core.
func DefaultConfig() Config {
	return Config{LinesPerSecond: 60, Burst: 120, Buffer: 2048}
}

// Log writes the decision log. It is safe for concurrent use.
type Log struct {
	config   Config
	out      zerolog.Logger
	writer   io.Closer
	mu       sync.Mutex
	limiters map[Event]*rate.Limiter
	limited  map[Event]int
	replaced int
	dropped  uint64
}

// timeFormat has milliseconds, so that lines of several instances can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a log that writes to output, with the instance's name in every line.
func New(config Config, output io.Writer, instance string) *Log {
	l := &Log{config: config, limiters: make(map[Event]*rate.Limiter), limited: make(map[Event]int)}
	writer := diode.NewWriter(output, config.Buffer, 0, func(missed int) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.replaced += missed
		l.dropped += uint64(missed)
	})
	l.writer = writer
	l.out = zerolog.New(writer).With().Str(FieldInstance, instance).Logger()
	return l
}

// Line begins a line. If the event's rate limit is reached it returns nil, on which
// zerolog's methods have no effect.
func (l *Log) Line(event Event) *zerolog.Event {
	if !l.allow(event) {
		return nil
	}
	return addTimeAndEvent(l.out.Info(), event)
}

// Warn begins a line at warning level, like Line, for an error that is logged and
// not returned.
func (l *Log) Warn(event Event, err error) *zerolog.Event {
	if !l.allow(event) {
		return nil
	}
	return addTimeAndEvent(l.out.Warn(), event).Err(err)
}

func addTimeAndEvent(line *zerolog.Event, event Event) *zerolog.Event {
	return line.Str(FieldTime, time.Now().Format(timeFormat)).Str(FieldEvent, string(event))
}

// allow reports whether the event's rate limit admits a line, and counts it as
// dropped if not.
func (l *Log) allow(event Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter := l.limiters[event]
	if limiter == nil {
		limiter = rate.NewLimiter(rate.Limit(l.config.LinesPerSecond), l.config.Burst)
		l.limiters[event] = limiter
	}
	if limiter.Allow() {
		return true
	}
	l.limited[event]++
	l.dropped++
	return false
}

// Dropped returns the number of lines that were rate-limited or overwritten since
// the log was created.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Printf implements the logger interface of HTTP servers. Their messages are about
// single connections and become ConnectionFailed lines.
func (l *Log) Printf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Line(ConnectionFailed).Str(FieldError, text[:min(len(text), maxConnectionErrorBytes)]).Send()
}

// maxConnectionErrorBytes limits the length of a server's message, which may quote
// data from a caller.
const maxConnectionErrorBytes = 200

// Write implements io.Writer, for loggers of the standard library's log package.
func (l *Log) Write(line []byte) (int, error) {
	l.Printf("%s", bytes.TrimSpace(line))
	return len(line), nil
}

// Summarize writes a line with the numbers of lines that were rate-limited, by
// event, and overwritten since the last call, if there were any.
func (l *Log) Summarize() {
	l.mu.Lock()
	limited, replaced := l.limited, l.replaced
	l.limited, l.replaced = make(map[Event]int), 0
	l.mu.Unlock()
	if len(limited) == 0 && replaced == 0 {
		return
	}
	line := addTimeAndEvent(l.out.Warn(), LinesDropped).Int(FieldReplaced, replaced)
	for event := range maps.Keys(limited) {
		line = line.Int("limited_"+string(event), limited[event])
	}
	line.Send()
}

// flushWait is how long Close waits for the last lines to be written.
const flushWait = 20 * time.Millisecond

// Close waits briefly for buffered lines to be written, then closes the writer.
// Lines that a slow output has not taken by then may be lost.
func (l *Log) Close() error {
	time.Sleep(flushWait)
	return l.writer.Close()
}
