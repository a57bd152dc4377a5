package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEventBytes is the maximum size of one event in bytes.
const maxEventBytes = 1 << 20

// readBufferBytes is the size of the read buffer in bytes.
const readBufferBytes = 8 << 10

// ErrEventTooLarge is returned for an event above the size limit.
var ErrEventTooLarge = fmt.Errorf("an event is above %d bytes", maxEventBytes)

// Event is one server-sent event. Data and Raw are valid until the next call of
// Reader.Next.
type Event struct {
	// ID is the event's id. It is valid only if HasID is set, which means that
	// the id is a non-negative integer.
	ID    int
	HasID bool
	// Data is the event's data, its lines joined by line feeds.
	Data []byte
	// Raw is the event as received, including the closing blank line.
	Raw []byte
}

// Reader reads server-sent events. It is not safe for concurrent use.
type Reader struct {
	buffer *bufio.Reader
	raw    []byte
	data   []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, readBufferBytes)}
}

// HasBufferedEvent reports whether the buffer holds a blank line, which normally
// ends an event, so that Next need not wait for input.
func (r *Reader) HasBufferedEvent() bool {
	buffered, _ := r.buffer.Peek(r.buffer.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream, io.ErrUnexpectedEOF if the stream ends within an event, and
// ErrEventTooLarge for an event above the size limit.
func (r *Reader) Next() (Event, error) {
	e := Event{Raw: r.raw[:0], Data: r.data[:0]}
	defer func() { r.raw, r.data = e.Raw, e.Data }()
	hasData := false
	for {
		line, err := r.line(&e)
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.Raw) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		if len(line) == 0 {
			if hasData {
				return e, nil
			}
			continue // a comment, or an event without data
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if hasData {
				e.Data = append(e.Data, '\n')
			}
			e.Data = append(e.Data, value...)
			hasData = true
		case "id":
			id, err := strconv.Atoi(string(value))
			e.ID, e.HasID = id, err == nil && id >= 0
		}
	}
}

// line appends one line to the event's Raw and returns it without its line end.
func (r *Reader) line(e *Event) ([]byte, error) {
	start := len(e.Raw)
	for {
		part, err := r.buffer.ReadSlice('\n')
		if len(e.Raw)+len(part) > maxEventBytes {
			return nil, ErrEventTooLarge
		}
		e.Raw = append(e.Raw, part...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		line := e.Raw[start:]
		return bytes.TrimSuffix(line[:len(line)-1], []byte("\r")), nil
	}
}
