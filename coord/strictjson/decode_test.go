package strictjson_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/strictjson"
)

type inner struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

type document struct {
	Title string  `json:"title"`
	Items []inner `json:"items"`
	One   *inner  `json:"one"`
}

func decode(data []byte, d *document) []string {
	findings, _ := strictjson.Decode(data, d)
	var lines []string
	for _, f := range findings {
		lines = append(lines, f.String())
	}
	return lines
}

func TestDecodeCollectsEveryFinding(t *testing.T) {
	data := []byte(`{
  "title": 7,
  "itms": [1],
  "items": [
    {"name": "a", "count": "x"},
    {"name": "b", "name": "c"}
  ],
  "one": {"cuont": 1}
}`)
	var d document
	require.Equal(t, []string{
		`2:12: title: a JSON number does not fit string`,
		`3:3: itms: unknown field; did you mean "items"?`,
		`5:28: items[0].count: a JSON string does not fit int`,
		`6:19: items[1].name: the field is written twice`,
		`8:11: one.cuont: unknown field; did you mean "count"?`,
	}, decode(data, &d))
}

func TestDecodeEdges(t *testing.T) {
	for name, data := range map[string]string{
		"empty": "", "cut": `{"title": "a`, "trailing": `{} {}`, "array": `[]`, "case": `{"Title": "a"}`,
		"hidden duplicate": `{"unknown": {"a": 1, "a": 2}}`, "bad utf8": "{\"title\": \"\xff\"}",
	} {
		var d document
		require.NotEmpty(t, decode([]byte(data), &d), name)
	}
	var d document
	require.Empty(t, decode([]byte(`{"title": "a", "items": null}`), &d))
	require.Equal(t, "a", d.Title)
}

func TestDecodeKeepsWhatMayBeCheckedFurther(t *testing.T) {
	d := document{Title: "default"}
	findings, usable := strictjson.Decode([]byte(`{"items": [{"name": "x"}], "more": 1}`), &d)
	require.Len(t, findings, 1)
	require.True(t, usable)
	require.Equal(t, document{Title: "default", Items: []inner{{Name: "x"}}}, d)
	_, usable = strictjson.Decode([]byte(`{"items": 1}`), &d)
	require.False(t, usable)
}

// TestDecodeKnownAllowsUnknownFields guards against a document that is rejected because its
// writer added a field, and against a finding that is missed beside one.
func TestDecodeKnownAllowsUnknownFields(t *testing.T) {
	var d document
	findings, usable := strictjson.DecodeKnown([]byte(`{"more": {"a": 1, "a": 2}, "title": "t", "one": {"extra": [1], "count": 3}}`), &d)
	require.Empty(t, findings)
	require.True(t, usable)
	require.Equal(t, document{Title: "t", One: &inner{Count: 3}}, d)
	findings, usable = strictjson.DecodeKnown([]byte(`{"more": 1, "title": 7, "one": {"count": "x"}}`), &d)
	require.False(t, usable)
	require.Len(t, findings, 2)
	findings, usable = strictjson.DecodeKnown([]byte(`{"title": "a", "title": "b"}`), &d)
	require.Len(t, findings, 1)
	require.True(t, usable)
	_, usable = strictjson.DecodeKnown([]byte(`{"title": "a"`), &d)
	require.False(t, usable)
}

func TestLocateFallsBackToTheValueAround(t *testing.T) {
	data := []byte("{\n \"items\": [\n  {\"name\": \"a\"},\n  {\"name\": \"b\"}\n ]\n}")
	require.Equal(t, []strictjson.Position{{Line: 4, Column: 4}, {Line: 3, Column: 3}, {Line: 1, Column: 1}},
		strictjson.Locate(data, []string{"items[1].name", "items[0].count", "absent"}))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"title": "a", "items": [{"name": "x", "count": 1}]}`))
	f.Add([]byte(`{"title": 1, "title": 2, "x": [`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d document
		findings, _ := strictjson.Decode(data, &d)
		for _, finding := range findings {
			require.Positive(t, finding.Line)
			require.Positive(t, finding.Column)
			require.NotEmpty(t, finding.Path)
		}
	})
}
