package strictjson

import (
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// pathReplacer turns a path such as routes[3].pool into routes/3/pool.
var pathReplacer = strings.NewReplacer("[", "/", "]", "", ".", "/")

// Locate returns the position of each path in data. A path that doesn't exist gets
// the position of its innermost existing parent.
func Locate(data []byte, paths []string) []Position {
	offsets := make(map[string]int, len(paths))
	for _, path := range paths {
		for p := toPointer(path); p != ""; p = parent(p) {
			offsets[p] = -1
		}
	}
	recordOffsets(data, offsets)
	positions := make([]Position, len(paths))
	for i, path := range paths {
		positions[i] = positionAt(data, nearestOffset(data, offsets, toPointer(path)))
	}
	return positions
}

// recordOffsets sets the byte offset of each pointer in offsets that data has. The
// others keep -1.
func recordOffsets(data []byte, offsets map[string]int) {
	decoder := newDecoder(data)
	for {
		at := nextToken(data, decoder)
		if _, err := decoder.ReadToken(); err != nil {
			return
		}
		p := string(decoder.StackPointer())
		if offset, found := offsets[p]; found && offset < 0 {
			offsets[p] = at
		}
	}
}

// nearestOffset returns the offset of p, or of its innermost parent that data has.
func nearestOffset(data []byte, offsets map[string]int, p string) int {
	for ; p != ""; p = parent(p) {
		if offset := offsets[p]; offset >= 0 {
			return offset
		}
	}
	return nextToken(data, jsontext.NewDecoder(&byteReader{}))
}

// toPointer converts a path to a JSON pointer.
func toPointer(path string) string {
	if path == Root || path == "" {
		return ""
	}
	return "/" + strings.TrimPrefix(pathReplacer.Replace(path), "/")
}

// parent returns the JSON pointer of the value around p.
func parent(p string) string { return p[:strings.LastIndexByte(p, '/')] }
