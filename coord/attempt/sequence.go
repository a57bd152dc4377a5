package attempt

import "fmt"

// StreamEvent is one event of a streamed answer.
type StreamEvent struct {
	// Model is the adapter@version that the event names.
	Model string
	// Answer is the engine's name of the answer, the same in all its events.
	Answer string
	// Offset is the event's place in the stream, from 0. It counts only where
	// Numbered is set.
	Offset   int
	Numbered bool
	// Final says that the event is the stream's final marker.
	Final bool
}

// StreamFault names what is wrong with a streamed answer.
type StreamFault string

// The faults.
const (
	// WrongModel: the event was made by another adapter or version.
	WrongModel StreamFault = "adapter_mismatch"
	// WrongAnswer: the event belongs to another answer.
	WrongAnswer StreamFault = "answer_crossed"
	// OutOfOrder: an event was repeated, left out or lost its number.
	OutOfOrder StreamFault = "events_out_of_order"
	// Truncated: the stream ended without its final marker.
	Truncated StreamFault = "answer_cut"
)

// SequenceError tells where a streamed answer went wrong.
type SequenceError struct {
	Fault StreamFault
	// Offset is the place of the event that was due.
	Offset int
}

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("%s at event %d", e.Fault, e.Offset)
}

// Sequence checks that the events of a streamed answer, over all the attempts
// that it took, are the answer to one request: by its model, without gap or
// repeat, and complete.
//
// Invariant: the events that were accepted are the first Offset events of one
// answer.
type Sequence struct {
	model    string
	answer   string
	next     int
	numbered bool
	final    bool
}

// NewSequence returns a check for an answer by model.
func NewSequence(model string) *Sequence { return &Sequence{model: model} }

// Offset returns the number of events accepted so far, the final marker not
// counted.
func (s *Sequence) Offset() int { return s.next }

// Complete tells whether the final marker has been accepted.
func (s *Sequence) Complete() bool { return s.final }

// Resumable tells whether a further attempt can go on at Offset: nothing was
// accepted yet, or the events carry their numbers.
func (s *Sequence) Resumable() bool { return !s.final && (s.next == 0 || s.numbered) }

// Resume expects the rest of the answer from another attempt, which gives the
// answer a name of its own.
func (s *Sequence) Resume() { s.answer = "" }

// Accept checks the next event. Its error is a *SequenceError; the event must
// then not be passed on.
func (s *Sequence) Accept(e StreamEvent) error {
	if s.final {
		return s.fail(OutOfOrder)
	}
	if e.Final {
		s.final = true
		return nil
	}
	switch {
	case e.Model != s.model:
		return s.fail(WrongModel)
	case s.answer != "" && e.Answer != s.answer:
		return s.fail(WrongAnswer)
	case s.next > 0 && e.Numbered != s.numbered:
		return s.fail(OutOfOrder)
	case e.Numbered && e.Offset != s.next:
		return s.fail(OutOfOrder)
	}
	s.answer = e.Answer
	s.numbered = e.Numbered
	s.next++
	return nil
}

// End reports whether the stream may end here. Its error is a *SequenceError.
func (s *Sequence) End() error {
	if !s.final {
		return s.fail(Truncated)
	}
	return nil
}

func (s *Sequence) fail(fault StreamFault) error {
	return &SequenceError{Fault: fault, Offset: s.next}
}
