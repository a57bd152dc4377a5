package call

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

// MaxWholeBytes bounds a response that is read whole before it is passed on, in bytes.
const MaxWholeBytes = 8 << 20

// ReadWhole reads and closes the body, so that none of one that broke off is passed on.
// Its error is an *Error; that of the body stays as it is.
func (r *Response) ReadWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxWholeBytes+1))
	if closeErr := r.Body.Close(); err == nil {
		err = closeErr
	}
	var failed *Error
	switch {
	case errors.As(err, &failed):
		return nil, failed
	case err != nil:
		return nil, UnusableError("answer_cut", err)
	case len(body) > MaxWholeBytes:
		return nil, UnusableError("answer_too_large", fmt.Errorf("answer is above %d bytes", MaxWholeBytes))
	}
	return body, nil
}

// UnusableError returns the error for a response that arrived but can't be passed on.
func UnusableError(code string, err error) *Error {
	return &Error{Failure: attempt.Failure{Sent: true}, Status: http.StatusGatewayTimeout, Code: code, Err: err}
}
