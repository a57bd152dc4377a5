package standin

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineOrder is one order that an engine received.
type EngineOrder struct {
	// Path is the path of the call.
	Path string `json:"path"`
	// Adapter is the adapter@version, or empty for a claim.
	Adapter string `json:"adapter"`
	// Fence is the fencing token of the order.
	Fence uint64 `json:"fence"`
	// Taken is set if the order was not rejected for its fencing token.
	Taken bool `json:"taken"`
	// InUse is the number of requests that used the adapter at that time.
	InUse int `json:"inUse"`
	// AtMs is the time of arrival in Unix milliseconds.
	AtMs int64 `json:"atMs"`
}

// EngineHistory has the orders that an engine received.
type EngineHistory struct {
	Orders []EngineOrder `json:"orders"`
	// EvictedInUse is the number of unloads of adapters that were in use.
	EvictedInUse int `json:"evictedInUse"`
	// Refused is the number of orders rejected for an outdated fencing token.
	Refused int `json:"refused"`
}

// maxHistory is the largest number of orders in a history; later ones are dropped.
const maxHistory = 100_000

// History returns the orders received so far.
func (e *Engine) History() EngineHistory {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := EngineHistory{Orders: append([]EngineOrder{}, e.history...), EvictedInUse: e.evictedInUse}
	for _, order := range e.history {
		if !order.Taken {
			h.Refused++
		}
	}
	return h
}

// checkFence records an order and checks its fencing token. If it returns false,
// it has written an error response.
func (e *Engine) checkFence(ctx *fasthttp.RequestCtx, adapter string) bool {
	fence, _ := strconv.ParseUint(string(ctx.Request.Header.Peek(fenceHeader)), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.config.Fencing || e.faults.IgnoreFence || fence >= e.fence
	if len(e.history) < maxHistory {
		e.history = append(e.history, EngineOrder{
			Path: string(ctx.Path()), Adapter: adapter, Fence: fence, Taken: accepted,
			InUse: e.resident[adapter], AtMs: time.Now().UnixMilli(),
		})
	}
	if !accepted {
		writeError(ctx, fasthttp.StatusConflict, fmt.Sprintf("fencing token %d is below %d", fence, e.fence))
		ctx.Response.Header.Set(fenceHeader, strconv.FormatUint(e.fence, 10))
		return false
	}
	e.fence = max(e.fence, fence)
	return true
}

// fenceHeader is the header with the fencing token.
const fenceHeader = "Bulrushwick-Fence"

// claimFence raises the engine's fencing token without an order.
func (e *Engine) claimFence(ctx *fasthttp.RequestCtx) {
	if e.checkFence(ctx, "") {
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
