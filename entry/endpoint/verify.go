package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/entry/call"
)

// completion is the part of a completion's body that names the adapter that ran.
type completion struct {
	Model string `json:"model"`
}

// VerifyCompletion reads the whole completion and checks that the adapter and version
// that ran are those of the request. Its error is a *call.Error.
func VerifyCompletion(r *call.Request, response *call.Response) error {
	body, err := response.ReadWhole()
	if err != nil {
		return err
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return call.UnusableError("answer_malformed", err)
	}
	if c.Model != r.Adapter.String() {
		return call.UnusableError("adapter_mismatch", fmt.Errorf("asked %s, ran %s", r.Adapter, c.Model))
	}
	response.Adapter = c.Model
	response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
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
// truncated one is passed on. Its error is a *call.Error.
func ReadWhole(response *call.Response) error {
	body, err := response.ReadWhole()
	if err != nil {
		return err
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}
