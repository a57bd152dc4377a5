package stream

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

const model = "tolk-1@v1"

// eventText returns the events with the ids from up to, but not including, to.
func eventText(responseID string, from, to int) string {
	var all strings.Builder
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(&all, "id: %d\ndata: {\"id\":%q,\"model\":%q,\"text\":\"t%d\"}\n\n", i, responseID, model, i)
	}
	return all.String()
}

const doneEvent = "data: [DONE]\n\n"

var errTruncated = errors.New("cut")

// scriptedResumer is a Resumer that returns prepared bodies for the attempts
// after the first, and errTruncated if none is left or the stream can't be
// resumed.
type scriptedResumer struct {
	bodies    []string
	offsets   []int
	completed bool
}

func (s *scriptedResumer) Delivered(int) {}
func (s *scriptedResumer) Completed()    { s.completed = true }

func (s *scriptedResumer) Resume(offset int, resumable bool, _ error) (io.ReadCloser, error) {
	if !resumable || len(s.bodies) == 0 {
		return nil, errTruncated
	}
	s.offsets = append(s.offsets, offset)
	body := s.bodies[0]
	s.bodies = s.bodies[1:]
	return io.NopCloser(strings.NewReader(body)), nil
}

func TestBodyDeliversOnlyItsOwnResponse(t *testing.T) {
	withReplacement := func(old, replacement string) string {
		return eventText("a", 0, 3) + strings.Replace(eventText("a", 3, 6), old, replacement, 1) + doneEvent
	}
	failures := map[string]string{
		"truncated":        eventText("a", 0, 3),
		"within an event":  eventText("a", 0, 3) + "id: 3\ndata: {",
		"repeated":         eventText("a", 0, 3) + eventText("a", 2, 6) + doneEvent,
		"gap":              eventText("a", 0, 3) + eventText("a", 4, 6) + doneEvent,
		"other version":    withReplacement("tolk-1@v1", "tolk-1@v2"),
		"other response":   withReplacement(`"a"`, `"b"`),
		"missing id":       withReplacement("id: 3\n", ""),
		"not a completion": withReplacement("{", "!"),
	}
	for name, firstBody := range failures {
		t.Run(name, func(t *testing.T) {
			resumed := &scriptedResumer{bodies: []string{eventText("b", 3, 6) + doneEvent}}
			got, err := io.ReadAll(NewBody(io.NopCloser(iotest.OneByteReader(strings.NewReader(firstBody))), model, resumed))
			require.NoError(t, err)
			require.Equal(t, eventText("a", 0, 3)+eventText("b", 3, 6)+doneEvent, string(got))
			require.Equal(t, []int{3}, resumed.offsets)
			require.True(t, resumed.completed)

			truncated := &scriptedResumer{}
			got, err = io.ReadAll(NewBody(io.NopCloser(strings.NewReader(firstBody)), model, truncated))
			require.ErrorIs(t, err, errTruncated)
			require.Equal(t, eventText("a", 0, 3), string(got))
			require.False(t, truncated.completed)
		})
	}
}

func TestBodyWithoutEventIDsIsNeverResumed(t *testing.T) {
	plain := "data: {\"id\":\"a\",\"model\":\"" + model + "\"}\n\n"
	resumer := &scriptedResumer{bodies: []string{plain + doneEvent}}
	got, err := io.ReadAll(NewBody(io.NopCloser(strings.NewReader(plain)), model, resumer))
	require.ErrorIs(t, err, errTruncated)
	require.Equal(t, plain, string(got))
	got, err = io.ReadAll(NewBody(io.NopCloser(strings.NewReader(plain+plain+doneEvent)), model, &scriptedResumer{}))
	require.NoError(t, err)
	require.Equal(t, plain+plain+doneEvent, string(got))
}

func TestPrimeRejectsInvalidStart(t *testing.T) {
	for _, body := range []string{"", strings.ReplaceAll(eventText("a", 0, 2), "v1", "v2") + doneEvent, eventText("a", 1, 2) + doneEvent} {
		require.ErrorIs(t, NewBody(io.NopCloser(strings.NewReader(body)), model, &scriptedResumer{}).Prime(), errTruncated)
	}
}

func FuzzReader(f *testing.F) {
	for _, seed := range []string{eventText("a", 0, 2) + doneEvent, ": ping\n\nid: x\r\ndata: a\r\ndata: b\r\n\r\n", "data\n\n", "id: 1\ndata: {"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := NewReader(iotest.HalfReader(bytes.NewReader(input)))
		var raw []byte
		for {
			event, err := reader.Next()
			if err != nil {
				break
			}
			require.NotEmpty(t, event.Raw)
			raw = append(raw, event.Raw...)
		}
		require.True(t, bytes.HasPrefix(input, raw), "the events must equal the input byte for byte")
	})
}
