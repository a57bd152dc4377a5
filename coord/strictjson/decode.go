package strictjson

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Decode decodes data, a single JSON value, into v, a pointer. Fields that data
// lacks keep their values in v. Decode returns all findings, and whether v is
// usable for further checks: if the findings are only unknown and duplicate
// fields, v holds all other fields.
func Decode(data []byte, v any) (findings Findings, usable bool) {
	original := reflect.New(reflect.TypeOf(v).Elem())
	original.Elem().Set(reflect.ValueOf(v).Elem())
	err := json.Unmarshal(data, v, json.RejectUnknownMembers(true))
	if err == nil {
		return nil, true
	}
	w := &walker{data: data, decoder: newDecoder(data)}
	w.checkValue(reflect.TypeOf(v).Elem(), "")
	w.checkEnd()
	if len(w.findings) == 0 {
		w.unusable = true
		w.addFinding(0, "", errorMessage(err))
	}
	if w.unusable {
		return w.findings, false
	}
	reflect.ValueOf(v).Elem().Set(original.Elem())
	err = json.Unmarshal(data, v, jsontext.AllowDuplicateNames(true))
	return w.findings, err == nil
}

// DecodeKnown is like Decode, but an unknown field is no finding: its writer may have
// added it for a later release. As in encoding/json, case does not distinguish names of
// fields, and one that is written in two cases is a finding.
func DecodeKnown(data []byte, v any) (findings Findings, usable bool) {
	w := &walker{data: data, decoder: newDecoder(data), allowsUnknown: true}
	w.checkValue(reflect.TypeOf(v).Elem(), "")
	w.checkEnd()
	if w.unusable {
		return w.findings, false
	}
	if err := json.Unmarshal(data, v, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true), json.MatchCaseInsensitiveNames(true)); err != nil {
		w.addFinding(0, "", errorMessage(err))
		return w.findings, false
	}
	return w.findings, true
}

func newDecoder(data []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(&byteReader{data: data}, jsontext.AllowDuplicateNames(true))
}

// byteReader reads from data. The decoder treats bytes.Buffer specially and would
// modify its contents.
type byteReader struct{ data []byte }

// Read implements io.Reader.
func (r *byteReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.data)
	r.data = r.data[n:]
	return n, nil
}

// walker compares a document with a Go type, token by token.
type walker struct {
	data     []byte
	decoder  *jsontext.Decoder
	findings Findings
	// hasSyntaxError reports whether the rest of the document is not valid JSON.
	hasSyntaxError bool
	// unusable reports whether there is a finding other than an unknown or
	// duplicate field.
	unusable bool
	// allowsUnknown is set if an unknown field is no finding, and case does not
	// distinguish names.
	allowsUnknown bool
}

// addFinding adds a finding at a byte offset.
func (w *walker) addFinding(offset int, path, message string) {
	if path == "" {
		path = Root
	}
	w.findings = append(w.findings, Finding{Position: positionAt(w.data, offset), Path: path, Message: message})
}

// offset returns the byte offset of the next token.
func (w *walker) offset() int { return nextToken(w.data, w.decoder) }

// nextToken returns the byte offset of the decoder's next token in data.
func nextToken(data []byte, decoder *jsontext.Decoder) int {
	at := int(decoder.InputOffset())
	for at < len(data) && strings.IndexByte(" \t\r\n,:", data[at]) >= 0 {
		at++
	}
	return at
}

// addSyntaxError adds a finding for a syntax error, which ends the walk.
func (w *walker) addSyntaxError(path string, err error) {
	w.hasSyntaxError, w.unusable = true, true
	at := w.offset()
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		at = int(syntactic.ByteOffset)
	}
	w.addFinding(at, path, errorMessage(err))
}

// checkValue compares the next value with t.
func (w *walker) checkValue(t reflect.Type, path string) {
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	kind := w.decoder.PeekKind()
	switch {
	case kind == '{' && t.Kind() == reflect.Struct:
		w.checkObject(t, path)
	case kind == '[' && t.Kind() == reflect.Slice:
		w.checkArray(t.Elem(), path)
	default:
		w.checkLeaf(t, path)
	}
}

