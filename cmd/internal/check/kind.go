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
)

// kind is what a file holds.
type kind int

const (
	chunkKind kind = iota
	manifestKind
	settingsKind
	directSettingsKind
	instancesKind
	endpointsKind
	templateKind
)

// objects and entries are the kinds of files that hold an object or a list. The
// first of those with the most known fields is taken.
var (
	objects = []candidate{
		{chunkKind, reflect.TypeFor[table.Chunk]()},
		{manifestKind, reflect.TypeFor[table.Manifest]()},
		{settingsKind, reflect.TypeFor[settings.Settings]()},
		{directSettingsKind, reflect.TypeFor[direct.Settings]()},
	}
	entries = []candidate{
		{endpointsKind, reflect.TypeFor[fleet.EndpointState]()},
		{instancesKind, reflect.TypeFor[member.Instance]()},
	}
)

type candidate struct {
	kind kind
	form reflect.Type
}

// kindOf tells a file's kind by its fields. What is no JSON counts as a chunk.
func kindOf(data []byte) kind {
	if bytes.Contains(data, []byte("{{")) {
		return templateKind
	}
	if !bytes.HasPrefix(bytes.TrimSpace(data), []byte("[")) {
		var fields map[string]json.RawMessage
		_ = json.Unmarshal(data, &fields) // its defects are found later
		return nearest(objects, fields)
	}
	var list []map[string]json.RawMessage
	_ = json.Unmarshal(data, &list)
	if len(list) == 0 {
		return endpointsKind
	}
	return nearest(entries, list[0])
}

func nearest(candidates []candidate, fields map[string]json.RawMessage) kind {
	best, most := candidates[0].kind, 0
	for _, c := range candidates {
		if known := countKnown(c.form, fields); known > most {
			best, most = c.kind, known
		}
	}
	return best
}

func countKnown(form reflect.Type, fields map[string]json.RawMessage) int {
	known := 0
	for i := range form.NumField() {
		name, _, _ := strings.Cut(form.Field(i).Tag.Get("json"), ",")
		if _, found := fields[name]; found {
			known++
		}
	}
	return known
}
