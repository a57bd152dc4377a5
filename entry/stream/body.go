package stream

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// finalMarker is the data of the event that ends a complete stream.
const finalMarker = "[DONE]"

// burstLimit is the size from which one Read takes no further event, in bytes.
const burstLimit = 4 << 10

// drainLimit bounds what is read behind the final marker, in bytes.
const drainLimit = 1 << 10

// completion is the part of an event that names what ran.
type completion struct {
	ID    string `json:"id"`
	Model string `json:"model"`
}

// Resumer is asked by a Body about its attempts.
type Resumer interface {
	// Passed says that the caller is given the first offset events.
	Passed(offset int)
	// Failed says that the current attempt broke after offset events. It
	// returns the body of a further attempt that starts there, or an error that
	// cuts the answer.
	Failed(offset int, resumable bool, cause error) (io.ReadCloser, error)
	// Ended says that the answer is complete.
	Ended()
}

// Body is a caller's stream. Each event is checked before it is passed on. Read
// returns io.EOF only behind the final marker: any other end is an error, so
// that a cut answer is never taken for complete.
type Body struct {
	sequence *attempt.StreamChecker
	resumer  Resumer
	source   io.ReadCloser
	events   *Reader
	pending  []byte
	// broken ended the current attempt; failed ends the answer.
	broken error
	failed error
}

// NewBody returns the stream of an answer by model whose first attempt's body
// is source.
func NewBody(source io.ReadCloser, model string, resumer Resumer) *Body {
	return &Body{
		sequence: attempt.NewStreamChecker(model),
		resumer:  resumer,
		source:   source,
		events:   NewReader(source),
	}
}

// Prime reads the first event, so that an answer that starts wrongly can still
// be refused. After an error the body can't be used.
func (b *Body) Prime() error {
	b.fill()
	return b.failed
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if len(b.pending) == 0 {
		b.fill()
	}
	if len(b.pending) == 0 {
		return 0, b.failed
	}
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error {
	if b.sequence.Complete() { // to its end, so that the connection is kept
		_, _ = io.CopyN(io.Discard, b.source, drainLimit)
	}
	return b.source.Close()
}

// fill gathers the events that are there, waiting for the first. It leaves
// pending empty only at the end.
func (b *Body) fill() {
	b.pending = b.pending[:0]
	for len(b.pending) == 0 && b.failed == nil {
		if b.broken != nil {
			b.resume()
			continue
		}
		b.gather()
	}
}

// gather takes events until it would have to wait or the attempt breaks.
func (b *Body) gather() {
	if b.sequence.Complete() {
		b.resumer.Ended()
		b.failed = io.EOF
		return
	}
	for !b.sequence.Complete() && b.broken == nil {
		b.broken = b.next()
		if len(b.pending) > burstLimit || !b.events.Buffered() {
			break
		}
	}
	if len(b.pending) > 0 {
		b.resumer.Passed(b.sequence.Offset())
	}
}

// next takes one event.
func (b *Body) next() error {
	event, err := b.events.Next()
	if errors.Is(err, io.EOF) {
		return b.sequence.End()
	}
	if err != nil {
		return err
	}
	described, err := describe(event)
	if err != nil {
		return err
	}
	if err := b.sequence.Accept(described); err != nil {
		return err
	}
	b.pending = append(b.pending, event.Raw...)
	return nil
}

// resume goes on with another attempt, or fails.
func (b *Body) resume() {
	cause := b.broken
	b.broken = nil
	_ = b.source.Close()
	source, err := b.resumer.Failed(b.sequence.Offset(), b.sequence.Resumable(), cause)
	if err != nil {
		b.failed = err
		b.source = io.NopCloser(bytes.NewReader(nil))
		return
	}
	b.sequence.Resume()
	b.source = source
	b.events = NewReader(source)
}

func describe(event Event) (attempt.StreamEvent, error) {
	if string(event.Data) == finalMarker {
		return attempt.StreamEvent{Final: true}, nil
	}
	var c completion
	if err := json.Unmarshal(event.Data, &c); err != nil {
		return attempt.StreamEvent{}, err
	}
	return attempt.StreamEvent{Model: c.Model, ResponseID: c.ID, Offset: event.ID, Numbered: event.HasID}, nil
}
