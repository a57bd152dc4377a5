package e2e

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/direct"
	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// TestSettingsPageSaysWhatTheCodeSays guards against a settings page that was not
// updated with the code: it must have one row per setting of serve, then of direct, with the default and
// the doc comment from the code, and no other row.
func TestSettingsPageSaysWhatTheCodeSays(t *testing.T) {
	want := settingRows(t, settingComments(t, "entry/settings"), "", reflect.ValueOf(settings.Default()))
	want = append(want, settingRows(t, settingComments(t, "entry/direct"), "", reflect.ValueOf(direct.DefaultSettings()))...)
	text, err := os.ReadFile(filepath.Join(repoRoot, "docs/operate/settings.md"))
	require.NoError(t, err)
	var got []string
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	require.Equal(t, strings.Join(want, "\n"), strings.Join(got, "\n"))
}

// settingRows returns one page row per field of a struct, nested structs included.
func settingRows(t *testing.T, comments map[string]string, prefix string, value reflect.Value) []string {
	t.Helper()
	var rows []string
	for i := range value.NumField() {
		field := value.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if field.Type.Kind() == reflect.Struct {
			rows = append(rows, settingRows(t, comments, prefix+name+".", value.Field(i))...)
			continue
		}
		data, err := json.Marshal(value.Field(i).Interface())
		require.NoError(t, err)
		comment := comments[value.Type().Name()+"."+field.Name]
		require.NotEmpty(t, comment, "%s%s has no comment", prefix, name)
		rows = append(rows, fmt.Sprintf("| `%s%s` | `%s` | %s |", prefix, name, data, comment))
	}
	return rows
}

// settingComments returns the doc comment of each struct field of a package by Type.Field, on
// one line and without the default, which has a column of its own.
func settingComments(t *testing.T, dir string) map[string]string {
	t.Helper()
	comments := make(map[string]string)
	files, err := filepath.Glob(filepath.Join(repoRoot, dir, "*.go"))
	require.NoError(t, err)
	for _, file := range files {
		parsed, err := parser.ParseFile(token.NewFileSet(), file, nil, parser.ParseComments)
		require.NoError(t, err)
		ast.Inspect(parsed, func(n ast.Node) bool {
			spec, ok := n.(*ast.TypeSpec)
			if !ok {
				return true
			}
			fields, ok := spec.Type.(*ast.StructType)
			if !ok {
				return true
			}
			for _, field := range fields.Fields.List {
				for _, name := range field.Names {
					text := strings.Join(strings.Fields(field.Doc.Text()), " ")
					text, _, _ = strings.Cut(text, " Default:")
					comments[spec.Name.Name+"."+name.Name] = text
				}
			}
			return true
		})
	}
	return comments
}
