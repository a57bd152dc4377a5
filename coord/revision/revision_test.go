package revision

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func at(t *testing.T, era, revision uint64) Version {
	t.Helper()
	v, err := New(era, revision)
	require.NoError(t, err)
	return v
}

func TestErasComeBeforeRevisions(t *testing.T) {
	ordered := []Version{{}, at(t, 0, 1), at(t, 0, MaxRevision), at(t, 1, 0), at(t, 1, 7), at(t, 2, 3), at(t, MaxEra, MaxRevision)}
	for i, v := range ordered {
		require.Equal(t, v, Decode(v.Encode()))
		require.Equal(t, v, at(t, v.Era(), v.Revision()))
		for j, other := range ordered {
			require.Equal(t, i > j, v.After(other), "%v %v", v, other)
			require.Equal(t, ordered[max(i, j)], Latest(v, other))
			require.Equal(t, i > j, v.Encode() > other.Encode(), "an older release orders them in the same way")
		}
	}
	require.EqualValues(t, 7, at(t, 0, 7).Encode(), "an older release writes the revision alone")
}

func TestVersionsOutOfRangeAreRejected(t *testing.T) {
	for _, c := range [][2]uint64{{MaxEra + 1, 1}, {math.MaxUint64, 1}, {1, MaxRevision + 1}, {0, math.MaxUint64}} {
		_, err := New(c[0], c[1])
		require.Error(t, err)
	}
}
