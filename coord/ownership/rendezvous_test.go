package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFirstIsTheFirstOfTheRanking(t *testing.T) {
	require.Empty(t, First("k", nil))
	candidates := []string{"e", "b", "a", "d", "c"}
	for i := range 200 {
		key := fmt.Sprint(i)
		require.Equal(t, Rank(key, candidates)[0], First(key, candidates))
	}
}
