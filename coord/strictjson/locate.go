package strictjson

import (
	"strings"

	"github.com/go-json-experiment/json/jsontext"
)

var toPointer = strings.NewReplacer("[", "/", "]", "", ".", "/")

// Locate returns the place of each path in data. A path that is not there takes
// the place of the nearest value around it.
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

// fill records the offset of every wanted pointer.
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

func nearest(data []byte, wanted map[string]int, p string) int {
	for ; p != ""; p = parent(p) {
		if offset := wanted[p]; offset >= 0 {
			return offset
		}
	}
	return nextToken(data, jsontext.NewDecoder(&reader{}))
}

func pointer(path string) string {
	if path == Root || path == "" {
		return ""
	}
	return "/" + strings.TrimPrefix(toPointer.Replace(path), "/")
}

func parent(p string) string { return p[:strings.LastIndexByte(p, '/')] }
