package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// ErrInvalidStatus is returned for a response without a valid HTTP status.
var ErrInvalidStatus = errors.New("the response has no valid HTTP status")

// ErrHeaderTooLong is returned for a response header that the buffer of its reader can't
// hold.
var ErrHeaderTooLong = errors.New("the response header is too long")

// ReadHeader reads the header of a response, which must have a valid status and valid field
// names, and be without a body if it is an interim one. fasthttp alone reports the status
// 000 as 200 and accepts spaces in and behind field names, and the body of an interim
// response would be read as the next header.
func ReadHeader(header *fasthttp.ResponseHeader, reader *bufio.Reader) error {
	status, err := peekHeader(reader)
	if err != nil {
		return err
	}
	if err := header.Read(reader); err != nil {
		return err
	}
	if status < fasthttp.StatusOK && (status == fasthttp.StatusSwitchingProtocols || header.ContentLength() > 0 || header.ContentLength() == chunked) {
		return ErrInvalidStatus
	}
	return nil
}

// chunked is the content length that fasthttp reports for chunks.
const chunked = -1

// peekHeader waits for the next header, checks it and returns its status. It consumes
// nothing.
func peekHeader(reader *bufio.Reader) (int, error) {
	var scanner headScanner
	for scanned := 0; ; {
		_, err := reader.Peek(scanned + 1)
		received, _ := reader.Peek(reader.Buffered()) // never fails
		complete, invalid := scanner.scan(received[scanned:])
		scanned = len(received)
		switch {
		case invalid != nil:
			return 0, invalid
		case complete:
			return scanner.status, nil
		case errors.Is(err, io.EOF) && scanned > 0:
			return 0, io.ErrUnexpectedEOF
		case errors.Is(err, bufio.ErrBufferFull):
			return 0, ErrHeaderTooLong
		case err != nil:
			return 0, err
		}
	}
}

// headScanner checks the status line and the field names of a response header as its bytes
// arrive, in any division.
type headScanner struct {
	// status is 0 until the status line is complete, of which line holds the first part.
	status int
	line   []byte
	fields fieldScanner
}

// scan takes the next bytes. It reports whether the header is complete, after which it must
// not be called again.
func (s *headScanner) scan(p []byte) (complete bool, err error) {
	if s.status == 0 {
		if len(s.line) == 0 {
			p = bytes.TrimLeft(p, "\r\n") // empty lines before the status line are ignored
		}
		line, rest, ended := bytes.Cut(p, []byte("\n"))
		if !ended || len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		if !ended {
			return false, nil
		}
		if s.status, err = parseStatus(line); err != nil {
			return false, err
		}
		p = rest
	}
	return s.fields.scan(p)
}

// parseStatus returns the status in a status line.
func parseStatus(line []byte) (int, error) {
	_, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r"), []byte(" "))
	code, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if len(code) != 3 {
		return 0, ErrInvalidStatus
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0, ErrInvalidStatus
		}
		status = 10*status + int(digit-'0')
	}
	if status < fasthttp.StatusContinue {
		return 0, ErrInvalidStatus
	}
	return status, nil
}
