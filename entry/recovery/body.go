package recovery

import "io"

// Body returns body with the panics of its methods confined: each is reported and
// becomes the error of the call.
func Body(report Reporter, task string, body io.ReadCloser) io.ReadCloser {
	return &confinedBody{body: body, report: report, task: task}
}

type confinedBody struct {
	body   io.ReadCloser
	report Reporter
	task   string
}

// Read implements io.Reader.
func (b *confinedBody) Read(p []byte) (n int, err error) {
	defer b.confine(&err)
	return b.body.Read(p)
}

// Close implements io.Closer.
func (b *confinedBody) Close() (err error) {
	defer b.confine(&err)
	return b.body.Close()
}

// confine turns a panic into *err. It must be deferred.
func (b *confinedBody) confine(err *error) {
	if value := recover(); value != nil {
		cause := New(b.task, value)
		b.report(cause)
		*err = cause
	}
}
