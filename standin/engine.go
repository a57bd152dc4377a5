package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineConfig configures a model engine.
type EngineConfig struct {
	// Slots is the number of adapters that can be loaded at once.
	Slots int
	// TokenTime is the time between two tokens of one request.
	TokenTime time.Duration
	// Fencing makes the engine reject orders with an outdated fencing token.
	Fencing bool
	// StoreAddress is the address of the weight store; without one, loads complete
	// at once.
	StoreAddress string
}

// Engine is a stand-in of a model engine with adapter slots.
type Engine struct {
	*server
	config EngineConfig

	mu           sync.Mutex
	resident     map[string]int // requests in progress by resident adapter@version
	fence        uint64         // highest fencing token seen
	faults       EngineFaults
	evictedInUse int // adapters unloaded while a request used them
	served       int
	history      []EngineOrder
	disconnected chan string
}

// EngineFaults are the faults that an engine can inject.
type EngineFaults struct {
	// FailLoads makes every load fail.
	FailLoads bool
	// Silent accepts requests and never responds.
	Silent bool
	// Cross responds with the name of another adapter.
	Cross bool
	// IgnoreFence accepts orders with any fencing token.
	IgnoreFence bool
	// Stream is the fault of streamed responses.
	Stream StreamFault
}

// StartEngine starts an engine that listens on address.
func StartEngine(address string, config EngineConfig) (*Engine, error) {
	e := &Engine{
		config:       config,
		resident:     make(map[string]int),
		disconnected: make(chan string, disconnectedCapacity),
	}
	s, err := listen(address, e.handle)
	if err != nil {
		return nil, err
	}
	e.server = s
	return e, nil
}

// SetFaults replaces all faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart drops the engine's state as a restart does: all adapters and the fencing
// token.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resident = make(map[string]int)
	e.fence = 0
}

// EvictedInUse returns the number of unloads of adapters that were in use.
func (e *Engine) EvictedInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evictedInUse
}

// InProgress returns the number of requests in progress for an adapter@version.
func (e *Engine) InProgress(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resident[model]
}

// Served returns the number of completions that have ended.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.complete(ctx)
	case "/v1/load_lora_adapter":
		e.load(ctx)
	case "/v1/unload_lora_adapter":
		e.unload(ctx)
	case "/v1/models":
		e.models(ctx)
	case "/v1/fence":
		e.claimFence(ctx)
	case "/history":
		writeJSON(ctx, fasthttp.StatusOK, e.History())
	case "/fault":
		e.handleFaults(ctx)
	default:
		writeError(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (e *Engine) handleFaults(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	e.SetFaults(EngineFaults{
		FailLoads:   args.GetBool("failLoads"),
		Silent:      args.GetBool("silent"),
		Cross:       args.GetBool("cross"),
		IgnoreFence: args.GetBool("ignoreFence"),
		Stream: StreamFault{
			Kind:  StreamFaultKind(args.Peek("stream")),
			At:    args.GetUintOrZero("at"),
			Times: args.GetUintOrZero("times"),
		},
	})
	if args.GetBool("restart") {
		e.Restart()
	}
}

// adapterOrder is the body of calls that load or unload an adapter.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// decodeOrder decodes an adapter call and checks its fencing token. If it returns
// false, it has written an error response.
func (e *Engine) decodeOrder(ctx *fasthttp.RequestCtx) (adapterOrder, bool) {
	var order adapterOrder
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil || order.Name == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "malformed order")
		return order, false
	}
	return order, e.checkFence(ctx, order.Name)
}

func (e *Engine) load(ctx *fasthttp.RequestCtx) {
	order, accepted := e.decodeOrder(ctx)
	if !accepted {
		return
	}
	e.mu.Lock()
	failing := e.faults.FailLoads
	full := len(e.resident) >= e.config.Slots
	e.mu.Unlock()
	if failing || full {
		writeError(ctx, fasthttp.StatusServiceUnavailable, "load failed")
		return
	}
	if err := e.fetchWeights(order.Path); err != nil {
		writeError(ctx, fasthttp.StatusBadGateway, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, already := e.resident[order.Name]; !already {
		e.resident[order.Name] = 0
	}
}

func (e *Engine) fetchWeights(path string) error {
	if e.config.StoreAddress == "" {
		return nil
	}
	status, _, err := fasthttp.Get(nil, "http://"+e.config.StoreAddress+"/adapters/"+path)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("the weight store responded with status %d", status)
	}
	return nil
}

func (e *Engine) unload(ctx *fasthttp.RequestCtx) {
	order, accepted := e.decodeOrder(ctx)
	if !accepted {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident[order.Name] > 0 {
		e.evictedInUse++
	}
	delete(e.resident, order.Name)
}

// completionRequest has the fields of a completion request that the engine reads.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// choice is one choice of a completion.
type choice struct {
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// completion is a response, or one event of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// disconnectedCapacity is the capacity of the channel that Disconnected returns.
const disconnectedCapacity = 1024

// Disconnected returns a channel with the model of each request whose client
// disconnected before the response was complete. Values beyond its capacity are
// dropped.
func (e *Engine) Disconnected() <-chan string { return e.disconnected }

func (e *Engine) reportDisconnect(model string) {
	select {
	case e.disconnected <- model:
	default: // the channel is full
	}
}

// defaultTokens is the number of tokens of a response if the request sets none.
const defaultTokens = 4

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	model, silent, resident := e.beginRequest(request.Model)
	if !resident {
		writeError(ctx, fasthttp.StatusNotFound, "adapter is not loaded")
		return
	}
	if silent {
		defer e.endRequest(request.Model)
		waitWhileConnected(ctx, forever)
		e.reportDisconnect(request.Model)
		return
	}
	id := string(ctx.Request.Header.Peek("Bulrushwick-Request-Id"))
	if request.Stream {
		e.stream(ctx, id, model, request)
		return
	}
	defer e.endRequest(request.Model)
	if !waitWhileConnected(ctx, time.Duration(request.MaxTokens)*e.config.TokenTime) {
		e.reportDisconnect(request.Model)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, completion{
		ID:      id,
		Model:   model,
		Choices: []choice{{Text: Answer(request.Model, request.Prompt, request.MaxTokens), FinishReason: "stop"}},
	})
}

// beginRequest counts a request as in progress for its adapter. It returns the
// model name for the response, which differs from model under the Cross fault.
func (e *Engine) beginRequest(model string) (name string, silent, resident bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, resident = e.resident[model]; !resident {
		return "", false, false
	}
	e.resident[model]++
	name = model
	if e.faults.Cross {
		name = "crossed@0"
	}
	return name, e.faults.Silent, true
}

func (e *Engine) endRequest(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	if e.resident[model] > 0 {
		e.resident[model]--
	}
}

// Token returns the i-th token (from 0) of an engine's response; tests compare with
// it.
func Token(model, prompt string, i int) string {
	return fmt.Sprintf("%s|%s|%d ", model, prompt, i)
}

// Answer returns the text of an engine's whole response.
func Answer(model, prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}
