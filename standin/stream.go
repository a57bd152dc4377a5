package standin

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// StreamFaultKind names what a streamed answer does wrong.
type StreamFaultKind string

// The kinds of fault.
const (
	// CutStream closes the connection in the middle of the event.
	CutStream StreamFaultKind = "cut"
	// EndStream ends the answer before the event, without the final marker.
	EndStream StreamFaultKind = "end"
	// RepeatEvent sends the event twice.
	RepeatEvent StreamFaultKind = "repeat"
	// SkipEvent leaves the event out.
	SkipEvent StreamFaultKind = "skip"
	// CrossEvent sends the event of another adapter's answer.
	CrossEvent StreamFaultKind = "cross"
	// CrossAnswer sends the event of another answer by the same adapter.
	CrossAnswer StreamFaultKind = "cross-answer"
	// StallStream sends nothing more and keeps the connection open.
	StallStream StreamFaultKind = "stall"
)

// StreamFault is what streamed answers do wrong.
type StreamFault struct {
	// Kind is empty for none.
	Kind StreamFaultKind
	// At is the event that it happens at, from 0.
	At int
	// Times is the number of streams that it happens to; 0 is all.
	Times int
}

// takeStreamFault returns the fault of the next stream.
func (e *Engine) takeStreamFault() StreamFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	fault := e.faults.Stream
	if fault.Times == 1 {
		e.faults.Stream = StreamFault{}
	}
	e.faults.Stream.Times = max(e.faults.Stream.Times-1, 0)
	return fault
}

// stream writes the events from the one after Last-Event-ID.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, id, model string, request completionRequest) {
	ctx.SetContentType("text/event-stream")
	first := 0
	if last, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID"))); err == nil {
		first = last + 1
	}
	conn, fault := ctx.Conn(), e.takeStreamFault()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.end(request.Model)
		for i := first; i < request.MaxTokens; i++ {
			time.Sleep(e.config.TokenTime)
			event := completion{ID: id, Model: model, Choices: []choice{{Text: Token(request.Model, request.Prompt, i)}}}
			if i == request.MaxTokens-1 {
				event.Choices[0].FinishReason = "stop"
			}
			var err error
			if fault.Kind != "" && fault.At == i {
				err = writeFaulty(w, conn, fault.Kind, i, event)
			} else {
				err = writeEvent(w, i, event)
			}
			if errors.Is(err, errStreamOver) {
				return
			}
			if err != nil {
				e.cancelled(request.Model)
				return
			}
		}
		_, _ = w.WriteString("data: [DONE]\n\n")
	})
}

func writeEvent(w *bufio.Writer, i int, event completion) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, data)
	return w.Flush()
}

// errStreamOver ends a stream that goes wrong.
var errStreamOver = errors.New("the stream is over")

func writeFaulty(w *bufio.Writer, conn net.Conn, kind StreamFaultKind, i int, event completion) error {
	switch kind {
	case CutStream:
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {", i)
		_ = w.Flush()
		_ = conn.Close()
		return errStreamOver
	case EndStream:
		return errStreamOver
	case StallStream:
		select {}
	case RepeatEvent:
		if err := writeEvent(w, i, event); err != nil {
			return err
		}
	case SkipEvent:
		return nil
	case CrossEvent:
		event.Model = "crossed@0"
	case CrossAnswer:
		event.ID = "crossed"
	}
	return writeEvent(w, i, event)
}
