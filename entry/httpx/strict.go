package httpx

import (
	"errors"
	"net/http"
)

// ErrUnframed is returned for a response that states neither a length nor chunks.
var ErrUnframed = errors.New("the response has neither a length nor chunks")

// StrictTransport passes calls on to Next and rejects responses that a server of this
// project never sends. It is for clients of such servers only.
//
// A response without a length and without chunks ends with its connection. net/http writes
// a request while it reads the response, and a socket reports a reset once: if the writer
// gets it, a truncated body looks complete.
type StrictTransport struct {
	Next http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t StrictTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if isUnframed(response) {
		_ = response.Body.Close() // the response is not used
		return nil, ErrUnframed
	}
	return response, nil
}

// isUnframed reports whether the body of a response ends with its connection. HTTP/2 has
// frames of its own, and a compressed body contains its length.
func isUnframed(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && !r.Uncompressed && r.Body != http.NoBody
}
