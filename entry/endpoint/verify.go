package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/call"
)

// completion is the part of a completion's body that names the adapter that ran.
type completion struct {
	Model string `json:"model"`
}

// VerifyCompletion reads the whole completion and checks that the adapter and version
// that ran are those of the request. Without memory for all of it, only its start is
// checked, and the rest is passed on as it is read. Its error is a *call.Error.
func VerifyCompletion(r *call.Request, response *call.Response) error {
	body, whole, err := response.ReadWhole(r.Memory)
	if err != nil {
		return err
	}
	model, err := modelOf(body, whole)
	if err == nil && model != r.Adapter.String() {
		err = call.UnusableError("adapter_mismatch", fmt.Errorf("asked %s, ran %s", r.Adapter, model))
	}
	if err != nil {
		_ = response.Body.Close() // the completion is not used
		return err
	}
	response.Adapter = model
	return nil
}

// modelOf returns the adapter that a completion names. Its error is a *call.Error.
func modelOf(body []byte, whole bool) (string, error) {
	if !whole {
		model, found := leadingModel(body)
		if !found {
			return "", call.NoMemoryError()
		}
		return model, nil
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return "", call.UnusableError("answer_malformed", err)
	}
	return c.Model, nil
}

// leadingModel returns the adapter that the start of a completion names, if it does.
func leadingModel(start []byte) (model string, found bool) {
	decoder := json.NewDecoder(bytes.NewReader(start))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return "", false
	}
	for {
		name, err := decoder.Token()
		if err != nil {
			return "", false
		}
		if name == "model" {
			err = decoder.Decode(&model)
			return model, err == nil
		}
		var skipped json.RawMessage
		if decoder.Decode(&skipped) != nil {
			return "", false
		}
	}
}

// CheckStatus returns an error if the status says that the engine failed to serve the
// request, and nil if it served it or rejected the request itself as wrong. A refusal
// because the adapter is no longer loaded (404) or the engine is full (429, 503) proves
// that the request did not run. The error is a *call.Error, and the body is closed.
func CheckStatus(response *call.Response) error {
	failed := call.UnusableError("engine_failed", fmt.Errorf("the engine answered %d", response.Status))
	switch response.Status {
	case fasthttp.StatusNotFound, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		failed.Failure.Refused = true
		failed.Status = fasthttp.StatusServiceUnavailable
	case fasthttp.StatusInternalServerError, fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
	default:
		return nil
	}
	_ = response.Body.Close()
	return failed
}

// ReadWhole reads a response that is not streamed to its end, so that none of a
// truncated one is passed on, or its start if memory has no room for all of it. Its error
// is a *call.Error.
func ReadWhole(response *call.Response, memory call.Memory) error {
	_, _, err := response.ReadWhole(memory)
	return err
}
