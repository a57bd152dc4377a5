package strictjson

import (
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

// pathReplacer turns a path such as routes[3].pool into routes/3/pool.
var toPointer = strings.NewReplacer("[", "/", "]", "", ".", "/")

// Locate returns the position of each path in data. A path that doesn't exist gets
// the position of its innermost existing parent.
func Locate(data []byte, paths []string) []Position {
	wanted := make(map[string]int, len(paths))
	for _, path := range paths {
		for p := pointer(path); p != ""; p = parent(p) {
			wanted[p] = -1
		}
	}
	fill(data, wanted)
	positions := make([]Position, len(paths))
	for i, path := range paths {
		positions[i] = positionAt(data, nearest(data, wanted, pointer(path)))
	}
	return positions
}

// recordOffsets sets the byte offset of each pointer in offsets that data has. The
// others keep -1.
func fill(data []byte, wanted map[string]int) {
	decoder := newDecoder(data)
	for {
		at := nextToken(data, decoder)
		if _, err := decoder.ReadToken(); err != nil {
			return
		}
		p := string(decoder.StackPointer())
		if offset, found := wanted[p]; found && offset < 0 {
			wanted[p] = at
		}
	}
}

// nearestOffset returns the offset of p, or of its innermost parent that data has.
func nearest(data []byte, wanted map[string]int, p string) int {
	for ; p != ""; p = parent(p) {
		if offset := wanted[p]; offset >= 0 {
			return offset
		}
	}
	return nextToken(data, jsontext.NewDecoder(&reader{}))
}

// toPointer converts a path to a JSON pointer.
func pointer(path string) string {
	if path == Root || path == "" {
		return ""
	}
	return "/" + strings.TrimPrefix(toPointer.Replace(path), "/")
}

// parent returns the JSON pointer of the value around p.
func parent(p string) string { return p[:strings.LastIndexByte(p, '/')] }
