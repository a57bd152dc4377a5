package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"
	"sync"

	"github.com/valyala/fasthttp"
)

// Response is a response whose body is still to be read. Close must be called.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header is valid until Close.
	Header *fasthttp.ResponseHeader

	response *fasthttp.Response
	body     io.Reader
	complete bool
	once     sync.Once
	release  func(reuse bool)
}

// newResponse takes ownership of response; release returns the connection to
// the pool or closes it.
func newResponse(response *fasthttp.Response, release func(reuse bool)) *Response {
	body := response.BodyStream()
	if body == nil {
		body = bytes.NewReader(response.Body())
	}
	return &Response{
		Status:   response.StatusCode(),
		Header:   &response.Header,
		response: response,
		body:     body,
		release:  release,
	}
}

// Read implements io.Reader.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Close implements io.Closer. Closing before the end of the body closes the
// connection, which cancels the call at the other side.
func (r *Response) Close() error {
	r.once.Do(func() {
		reuse := r.complete && !r.response.ConnectionClose()
		_ = r.response.CloseBodyStream()
		fasthttp.ReleaseResponse(r.response)
		r.release(reuse)
	})
	return nil
}

// chunkedBody reads a chunked body and its trailer, in which fasthttp accepts invalid field
// names. It returns io.EOF only after a valid trailer.
type chunkedBody struct {
	source *bufio.Reader
	chunks io.Reader
	// end is the result of reading the trailer, nil until then.
	end error
}

func newChunkedBody(source *bufio.Reader) *chunkedBody {
	return &chunkedBody{source: source, chunks: httputil.NewChunkedReader(source)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		if b.end = ReadTrailer(b.source); b.end == nil {
			b.end = io.EOF
		}
		err = b.end
	}
	return n, err
}
