package check

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"

	"github.com/bulrushwick/bulrushwick/coord/member"
	"github.com/bulrushwick/bulrushwick/coord/table"
	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/entry/fleet"
	"github.com/bulrushwick/bulrushwick/entry/settings"
	users "github.com/bulrushwick/bulrushwick/platform"
)

// kind is the type of document that a file holds.
type kind int

const (
	chunkKind kind = iota
	manifestKind
	settingsKind
	directSettingsKind
	instancesKind
	endpointsKind
	templateKind
	configurationKind
)

// objectKinds are the kinds whose document is a JSON object, listKinds those whose
// document is a list. A file has the kind that knows the most of its fields; of
// several such kinds, the first.
var (
	objectKinds = []candidate{
		{chunkKind, reflect.TypeFor[table.Chunk]()},
		{manifestKind, reflect.TypeFor[table.Manifest]()},
		{settingsKind, reflect.TypeFor[settings.Settings]()},
		{directSettingsKind, reflect.TypeFor[direct.Settings]()},
		{configurationKind, users.ConfigFields()},
	}
	listKinds = []candidate{
		{endpointsKind, reflect.TypeFor[fleet.EndpointState]()},
		{instancesKind, reflect.TypeFor[member.Instance]()},
	}
)

// candidate is a kind and the struct type whose JSON fields identify it.
type candidate struct {
	kind   kind
	schema reflect.Type
}

// kindOf detects the kind of a file from its fields. A file that isn't valid JSON
// counts as a chunk, an empty or invalid list as a list of endpoints.
func kindOf(data []byte) kind {
	if bytes.Contains(data, []byte("{{")) {
		return templateKind
	}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		var fields map[string]json.RawMessage
		_ = json.Unmarshal(data, &fields) // syntax errors are reported by the check of the kind
		return bestMatch(objectKinds, fields)
	}
	var list []map[string]json.RawMessage
	_ = json.Unmarshal(data, &list)
	if len(list) == 0 {
		return endpointsKind
	}
	return bestMatch(listKinds, list[0])
}

// bestMatch returns the first candidate that knows the most of fields, or the
// first of all if none knows any.
func bestMatch(candidates []candidate, fields map[string]json.RawMessage) kind {
	best, mostKnown := candidates[0].kind, 0
	for _, c := range candidates {
		if known := countKnownFields(c.schema, fields); known > mostKnown {
			best, mostKnown = c.kind, known
		}
	}
	return best
}

// countKnownFields returns how many of fields are JSON fields of schema.
func countKnownFields(schema reflect.Type, fields map[string]json.RawMessage) int {
	known := 0
	for i := range schema.NumField() {
		name, _, _ := strings.Cut(schema.Field(i).Tag.Get("json"), ",")
		if _, found := fields[name]; found {
			known++
		}
	}
	return known
}
