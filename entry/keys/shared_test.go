package keys

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/coord/attempt"
)

type countingCloser struct{ closed int }

func (c *countingCloser) Close() error {
	c.closed++
	return nil
}

// TestSharedBodyIsHeldByItsSends guards against bytes that are returned while a send of
// the key still writes them, or never.
func TestSharedBodyIsHeldByItsSends(t *testing.T) {
	source := &countingCloser{}
	k := &Keys{waiting: map[uint64]chan decision{1: make(chan decision, 1), 2: make(chan decision, 1)}}
	d := decision{answer: attempt.Answer{Body: []byte("x")}, body: newShared(source)}
	waiting := []chan decision{k.waiting[1], k.waiting[2]}
	for id := range uint64(4) { // 0 and 3 do not wait any more
		k.decide(id, d)
	}
	d.body.release()
	for _, decided := range waiting {
		require.Zero(t, source.closed)
		answer, err := answerOf(<-decided)
		require.NoError(t, err)
		require.NoError(t, answer.Body.Close())
		require.NoError(t, answer.Body.Close())
	}
	require.Equal(t, 1, source.closed)
}
