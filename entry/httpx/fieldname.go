package httpx

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidFieldName is returned for a header or a trailer with a field name that is not a
// token. What is meant by such a line can't be known, and parsers disagree: some pass on a
// name with spaces, or drop those before the colon.
var ErrInvalidFieldName = errors.New("a field name of the response is not a token")

// tokenLength returns the number of bytes at the start of text that may be part of a field
// name, which is a token (RFC 9110, sections 5.1 and 5.6.2).
func tokenLength[T ~string | ~[]byte](text T) int {
	for i := range len(text) {
		if !httpguts.IsTokenRune(rune(text[i])) {
			return i
		}
	}
	return len(text)
}

// isFieldName reports whether name is a valid field name.
func isFieldName(name string) bool { return name != "" && tokenLength(name) == len(name) }

// fieldScanner checks the field lines of a header or a trailer (RFC 9112, section 5) as
// their bytes arrive, in any division. It checks only names: values and folded lines are
// left to the parser.
type fieldScanner struct {
	place linePlace
	// hasName is set once the name of the line has a first byte.
	hasName bool
	// hasField is set once there is a line that may be folded.
	hasField bool
}

// linePlace is the part of a field line that a scanner has reached.
type linePlace uint8

const (
	atLineStart linePlace = iota
	// inEmptyLine is behind the CR of the line that ends the section.
	inEmptyLine
	inName
	// inValue is also the rest of a folded line.
	inValue
)

// scan takes the next bytes. It reports whether the section is complete, after which it
// must not be called again.
func (s *fieldScanner) scan(p []byte) (complete bool, err error) {
	for len(p) > 0 {
		switch s.place {
		case atLineStart:
			if p[0] == '\n' {
				return true, nil
			}
			p = s.startLine(p)
		case inEmptyLine:
			if p[0] != '\n' {
				return false, ErrInvalidFieldName
			}
			return true, nil
		case inName:
			if p, err = s.scanName(p); err != nil {
				return false, err
			}
		case inValue:
			_, rest, ended := bytes.Cut(p, []byte("\n"))
			if ended {
				s.place = atLineStart
			}
			p = rest
		}
	}
	return false, nil
}

// startLine determines the kind of a line by its first byte, and returns what is left to be
// scanned of it.
func (s *fieldScanner) startLine(p []byte) []byte {
	isBlank := p[0] == ' ' || p[0] == '\t'
	switch {
	case p[0] == '\r':
		s.place = inEmptyLine
		return p[1:]
	case isBlank && s.hasField:
		s.place = inValue
	default:
		s.place, s.hasName = inName, false
	}
	return p
}

// scanName checks a name, or the part of it that has arrived, and returns what follows it.
func (s *fieldScanner) scanName(p []byte) ([]byte, error) {
	length := tokenLength(p)
	s.hasName = s.hasName || length > 0
	switch {
	case length == len(p):
		return nil, nil
	case p[length] != ':' || !s.hasName:
		return nil, ErrInvalidFieldName
	}
	s.place, s.hasField = inValue, true
	return p[length+1:], nil
}

// ErrTrailerTooLong is returned for a trailer above 16 KB.
var ErrTrailerTooLong = errors.New("the trailer of the response is too long")

// maxTrailerBytes bounds the trailer behind the last chunk.
const maxTrailerBytes = 16 << 10

// ReadTrailer reads and drops the trailer that follows the last chunk of a body.
func ReadTrailer(reader *bufio.Reader) error {
	var fields fieldScanner
	for size := 0; size <= maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return io.ErrUnexpectedEOF
		}
		if complete, err := fields.scan(line); complete || err != nil {
			return err
		}
		size += len(line)
	}
	return ErrTrailerTooLong
}