// checkObject compares an object with the struct type t.
func (w *walker) checkObject(t reflect.Type, path string) {
	fields := fieldsOf(t)
	if w.allowsUnknown {
		fields = foldNames(fields)
	}
	seen := make(map[string]string)
	if !w.readDelimiter(path) {
		return
	}
	for !w.hasSyntaxError && w.decoder.PeekKind() == '"' {
		at := w.offset()
		token, err := w.decoder.ReadToken()
		if err != nil {
			w.addSyntaxError(path, err)
			return
		}
		w.checkMember(at, fields, seen, token.String(), path)
	}
	w.readDelimiter(path)
}

// checkMember compares a member of an object with the struct's fields. Its name has
// been read and begins at the byte offset at; seen holds the names before it by their
// folded form.
func (w *walker) checkMember(at int, fields map[string]reflect.Type, seen map[string]string, name, path string) {
	memberPath := name
	if path != "" {
		memberPath = path + "." + name
	}
	key := name
	if w.allowsUnknown {
		key = foldName(name)
	}
	switch first, found := seen[key]; {
	case !found:
		seen[key] = name
	case first == name:
		w.addFinding(at, memberPath, "the field is written twice")
	default:
		w.addFinding(at, memberPath, fmt.Sprintf("the field is written twice; it is also written as %q", first))
	}
	field, known := fields[key]
	if known {
		w.checkValue(field, memberPath)
		return
	}
	if !w.allowsUnknown {
		w.addFinding(at, memberPath, "unknown field"+Suggest(name, fieldNames(fields)))
	}
	if err := w.decoder.SkipValue(); err != nil {
		w.addSyntaxError(memberPath, err)
	}
}

// checkArray compares an array with a slice of type element.
func (w *walker) checkArray(element reflect.Type, path string) {
	if !w.readDelimiter(path) {
		return
	}
	for i := 0; !w.hasSyntaxError; i++ {
		kind := w.decoder.PeekKind()
		if kind == ']' {
			break
		}
		w.checkValue(element, fmt.Sprintf("%s[%d]", path, i))
	}
	w.readDelimiter(path)
}

// checkLeaf compares a value with t by decoding it: a scalar, a value of a type
// other than struct or slice, or one of the wrong kind.
func (w *walker) checkLeaf(t reflect.Type, path string) {
	at := w.offset()
	value, err := w.decoder.ReadValue()
	if err != nil {
		w.addSyntaxError(path, err)
		return
	}
	if err := json.Unmarshal(value, reflect.New(t).Interface(), json.RejectUnknownMembers(!w.allowsUnknown)); err != nil {
		w.unusable = true
		w.addFinding(at, path, errorMessage(err))
	}
}

// readDelimiter reads a delimiter and reports whether the document is valid JSON so
// far.
func (w *walker) readDelimiter(path string) bool {
	if w.hasSyntaxError {
		return false
	}
	if _, err := w.decoder.ReadToken(); err != nil {
		w.addSyntaxError(path, err)
	}
	return !w.hasSyntaxError
}

// checkEnd checks that nothing follows the value.
func (w *walker) checkEnd() {
	if w.hasSyntaxError {
		return
	}
	at := w.offset()
	if _, err := w.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		w.unusable = true
		w.addFinding(at, "", "unexpected data after the value")
	}
}

// errorMessage returns the message of a JSON error without the position that the
// library adds to it.
func errorMessage(err error) string {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		if semantic.Err != nil {
			return semantic.Err.Error()
		}
		return fmt.Sprintf("a JSON %s does not fit %s", semantic.JSONKind, semantic.GoType)
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) && syntactic.Err != nil {
		return syntactic.Err.Error()
	}
	return err.Error()
}

// fieldsOf returns the types of a struct's fields by JSON name. Fields without a
// name in their json tag are left out.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

func foldNames(fields map[string]reflect.Type) map[string]reflect.Type {
	folded := make(map[string]reflect.Type, len(fields))
	for name, t := range fields {
		folded[foldName(name)] = t
	}
	return folded
}

// foldName returns the same text for all names that encoding/json takes as equal, which
// are those that are equal under Unicode case folding.
func foldName(name string) string {
	return strings.Map(func(r rune) rune {
		for {
			next := unicode.SimpleFold(r)
			if next <= r { // the smallest rune of those that are equal follows the largest
				return next
			}
			r = next
		}
	}, name)
}

func fieldNames(fields map[string]reflect.Type) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	return names
}
