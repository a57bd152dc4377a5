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

// StreamFaultKind is a kind of fault of a streamed response.
type StreamFaultKind string

// The kinds of stream faults.
const (
	// CutStream closes the connection in the middle of the event.
	CutStream StreamFaultKind = "cut"
	// EndStream ends the response before the event, without the final [DONE].
	EndStream StreamFaultKind = "end"
	// RepeatEvent sends the event twice.
	RepeatEvent StreamFaultKind = "repeat"
	// SkipEvent omits the event.
	SkipEvent StreamFaultKind = "skip"
	// CrossEvent sends the event with the model name of another adapter.
	CrossEvent StreamFaultKind = "cross"
	// CrossAnswer sends the event with the id of another response of the same
	// adapter.
	CrossAnswer StreamFaultKind = "cross-answer"
	// StallStream stops sending and keeps the connection open.
	StallStream StreamFaultKind = "stall"
)

// StreamFault is a fault of streamed responses.
type StreamFault struct {
	// Kind is empty for none.
	Kind StreamFaultKind
	// At is the index of the affected event, from 0.
	At int
	// Times is the number of affected streams; 0 means all.
	Times int
}

// takeStreamFault returns the fault of the next stream and counts it.
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

// stream writes the events after the one that Last-Event-ID names, or all.
func (e *Engine) stream(ctx *fasthttp.RequestCtx, id, model string, request completionRequest) {
	ctx.SetContentType("text/event-stream")
	first := 0
	if last, err := strconv.Atoi(string(ctx.Request.Header.Peek("Last-Event-ID"))); err == nil {
		first = last + 1
	}
	conn, fault := ctx.Conn(), e.takeStreamFault()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.endRequest(request.Model)
		for i := first; i < request.MaxTokens; i++ {
			time.Sleep(e.config.TokenTime)
			event := completion{ID: id, Model: model, Choices: []choice{{Text: Token(request.Model, request.Prompt, i)}}}
			if i == request.MaxTokens-1 {
				event.Choices[0].FinishReason = "stop"
			}
			var err error
			if fault.Kind != "" && fault.At == i {
				err = writeFaultyEvent(w, conn, fault.Kind, i, event)
			} else {
				err = writeEvent(w, i, event)
			}
			if errors.Is(err, errStreamEnded) {
				return
			}
			if err != nil {
				e.reportDisconnect(request.Model)
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

// errStreamEnded means that a fault has ended the stream.
var errStreamEnded = errors.New("the stream was ended by a fault")

func writeFaultyEvent(w *bufio.Writer, conn net.Conn, kind StreamFaultKind, i int, event completion) error {
	switch kind {
	case CutStream:
		_, _ = fmt.Fprintf(w, "id: %d\ndata: {", i)
		_ = w.Flush()
		_ = conn.Close()
		return errStreamEnded
	case EndStream:
		return errStreamEnded
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
