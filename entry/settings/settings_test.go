package settings_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/settings"
)

// TestParseReportsEveryFindingWithItsPlace checks that one call reports all findings,
// each with the line and column of its field.
func TestParseReportsEveryFindingWithItsPlace(t *testing.T) {
	_, err := settings.Parse([]byte(`{
  "instance": "entry-0",
  "instance": "entry-1",
  "dataCenter": "tln-a",
  "callerAddress": "localhost:80",
  "peerAddress": "127.0.0.1:0",
  "controlAddress": "127.0.0.1:0",
  "platformAddress": "127.0.0.1:0",
  "queueLimit": 0
}`))
	require.Equal(t, strings.Split(`1:1: dataCentre: is empty
3:3: instance: the field is written twice
4:3: dataCenter: unknown field; did you mean "dataCentre"?
5:3: callerAddress: "localhost:80" is not an IP address and port
9:3: queueLimit: must be at least 1`, "\n"), strings.Split(err.Error(), "\n"))
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"instance": "a", "heartbeatEvery": "1s"}`))
	f.Add([]byte(`{"watchWait": 3}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.Parse(data); err != nil {
			require.NotEmpty(t, err.Error())
		}
	})
}
