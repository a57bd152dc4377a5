package keyscope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCutsCostNamedDataCentreNothing is what the choice of the scope rests on.
func TestCutsCostNamedDataCentreNothing(t *testing.T) {
	for _, fault := range []Fault{None, DataCentreCut, RegionCut} {
		result, err := Run(Scopes()[0], fault)
		require.NoError(t, err)
		require.Zero(t, result.Refused, fault)
		require.Zero(t, result.Unknown, fault)
	}
}
