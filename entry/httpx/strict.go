package httpx

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// ErrUnframed is returned for a response that states neither a length nor chunks.
var ErrUnframed = errors.New("the response has neither a length nor chunks")

// StrictTransport passes calls on to Next and rejects responses that a server of this
// project never sends. It is for clients of such servers only.
//
// A response without a length and without chunks ends with its connection. net/http writes
// a request while it reads the response, and a socket reports a reset once: if the writer
// gets it, a truncated body looks complete.
//
// net/http accepts spaces in a field name and before its colon. Such a line may have been
// meant to state the framing.
type StrictTransport struct {
	Next http.RoundTripper
}

// checkInterim rejects interim responses with an invalid field name.
var checkInterim = &httptrace.ClientTrace{
	Got1xxResponse: func(_ int, header textproto.MIMEHeader) error { return checkFieldNames(header) },
}

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.WithContext(httptrace.WithClientTrace(request.Context(), checkInterim))
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = checkFieldNames(response.Header)
	if err == nil && isUnframed(response) {
		err = ErrUnframed
	}
	if err != nil {
		_ = response.Body.Close() // the response is not used
		return nil, err
	}
	if len(response.TransferEncoding) > 0 {
		response.Body = &trailerCheckedBody{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// checkFieldNames returns an error if a parsed header or trailer has an invalid field name.
func checkFieldNames[H ~map[string][]string](fields H) error {
	for name := range fields {
		if !isFieldName(name) {
			return ErrInvalidFieldName
		}
	}
	return nil
}

// trailerCheckedBody returns io.EOF only after a valid trailer, which net/http stores in the
// response once the body has been read.
type trailerCheckedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerCheckedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := checkFieldNames(b.response.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}

// isUnframed reports whether the body of a response ends with its connection. HTTP/2 has
// frames of its own, and a compressed body contains its length.
func isUnframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && r.Body != http.NoBody
}
