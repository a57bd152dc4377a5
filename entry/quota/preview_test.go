package quota

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// An explanation must not call a meter, take quota or count as a request.
func TestPreviewTakesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Second) // calls in progress end
		w := newSimWorld(4, ordinary)
		time.Sleep(5 * time.Second)
		client := w.nodes[3].client
		require.Equal(t, Preview{}, client.Preview(tokens(ordinary), 200), "a meter has to be asked")
		require.True(t, client.Preview(nil, 200).Result.Admitted)
		impossible := client.Preview(tokens(ordinary), 1<<30)
		require.True(t, impossible.Known)
		require.False(t, impossible.Result.Admitted)
		require.GreaterOrEqual(t, impossible.Result.RetryAfter, time.Minute)
		require.Empty(t, client.all())
		require.Zero(t, w.calls())
		spending, result := client.Take(context.Background(), tokens(ordinary), 200, 0)
		require.True(t, result.Admitted)
		client.Return(spending)
		calls, counts := w.calls(), client.all()[0].Counts
		for range 3 {
			require.Equal(t, Preview{Held: 200, Known: true, Result: Result{Admitted: true}}, client.Preview(tokens(ordinary), 200))
		}
		require.Equal(t, calls, w.calls())
		require.Equal(t, counts, client.all()[0].Counts)
	})
}
