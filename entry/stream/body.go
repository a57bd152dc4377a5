package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// finalMarker is the data of the last event of a complete stream.
const finalMarker = "[DONE]"

// maxBatchBytes is the size of the pending events above which no further event
// is added to them.
const maxBatchBytes = 4 << 10

// maxDrainBytes is the maximum number of bytes read after the final marker.
const maxDrainBytes = 1 << 10

// completionChunk holds the fields of an event that identify the response and
// the model that produced it.
type completionChunk struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// Resumer is told the progress of a Body and starts further attempts for it.
type Resumer interface {
	// Delivered reports that the first offset events are being delivered to the
	// caller.
	Delivered(offset int)
	// Resume is called when the current attempt failed after offset events. It
	// returns the body of a further attempt that starts at that offset, or an
	// error that truncates the response. resumable is false if the events so far
	// don't allow it.
	Resume(offset int, resumable bool, cause error) (io.ReadCloser, error)
	// Completed reports that the response is complete.
	Completed()
}

// Body is the event stream of a response to a caller. Each event is checked
// before it is delivered. Read returns io.EOF only after the final marker: any
// other end is an error, so that a truncated response never looks complete.
// Body is not safe for concurrent use.
type Body struct {
	checker *attempt.StreamChecker
	resumer Resumer
	source  io.ReadCloser
	reader  *Reader
	// pending holds checked events that Read has not returned yet.
	pending []byte
	// attemptErr is the error that ended the current attempt.
	attemptErr error
	// finalErr is the error, or io.EOF, that ends the response.
	finalErr error
}

// NewBody returns the event stream of a response of model. source is the body
// of the first attempt.
func NewBody(source io.ReadCloser, model string, resumer Resumer) *Body {
	return &Body{
		checker: attempt.NewStreamChecker(model),
		resumer: resumer,
		source:  source,
		reader:  NewReader(source),
	}
}

// Prime reads the first event, so that an error response can still be sent if
// the stream starts incorrectly. After an error only Close may be called.
func (b *Body) Prime() error {
	b.fill()
	return b.finalErr
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		b.fill()
	}
	if len(b.pending) == 0 {
		return 0, b.finalErr
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	if b.checker.Complete() { // read to the end, so that the connection can be reused
		_, _ = io.CopyN(io.Discard, b.source, maxDrainBytes)
	}
	return b.source.Close()
}

// fill waits for the first event and adds those that are already buffered. It
// leaves pending empty only at the end of the response.
func (b *Body) fill() {
	b.pending = b.pending[:0]
	for len(b.pending) == 0 && b.finalErr == nil {
		if b.attemptErr != nil {
			b.resume()
			continue
		}
		b.readBuffered()
	}
}

// readBuffered reads one event and those that are already buffered, up to
// maxBatchBytes or until the attempt fails.
func (b *Body) readBuffered() {
	if b.checker.Complete() {
		b.resumer.Completed()
		b.finalErr = io.EOF
		return
	}
	for !b.checker.Complete() && b.attemptErr == nil {
		b.attemptErr = b.readEvent()
		if len(b.pending) > maxBatchBytes || !b.reader.HasBufferedEvent() {
			break
		}
	}
	if len(b.pending) > 0 {
		b.resumer.Delivered(b.checker.Offset())
	}
}

// readEvent reads and checks one event and adds it to pending.
func (b *Body) readEvent() error {
	event, err := b.reader.Next()
	if errors.Is(err, io.EOF) {
		return b.checker.End()
	}
	if err != nil {
		return err
	}
	parsed, err := parseEvent(event)
	if err != nil {
		return err
	}
	if err := b.checker.Accept(parsed); err != nil {
		return err
	}
	b.pending = append(b.pending, event.Raw...)
	return nil
}

// resume continues with another attempt, or ends the response with an error.
func (b *Body) resume() {
	cause := b.attemptErr
	b.attemptErr = nil
	_ = b.source.Close()
	source, err := b.resumer.Resume(b.checker.Offset(), b.checker.Resumable(), cause)
	if err != nil {
		b.finalErr = err
		b.source = io.NopCloser(bytes.NewReader(nil))
		return
	}
	b.checker.Resume()
	b.source = source
	b.reader = NewReader(source)
}

// parseEvent returns the fields of an event that the checker needs.
func parseEvent(event Event) (attempt.StreamEvent, error) {
	if string(event.Data) == finalMarker {
		return attempt.StreamEvent{Final: true}, nil
	}
	var chunk completionChunk
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return attempt.StreamEvent{}, err
	}
	return attempt.StreamEvent{Model: chunk.Model, ResponseID: chunk.ID, Offset: event.ID, Numbered: event.HasID}, nil
}
