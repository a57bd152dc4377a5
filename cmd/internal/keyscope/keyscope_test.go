package keyscope

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPartitionsDoNotAffectNamedDataCentre checks why the scope "data centre,
// named" was chosen: without a fault and during partitions no order is refused
// and no outcome unknown.
func TestPartitionsDoNotAffectNamedDataCentre(t *testing.T) {
	for _, fault := range []Fault{None, DataCentreCut, RegionCut} {
		result, err := Run(Scopes()[0], fault)
		require.NoError(t, err)
		require.Zero(t, result.Refused, fault)
		require.Zero(t, result.Unknown, fault)
	}
}
