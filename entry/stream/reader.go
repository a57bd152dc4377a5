package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// eventLimit bounds one event, in bytes.
const eventLimit = 1 << 20

// readBuffer is the size of the reader's buffer, in bytes.
const readBuffer = 8 << 10

// ErrEventTooLarge says that an event is above its limit.
var ErrEventTooLarge = fmt.Errorf("an event is above %d bytes", eventLimit)

// Event is one server-sent event; its bytes are valid until the next.
type Event struct {
	// ID is the event's id where it is a number, and HasID tells whether it is.
	ID    int
	HasID bool
	// Data is the event's data, its lines joined by a line feed.
	Data []byte
	// Raw is the event as it came, its closing blank line included.
	Raw []byte
}

// Reader reads server-sent events.
type Reader struct {
	buffer *bufio.Reader
	raw    []byte
	data   []byte
}

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buffer: bufio.NewReaderSize(r, readBuffer)}
}

// Buffered tells whether a whole event can be read without waiting.
func (r *Reader) Buffered() bool {
	held, _ := r.buffer.Peek(r.buffer.Buffered())
	return bytes.Contains(held, []byte("\n\n"))
}

// Next returns the next event. It returns io.EOF at the end of the stream and
// io.ErrUnexpectedEOF where the stream ends within an event.
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
			continue // a comment or an empty event
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
			number, err := strconv.Atoi(string(value))
			e.ID, e.HasID = number, err == nil && number >= 0
		}
	}
}

// line reads one line into the event and returns it without its end.
func (r *Reader) line(e *Event) ([]byte, error) {
	start := len(e.Raw)
	for {
		part, err := r.buffer.ReadSlice('\n')
		if len(e.Raw)+len(part) > eventLimit {
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
