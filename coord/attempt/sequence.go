package attempt

import "fmt"

// StreamEvent is one event of a streamed response.
type StreamEvent struct {
	// Model is the adapter@version that the event names.
	Model string
	// ResponseID is the engine's ID of the response, the same in all its events.
	ResponseID string
	// Offset is the event's position in the stream, from 0. It is valid only if
	// Numbered is set.
	Offset   int
	Numbered bool
	// Final is set if the event is the end-of-stream marker.
	Final bool
}

// StreamFault is the kind of error found in a streamed response.
type StreamFault string

// The kinds of stream errors.
const (
	// WrongModel: the event names another adapter or version.
	WrongModel StreamFault = "adapter_mismatch"
	// WrongResponse: the event belongs to another response.
	WrongResponse StreamFault = "answer_crossed"
	// OutOfOrder: an event is duplicated, missing or not numbered as the events
	// before it.
	OutOfOrder StreamFault = "events_out_of_order"
	// Truncated: the stream ended without its end-of-stream marker.
	Truncated StreamFault = "answer_cut"
)

// StreamError describes an error in a streamed response.
type StreamError struct {
	Fault StreamFault
	// Offset is the position of the event that was expected next.
	Offset int
}

// Error implements error.
func (e *StreamError) Error() string {
	return fmt.Sprintf("%s at event %d", e.Fault, e.Offset)
}

// StreamChecker checks that the events of a streamed response, across all
// attempts, form the complete response to one request: from the expected model,
// without gaps or duplicates, and terminated by the end-of-stream marker. It is
// not safe for concurrent use.
//
// Invariant: the accepted events are the first Offset events of one response.
type StreamChecker struct {
	model      string
	responseID string
	accepted   int
	numbered   bool
	complete   bool
}

// NewStreamChecker returns a StreamChecker for a response by model, an
// adapter@version.
func NewStreamChecker(model string) *StreamChecker { return &StreamChecker{model: model} }

// Offset returns the number of events accepted so far, without the end-of-stream
// marker.
func (s *StreamChecker) Offset() int { return s.accepted }

// Complete reports whether the end-of-stream marker has been accepted.
func (s *StreamChecker) Complete() bool { return s.complete }

// Resumable reports whether a further attempt can continue at Offset: no event
// was accepted yet, or the events are numbered.
func (s *StreamChecker) Resumable() bool { return !s.complete && (s.accepted == 0 || s.numbered) }

// Resume prepares for the rest of the response from another attempt, whose
// events have a different response ID.
func (s *StreamChecker) Resume() { s.responseID = "" }

// Accept checks the next event. If it returns an error, which is a
// *StreamError, the event must not be delivered to the caller.
func (s *StreamChecker) Accept(e StreamEvent) error {
	if s.complete {
		return s.fail(OutOfOrder)
	}
	if e.Final {
		s.complete = true
		return nil
	}
	switch {
	case e.Model != s.model:
		return s.fail(WrongModel)
	case s.responseID != "" && e.ResponseID != s.responseID:
		return s.fail(WrongResponse)
	case s.accepted > 0 && e.Numbered != s.numbered:
		return s.fail(OutOfOrder)
	case e.Numbered && e.Offset != s.accepted:
		return s.fail(OutOfOrder)
	}
	s.responseID = e.ResponseID
	s.numbered = e.Numbered
	s.accepted++
	return nil
}

// End returns a *StreamError if the stream may not end here.
func (s *StreamChecker) End() error {
	if !s.complete {
		return s.fail(Truncated)
	}
	return nil
}

func (s *StreamChecker) fail(fault StreamFault) error {
	return &StreamError{Fault: fault, Offset: s.accepted}
}
