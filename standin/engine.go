package standin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// EngineConfig sizes a model engine.
type EngineConfig struct {
	// Slots is the number of adapters the engine holds.
	Slots int
	// TokenTime is the time between two tokens of one request.
	TokenTime time.Duration
	// Fencing says that orders with an old fencing number are refused.
	Fencing bool
	// StoreAddress is where weights come from; empty loads at once.
	StoreAddress string
}

// Engine stands in for a model engine with adapter slots.
type Engine struct {
	*server
	config EngineConfig

	mu       sync.Mutex
	resident map[string]int // adapter@version to requests in progress
	fence    uint64
	faults   EngineFaults
	evicted  int // adapters unloaded while a request used them
	served   int
	history  []EngineOrder
	hungUp   chan string
}

// EngineFaults are the faults that an engine can be switched to.
type EngineFaults struct {
	// FailLoads refuses every load.
	FailLoads bool
	// Silent accepts requests and never answers.
	Silent bool
	// Cross answers with another adapter's name.
	Cross bool
	// IgnoreFence takes orders whatever their number.
	IgnoreFence bool
	// Stream is what streamed answers do wrong.
	Stream StreamFault
}

// StartEngine starts an engine on address.
func StartEngine(address string, config EngineConfig) (*Engine, error) {
	e := &Engine{
		config:   config,
		resident: make(map[string]int),
		hungUp:   make(chan string, hungUpKept),
	}
	s, err := listen(address, e.handle)
	if err != nil {
		return nil, err
	}
	e.server = s
	return e, nil
}

// SetFaults switches faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Restart forgets every adapter and the fencing number.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resident = make(map[string]int)
	e.fence = 0
}

// EvictedInUse returns how often an adapter was unloaded while in use.
func (e *Engine) EvictedInUse() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.evicted
}

// InProgress returns the number of requests that run on an adapter@version.
func (e *Engine) InProgress(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resident[model]
}

// Served returns the number of completions so far.
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
		e.claim(ctx)
	case "/history":
		writeJSON(ctx, fasthttp.StatusOK, e.History())
	case "/fault":
		e.switchFaults(ctx)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (e *Engine) switchFaults(ctx *fasthttp.RequestCtx) {
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

// adapterOrder is the body of the adapter calls.
type adapterOrder struct {
	Name string `json:"lora_name"`
	Path string `json:"lora_path"`
}

// order reads an adapter call and checks its fencing number.
func (e *Engine) order(ctx *fasthttp.RequestCtx) (adapterOrder, bool) {
	var order adapterOrder
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil || order.Name == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed order")
		return order, false
	}
	return order, e.fenced(ctx, order.Name)
}

func (e *Engine) load(ctx *fasthttp.RequestCtx) {
	order, accepted := e.order(ctx)
	if !accepted {
		return
	}
	e.mu.Lock()
	failing := e.faults.FailLoads
	full := len(e.resident) >= e.config.Slots
	e.mu.Unlock()
	if failing || full {
		refuse(ctx, fasthttp.StatusServiceUnavailable, "load failed")
		return
	}
	if err := e.fetch(order.Path); err != nil {
		refuse(ctx, fasthttp.StatusBadGateway, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, already := e.resident[order.Name]; !already {
		e.resident[order.Name] = 0
	}
}

func (e *Engine) fetch(path string) error {
	if e.config.StoreAddress == "" {
		return nil
	}
	status, _, err := fasthttp.Get(nil, "http://"+e.config.StoreAddress+"/adapters/"+path)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("store answered %d", status)
	}
	return nil
}

func (e *Engine) unload(ctx *fasthttp.RequestCtx) {
	order, accepted := e.order(ctx)
	if !accepted {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resident[order.Name] > 0 {
		e.evicted++
	}
	delete(e.resident, order.Name)
}

// completionRequest is the part of a completion that the engine reads.
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

// completion is an answer, or one event of a streamed answer.
type completion struct {
	ID      string   `json:"id"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// hungUpKept is the number of cancelled requests that HungUp holds.
const hungUpKept = 1024

// HungUp receives the model of each request whose caller closed the connection
// before its answer was complete.
func (e *Engine) HungUp() <-chan string { return e.hungUp }

func (e *Engine) cancelled(model string) {
	select {
	case e.hungUp <- model:
	default: // nobody counts them
	}
}

// defaultTokens is the length of an answer that names none.
const defaultTokens = 4

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	var request completionRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		refuse(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultTokens
	}
	model, silent, resident := e.begin(request.Model)
	if !resident {
		refuse(ctx, fasthttp.StatusNotFound, "adapter is not loaded")
		return
	}
	if silent {
		defer e.end(request.Model)
		hold(ctx, never)
		e.cancelled(request.Model)
		return
	}
	id := string(ctx.Request.Header.Peek("Bulrushwick-Request-Id"))
	if request.Stream {
		e.stream(ctx, id, model, request)
		return
	}
	defer e.end(request.Model)
	if !hold(ctx, time.Duration(request.MaxTokens)*e.config.TokenTime) {
		e.cancelled(request.Model)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, completion{
		ID:      id,
		Model:   model,
		Choices: []choice{{Text: Answer(request.Model, request.Prompt, request.MaxTokens), FinishReason: "stop"}},
	})
}

// begin pins the adapter and returns the name that the answer carries.
func (e *Engine) begin(model string) (name string, silent, resident bool) {
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

func (e *Engine) end(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.served++
	if e.resident[model] > 0 {
		e.resident[model]--
	}
}

// Token returns the i-th token of the answer that an engine gives; tests
// compare with it.
func Token(model, prompt string, i int) string {
	return fmt.Sprintf("%s|%s|%d ", model, prompt, i)
}

// Answer returns the whole answer that an engine gives.
func Answer(model, prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(Token(model, prompt, i))
	}
	return text.String()
}
