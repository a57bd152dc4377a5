package recovery

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func count(words map[string]int) { words["x"]++ }

func TestALoopGoesOnAfterAPanic(t *testing.T) {
	var reported []*Panic
	runs := 0
	Loop(context.Background(), func(p *Panic) { reported = append(reported, p) }, "loop", func(context.Context) {
		if runs++; runs == 1 {
			count(nil)
		}
	})
	require.Equal(t, 2, runs)
	require.Len(t, reported, 1)
	require.Contains(t, reported[0].Error(), "panic in loop: assignment to entry in nil map")
	require.Contains(t, reported[0].Stack, "TestALoopGoesOnAfterAPanic")
}

func TestALoopThatPanicsAlwaysEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	runs := 0
	Loop(ctx, func(*Panic) {}, "loop", func(context.Context) { runs++; panic("again") })
	require.Equal(t, 1, runs, "the pause bounds what it costs")
}
