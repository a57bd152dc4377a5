package httpx

import (
	"bytes"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// Body reads a response's body and gives the response back when it is closed.
type Body struct {
	reader   io.Reader
	response *fasthttp.Response
	once     sync.Once
}

// NewBody takes ownership of response.
func NewBody(response *fasthttp.Response) *Body {
	b := &Body{response: response, reader: response.BodyStream()}
	if b.reader == nil {
		b.reader = bytes.NewReader(response.Body())
	}
	return b
}

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close implements io.Closer. Closing before the end drops the connection,
// which cancels the call at the other side.
func (b *Body) Close() error {
	var err error
	b.once.Do(func() {
		err = b.response.CloseBodyStream()
		fasthttp.ReleaseResponse(b.response)
	})
	return err
}
