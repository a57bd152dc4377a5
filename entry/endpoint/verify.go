package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
	"github.com/bulrushwick/bulrushwick/entry/call"
)

// answerLimit bounds an answer that is not streamed, in bytes.
const answerLimit = 8 << 20

// completion is the part of a completion's body that names what ran.
type completion struct {
	Model string `json:"model"`
}

// VerifyCompletion reads a completion whole and checks that the adapter and
// version that ran are the ones that the request names. Its error is a
// *call.Error.
func VerifyCompletion(r *call.Request, answer *call.Answer) error {
	body, err := readWhole(answer)
	if err != nil {
		return err
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return unusable("answer_malformed", err)
	}
	if c.Model != r.Adapter.String() {
		return unusable("adapter_mismatch", fmt.Errorf("asked %s, ran %s", r.Adapter, c.Model))
	}
	answer.Adapter = c.Model
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// Refusal returns why an engine did not serve, or nil where it served or found
// the request itself wrong. An engine that no longer holds the adapter, or is
// full, has not run the request. Its error is a *call.Error.
func Refusal(answer *call.Answer) error {
	failed := unusable("engine_failed", fmt.Errorf("the engine answered %d", answer.Status))
	switch answer.Status {
	case fasthttp.StatusNotFound, fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable:
		failed.Failure.Refused = true
		failed.Status = fasthttp.StatusServiceUnavailable
	case fasthttp.StatusInternalServerError, fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout:
	default:
		return nil
	}
	_ = answer.Body.Close()
	return failed
}

// ReadWhole reads an answer that is not streamed to its end before any of it is
// passed on. Its error is a *call.Error.
func ReadWhole(answer *call.Answer) error {
	body, err := readWhole(answer)
	if err != nil {
		return err
	}
	answer.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

func readWhole(answer *call.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerLimit+1))
	if closeErr := answer.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, unusable("answer_cut", err)
	}
	if len(body) > answerLimit {
		return nil, unusable("answer_too_large", fmt.Errorf("answer is above %d bytes", answerLimit))
	}
	return body, nil
}

// unusable is the failure of an answer that came but can't be passed on.
func unusable(code string, err error) *call.Error {
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    code,
		Err:     err,
	}
}
