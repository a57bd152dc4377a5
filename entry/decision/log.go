// Package decision writes one line for each decision on a request or a belief.
// Lines are bounded by kind and never wait for the output.
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

// Config bounds the log's volume.
type Config struct {
	// LinesPerSecond is the mean rate for each event, Burst what may come at once.
	// More explains more of a bad second and costs processor time.
	LinesPerSecond float64
	Burst          int
	// Buffer is the number of lines that wait for the output; later ones replace
	// the oldest.
	Buffer int
}

// DefaultConfig returns bounds for a machine with a part of a core.
func DefaultConfig() Config {
	return Config{LinesPerSecond: 60, Burst: 120, Buffer: 2048}
}

// Log writes decisions. It is safe for concurrent use.
type Log struct {
	config   Config
	out      zerolog.Logger
	writer   io.Closer
	mu       sync.Mutex
	limits   map[Event]*rate.Limiter
	left     map[Event]int
	replaced int
	dropped  uint64
}

// timeFormat tells times to the millisecond, which orders lines of several
// instances.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a log to output with the instance's name on every line.
func New(config Config, output io.Writer, instance string) *Log {
	l := &Log{config: config, limits: make(map[Event]*rate.Limiter), left: make(map[Event]int)}
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

// Line begins a line, or returns nil, which takes fields and writes nothing,
// where the event's rate is used up.
func (l *Log) Line(event Event) *zerolog.Event {
	if !l.allow(event) {
		return nil
	}
	return stamp(l.out.Info(), event)
}

// Warn begins a line about an error that is not passed on.
func (l *Log) Warn(event Event, err error) *zerolog.Event {
	if !l.allow(event) {
		return nil
	}
	return stamp(l.out.Warn(), event).Err(err)
}

func stamp(line *zerolog.Event, event Event) *zerolog.Event {
	return line.Str(FieldTime, time.Now().Format(timeFormat)).Str(FieldEvent, string(event))
}

func (l *Log) allow(event Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[event]
	if limit == nil {
		limit = rate.NewLimiter(rate.Limit(l.config.LinesPerSecond), l.config.Burst)
		l.limits[event] = limit
	}
	if limit.Allow() {
		return true
	}
	l.left[event]++
	l.dropped++
	return false
}

// Dropped counts the lines that were left out or replaced since the start.
func (l *Log) Dropped() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}

// Printf implements the loggers of HTTP servers, whose lines are about one
// connection.
func (l *Log) Printf(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	l.Line(ConnectionFailed).Str(FieldError, text[:min(len(text), connectionErrorBytes)]).Send()
}

// connectionErrorBytes bounds the text of a server's line, which may quote what a
// caller sent.
const connectionErrorBytes = 200

// Write implements io.Writer for the log package.
func (l *Log) Write(line []byte) (int, error) {
	l.Printf("%s", bytes.TrimSpace(line))
	return len(line), nil
}

// Summarize writes how many lines were left out since the last call.
func (l *Log) Summarize() {
	l.mu.Lock()
	left, replaced := l.left, l.replaced
	l.left, l.replaced = make(map[Event]int), 0
	l.mu.Unlock()
	if len(left) == 0 && replaced == 0 {
		return
	}
	line := stamp(l.out.Warn(), LinesDropped).Int(FieldReplaced, replaced)
	for event := range maps.Keys(left) {
		line = line.Int("limited_"+string(event), left[event])
	}
	line.Send()
}

// closeWait gives the output a moment for the last lines.
const closeWait = 20 * time.Millisecond

// Close writes the lines that wait, as far as the output takes them.
func (l *Log) Close() error {
	time.Sleep(closeWait)
	return l.writer.Close()
}
