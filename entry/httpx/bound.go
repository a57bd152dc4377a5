package httpx

import "net/http"

// BoundedTransport passes calls on to Next and bounds the bodies of its responses: a
// Read beyond MaxBytes fails. It is for clients that read a body whole.
type BoundedTransport struct {
	Next http.RoundTripper
	// MaxBytes is the size of the largest body that is accepted, after decompression.
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t BoundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = http.MaxBytesReader(nil, response.Body, t.MaxBytes)
	return response, nil
}
