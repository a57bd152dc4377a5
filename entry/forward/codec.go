package forward

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/call"
	"github.com/bulrushwick/bulrushwick/entry/httpx"
)

// Headers that only forwarded requests carry.
const (
	idempotentHeader = "Bulrushwick-Idempotent"
	streamHeader     = "Bulrushwick-Stream"
	offsetHeader     = "Bulrushwick-Offset"
)

// maxForwardedDeadline bounds the deadline of a forwarded request. It is above
// the longest deadline that a caller may ask for.
const maxForwardedDeadline = 24 * time.Hour

// encode writes a request's fields into the headers of a forwarded request. The
// body is not copied.
func encode(to *fasthttp.Request, r *call.Request) {
	h := &to.Header
	h.SetMethod(fasthttp.MethodPost)
	h.SetContentType(r.ContentType)
	h.Set(httpx.RequestID, r.ID)
	h.Set(httpx.AttemptID, strconv.Itoa(r.Attempt))
	h.Set(httpx.RouteHeader, r.Route)
	h.Set(httpx.TableHeader, r.Table.String())
	h.Set(httpx.Instance, r.Entry)
	h.Set(httpx.WorkerHeader, r.Worker)
	h.Set(httpx.MethodHeader, r.Method)
	h.Set(httpx.PathHeader, r.Path)
	if r.Adapter != (table.AdapterVersion{}) {
		h.Set(httpx.Adapter, r.Adapter.String())
	}
	h.Set(httpx.RankHeader, r.Rank.String())
	h.Set(httpx.CallerHeader, r.Caller)
	h.Set(httpx.IdempotencyKey, r.Key)
	h.Set(httpx.HomeHeader, r.Home)
	h.Set(idempotentHeader, strconv.FormatBool(r.Idempotent))
	h.Set(offsetHeader, strconv.Itoa(r.Offset))
	h.Set(streamHeader, strconv.FormatBool(r.Stream))
	h.Set(httpx.DeadlineHeader, strconv.FormatInt(r.Remaining().Milliseconds(), 10))
	h.Set(httpx.Traceparent, r.Trace)
	to.SetBodyRaw(r.Body)
}

// decode reads a forwarded request; the body is copied, unless it is streamed.
func decode(from *fasthttp.Request) (*call.Request, error) {
	h := &from.Header
	header := func(name string) string { return string(h.Peek(name)) }
	rank, err := table.ParseRank(header(httpx.RankHeader))
	if err != nil {
		return nil, err
	}
	attemptNumber, err := strconv.ParseUint(header(httpx.AttemptID), 10, 31)
	if err != nil || attemptNumber < 1 {
		return nil, fmt.Errorf("attempt: %q is not a number from 1", header(httpx.AttemptID))
	}
	offset, err := strconv.ParseUint(header(offsetHeader), 10, 31)
	if err != nil {
		return nil, fmt.Errorf("offset: %w", err)
	}
	remainingMs, err := strconv.ParseInt(header(httpx.DeadlineHeader), 10, 64)
	if err != nil || remainingMs < 0 || remainingMs > maxForwardedDeadline.Milliseconds() {
		return nil, fmt.Errorf("deadline: %q is not from 0 to %d ms", header(httpx.DeadlineHeader), maxForwardedDeadline.Milliseconds())
	}
	stamp, err := table.ParseStamp(header(httpx.TableHeader))
	if err != nil {
		return nil, err
	}
	r := &call.Request{
		ID:          header(httpx.RequestID),
		Attempt:     int(attemptNumber),
		Table:       stamp,
		Entry:       header(httpx.Instance),
		Route:       header(httpx.RouteHeader),
		Worker:      header(httpx.WorkerHeader),
		Method:      header(httpx.MethodHeader),
		Path:        header(httpx.PathHeader),
		ContentType: string(h.ContentType()),
		Rank:        rank,
		Caller:      header(httpx.CallerHeader),
		Key:         header(httpx.IdempotencyKey),
		Home:        header(httpx.HomeHeader),
		Idempotent:  header(idempotentHeader) == "true",
		Offset:      int(offset),
		Stream:      header(streamHeader) == "true",
		Deadline:    time.Now().Add(time.Duration(remainingMs) * time.Millisecond),
		Trace:       header(httpx.Traceparent),
	}
	if !from.IsBodyStream() {
		r.Body = append([]byte(nil), from.Body()...)
	}
	if adapter := header(httpx.Adapter); adapter != "" {
		if r.Adapter, err = table.ParseAdapterVersion(adapter); err != nil {
			return nil, err
		}
	}
	return r, nil
}
