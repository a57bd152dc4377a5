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

// answerLimit bounds a completion that is not streamed, in bytes.
const answerLimit = 8 << 20

// completion is the part of a completion's body that names what ran.
type completion struct {
	Model string `json:"model"`
}

// VerifyCompletion reads a completion whole and checks that the adapter and
// version that ran are the ones that the request names. Its error is a
// *call.Error.
func VerifyCompletion(r *call.Request, answer *call.Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, answerLimit+1))
	if closeErr := answer.Body.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return unusable("answer_cut", err)
	}
	if len(body) > answerLimit {
		return unusable("answer_too_large", fmt.Errorf("answer is above %d bytes", answerLimit))
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

// unusable is the failure of an answer that came but can't be passed on.
func unusable(code string, err error) *call.Error {
	return &call.Error{
		Failure: attempt.Failure{Sent: true},
		Status:  fasthttp.StatusGatewayTimeout,
		Code:    code,
		Err:     err,
	}
}
