package strictjson

import (
	"bytes"
	"fmt"
)

// DecodeList decodes data, an array, and leaves out the elements that can't be used:
// those that can't be decoded, and those for which check returns false. check adds its
// findings at paths within the element. An element that is no valid JSON, or is nested
// too deep for the decoder, costs no other. The list is nil if data is no array.
func DecodeList[T any](data []byte, check func(c *Collector, element T) bool) ([]T, Findings) {
	elements, isArray := splitArray(data)
	if !isArray {
		var list []T
		findings, usable := Decode(data, &list)
		if usable {
			findings = append(findings, Finding{Position: positionAt(data, 0), Path: Root, Message: "is not a list"})
		}
		return nil, findings
	}
	list := make([]T, 0, len(elements))
	var findings Findings
	for i, e := range elements {
		var decoded T
		found, usable := Decode(e.value, &decoded)
		c := &Collector{}
		if usable && check(c, decoded) {
			list = append(list, decoded)
		}
		start := positionAt(data, e.offset)
		for _, f := range append(found, c.Locate(e.value)...) {
			findings = append(findings, f.within(start, fmt.Sprintf("[%d]", i)))
		}
	}
	findings.Sort()
	return list, findings
}

// within returns a finding on a value as a finding on the document that has the value at
// start and path.
func (f Finding) within(start Position, path string) Finding {
	if f.Line == 1 {
		f.Column += start.Column - 1
	}
	f.Line += start.Line - 1
	if f.Path == Root {
		f.Path = path
	} else {
		f.Path = path + "." + f.Path
	}
	return f
}

// element is an element of an array, at a byte offset of the document.
type element struct {
	value  []byte
	offset int
}

const jsonSpace = " \t\r\n"

// splitArray returns the elements of an array. It reads them no further than to find
// their ends, so that they may be nested to any depth and need not be valid.
func splitArray(data []byte) (elements []element, isArray bool) {
	at := skipSpace(data, 0)
	if at == len(data) || data[at] != '[' {
		return nil, false
	}
	for at++; ; at++ {
		start := skipSpace(data, at)
		if at = elementEnd(data, start); at == len(data) || data[at] == '}' {
			return nil, false
		}
		value := bytes.TrimRight(data[start:at], jsonSpace)
		isLast := data[at] == ']'
		if len(value) > 0 || !isLast || len(elements) > 0 {
			elements = append(elements, element{value: value, offset: start})
		}
		if isLast {
			return elements, skipSpace(data, at+1) == len(data)
		}
	}
}

// elementEnd returns the offset of the delimiter after the value that begins at start, or
// the length of data if there is none.
func elementEnd(data []byte, start int) int {
	depth := 0
	for at := start; at < len(data); at++ {
		switch data[at] {
		case '"':
			at = stringEnd(data, at)
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return at
			}
			depth--
		case ',':
			if depth == 0 {
				return at
			}
		}
	}
	return len(data)
}

// stringEnd returns the offset of the quote that ends the string that begins at start, or
// the length of data.
func stringEnd(data []byte, start int) int {
	for at := start + 1; at < len(data); at++ {
		switch data[at] {
		case '\\':
			at++
		case '"':
			return at
		}
	}
	return len(data)
}

func skipSpace(data []byte, at int) int {
	return len(data) - len(bytes.TrimLeft(data[at:], jsonSpace))
}
