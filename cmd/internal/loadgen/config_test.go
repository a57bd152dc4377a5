package loadgen

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/table"
)

func TestMixParsesItsString(t *testing.T) {
	var m Mix
	require.NoError(t, m.Set("patient=9,urgent=1"))
	require.Equal(t, "urgent=1,normal=0,patient=9", m.String())
	require.Equal(t, table.Urgent, m.rank(0))
	require.Equal(t, table.Patient, m.rank(1))
	for _, wrong := range []string{"hasty=1", "urgent", "urgent=-1", "urgent=x"} {
		require.Error(t, m.Set(wrong), wrong)
	}
	require.Equal(t, "urgent=1,normal=0,patient=9", m.String(), "an invalid mix leaves the value unchanged")
}

func TestValidateReportsAllFindings(t *testing.T) {
	c := DefaultConfig()
	c.Rate, c.Skew, c.Entries = 0, 1, []string{"somewhere"}
	err := c.Validate()
	for _, finding := range []string{"rate", "skew", "somewhere"} {
		require.ErrorContains(t, err, finding)
	}
}
