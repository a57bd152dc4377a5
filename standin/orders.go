package standin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineOrder is one order that an engine was given.
type EngineOrder struct {
	// Path is the call's path.
	Path string `json:"path"`
	// Adapter is the adapter@version, or empty for a claim.
	Adapter string `json:"adapter"`
	// Fence is the fencing number that the order carried.
	Fence uint64 `json:"fence"`
	// Taken says that the order was not refused for its number.
	Taken bool `json:"taken"`
	// InUse is the number of requests that used the adapter then.
	InUse int `json:"inUse"`
	// AtMs is the wall clock, in milliseconds.
	AtMs int64 `json:"atMs"`
}

// EngineHistory is what an engine was ordered to do.
type EngineHistory struct {
	Orders []EngineOrder `json:"orders"`
	// EvictedInUse counts the adapters unloaded while a request used them.
	EvictedInUse int `json:"evictedInUse"`
	// Refused counts the orders refused for an old fencing number.
	Refused int `json:"refused"`
}

// historyKept is the number of orders that a history holds.
const historyKept = 100_000

// History returns what the engine was ordered to do so far.
func (e *Engine) History() EngineHistory {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := EngineHistory{Orders: append([]EngineOrder{}, e.history...), EvictedInUse: e.evicted}
	for _, order := range e.history {
		if !order.Taken {
			h.Refused++
		}
	}
	return h
}

// fenced records an order and checks its fencing number.
func (e *Engine) fenced(ctx *fasthttp.RequestCtx, adapter string) bool {
	number, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(fenceHeader)), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	taken := !e.config.Fencing || e.faults.IgnoreFence || number >= e.fence
	if len(e.history) < historyKept {
		e.history = append(e.history, EngineOrder{
			Path: string(ctx.Path()), Adapter: adapter, Fence: number, Taken: taken,
			InUse: e.resident[adapter], AtMs: time.Now().UnixMilli(),
		})
	}
	if !taken {
		refuse(ctx, fasthttp.StatusConflict, fmt.Sprintf("fencing number %d is below %d", number, e.fence))
		ctx.Response.Header.Set(fenceHeader, strconv.FormatUint(e.fence, 10))
		return false
	}
	e.fence = max(e.fence, number)
	return true
}

// fenceHeader carries a fencing number.
const fenceHeader = "Bulrushwick-Fence"

// claim takes a fencing number without an order.
func (e *Engine) claim(ctx *fasthttp.RequestCtx) {
	if e.fenced(ctx, "") {
		ctx.SetStatusCode(fasthttp.StatusOK)
	}
}

// model is one entry of the list of models.
type model struct {
	ID string `json:"id"`
}

// models lists the resident adapters.
func (e *Engine) models(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	list := struct {
		Data []model `json:"data"`
	}{Data: []model{}}
	for name := range e.resident {
		list.Data = append(list.Data, model{ID: name})
	}
	e.mu.Unlock()
	writeJSON(ctx, fasthttp.StatusOK, list)
}
