package routing

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func testTable() *Table {
	return NewTable(&Config{Version: 3, Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
}

func TestTheLongestPrefixOfTheHostWins(t *testing.T) {
	for path, want := range map[string]string{"/x/y/z": "deep", "/x/yz": "short", "/q": "all", "/x": "all"} {
		require.Equal(t, want, testTable().Match("A.example:80", path).Name, path)
	}
	require.Equal(t, "other", testTable().Match("b.example", "/x/y/").Name)
	require.Nil(t, testTable().Match("b.example", "/q"))
	require.Nil(t, testTable().Match("c.example", "/x/"))
}

func TestTargetsShareByWeight(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 2000 {
		id := string(rune('a'+i%26)) + string(rune('a'+i/26%26)) + string(rune('a'+i/676))
		counts[r.Service(id)]++
		require.Equal(t, r.Service(id), r.Service(id))
	}
	require.InDelta(t, 200, counts["b"], 80)
	require.Equal(t, 2000, counts["a"]+counts["b"])
}

func TestARegisterIgnoresOlderVersions(t *testing.T) {
	var g Register
	require.Nil(t, g.Current())
	require.True(t, g.Offer(&Config{Version: 5}))
	require.False(t, g.Offer(&Config{Version: 4}))
	require.False(t, g.Offer(&Config{Version: 5}))
	require.True(t, g.Offer(&Config{Version: 9}))
	require.EqualValues(t, 9, g.Version())
}

func BenchmarkAuthenticate(b *testing.B) {
	config := &Config{}
	for o := range 16 {
		organisation := Organisation{Name: fmt.Sprint(o)}
		for k := range 8 {
			organisation.Keys = append(organisation.Keys, DigestKey(fmt.Sprintf("sk-%d-%d-0123456789abcdef0123456789", o, k)))
		}
		config.Organisations = append(config.Organisations, organisation)
	}
	table := NewTable(config)
	for b.Loop() {
		if table.Authenticate(DigestKey("sk-7-3-0123456789abcdef0123456789")) == nil {
			b.Fatal("unknown")
		}
	}
}
