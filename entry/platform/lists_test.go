package platform_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/platform"
)

const instances = `[
  {"name": "a", "dataCentre": "dc", "peerAddress": "127.0.0.1:1", "controlAddress": "127.0.0.1:2", "state": "live", "zone": 1},
  {"name": "b", "dataCentre": "dc", "peerAddress": "host:1", "controlAddress": "127.0.0.1:2", "state": "leavin"}
]`

func TestListsKeepWhatCanBeUsed(t *testing.T) {
	list, findings := platform.ParseInstances([]byte(instances))
	require.Len(t, list, 1)
	require.EqualError(t, findings, `2:117: [0].zone: unknown field
3:37: [1].peerAddress: "host:1" is not an IP address and port
3:95: [1].state: "leavin" is not live or leaving; did you mean "leaving"?`)
	none, findings := platform.ParseInstances([]byte(`{"name": "a"}`))
	require.Nil(t, none)
	require.NotEmpty(t, findings)
}

// oddItems are items of a list that name nothing that could be used.
func oddItems(valid string) map[string]string {
	const deep = 100_000
	with := func(old, replacement string) string {
		odd := strings.Replace(valid, old, replacement, 1)
		if odd == valid {
			panic("no " + old + " in " + valid)
		}
		return odd
	}
	return map[string]string{
		"null": "null", "number": "1", "text": `"b"`, "list": "[]", "empty": "{}", "nothing": "",
		"deep":          strings.Repeat("[", deep) + strings.Repeat("]", deep),
		"deep field":    with("{", `{"more":`+strings.Repeat(`{"a":`, deep)+"1"+strings.Repeat("}", deep)+","),
		"no JSON":       with(`"state":`, `"state"`),
		"cut text":      with(`"state":"live"`, `"state":"\u12"`),
		"name a number": with(`"name":"b"`, `"name":1`),
		"name a list":   with(`"name":"b"`, `"name":["b"]`),
		"name not UTF8": with(`"name":"b"`, "\"name\":\"\xff\""),
		"no name":       with(`"name":"b"`, `"name":""`),
		"state of 400":  with(`"state":"live"`, `"state":`+strings.Repeat("9", 400)),
		"state unknown": with(`"state":"live"`, `"state":"resting"`),
		"no state":      with(`,"state":"live"`, ""),
	}
}

// TestAnOddItemLosesNoOther guards against a list of which one item is odd, so that the
// whole list, or every change of it, is lost.
func TestAnOddItemLosesNoOther(t *testing.T) {
	instance := func(name string) string {
		return `{"name":"` + name + `","dataCentre":"dc","peerAddress":"127.0.0.1:1","controlAddress":"127.0.0.1:2","state":"live"}`
	}
	odd := oddItems(instance("b"))
	for name, address := range map[string]string{
		"port 65536": "127.0.0.1:65536", "port 0": "127.0.0.1:0", "no port": "127.0.0.1", "no host": ":1", "host name": "localhost:1",
		"any host": "0.0.0.0:1", "any host of IPv6": "[::]:1", "lines": `127.0.0.1:1\r\nX: y`,
	} {
		odd[name] = strings.Replace(instance("b"), "127.0.0.1:1", address, 1)
	}
	for name, item := range odd {
		list, findings := platform.ParseInstances([]byte("[" + instance("a") + "," + item + ",\n " + instance("c") + "]"))
		require.Len(t, list, 2, name)
		require.Equal(t, []string{"a", "c"}, []string{list[0].Name, list[1].Name}, name)
		require.NotEmpty(t, findings, name)
		for _, f := range findings {
			require.True(t, strings.HasPrefix(f.Path, "[1]"), "%s: %s", name, f)
		}
	}
	endpoint := func(name string) string { return `{"name":"` + name + `","state":"live"}` }
	for name, item := range oddItems(endpoint("b")) {
		list, findings := platform.ParseEndpoints([]byte("[" + endpoint("a") + "," + item + "," + endpoint("c") + "]"))
		require.Len(t, list, 2, name)
		require.NotEmpty(t, findings, name)
	}
}

// TestAListThatIsCutOffIsNoShorterList guards against taking what is left of a list for
// all of it.
func TestAListThatIsCutOffIsNoShorterList(t *testing.T) {
	for cut := 1; cut < len(instances); cut++ {
		list, findings := platform.ParseInstances([]byte(instances[:cut]))
		require.Nil(t, list, cut)
		require.NotEmpty(t, findings, cut)
	}
}

func FuzzInstances(f *testing.F) {
	f.Add([]byte(instances))
	f.Add([]byte(`[null, {}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, findings := platform.ParseInstances(data)
		for _, i := range list {
			require.NotEmpty(t, i.Name)
		}
		require.False(t, list == nil && len(findings) == 0)
	})
}

func FuzzEndpoints(f *testing.F) {
	f.Add([]byte(`[{"name": "w-0", "state": "leaving"}, {"name": "", "state": "x"}]`))
	f.Add([]byte(`[{"name": "w-0", "name": "w-1"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		list, findings := platform.ParseEndpoints(data)
		for _, e := range list {
			require.NotEmpty(t, e.Name)
		}
		require.False(t, list == nil && len(findings) == 0)
	})
}
