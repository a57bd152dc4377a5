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

// events writes events from, up to but without to.
func events(answer string, from, to int) string {
	var all strings.Builder
	for i := from; i < to; i++ {
		_, _ = fmt.Fprintf(&all, "id: %d\ndata: {\"id\":%q,\"model\":%q,\"text\":\"t%d\"}\n\n", i, answer, model, i)
	}
	return all.String()
}

const done = "data: [DONE]\n\n"

var errCut = errors.New("cut")

// script gives the bodies of the attempts that follow the first.
type script struct {
	bodies  []string
	offsets []int
	ended   bool
}

func (s *script) Passed(int) {}
func (s *script) Ended()     { s.ended = true }

func (s *script) Failed(offset int, resumable bool, _ error) (io.ReadCloser, error) {
	if !resumable || len(s.bodies) == 0 {
		return nil, errCut
	}
	s.offsets = append(s.offsets, offset)
	body := s.bodies[0]
	s.bodies = s.bodies[1:]
	return io.NopCloser(strings.NewReader(body)), nil
}

func TestBodyPassesOwnAnswerOnly(t *testing.T) {
	wrong := func(old, replacement string) string {
		return events("a", 0, 3) + strings.Replace(events("a", 3, 6), old, replacement, 1) + done
	}
	breaks := map[string]string{
		"truncated":        events("a", 0, 3),
		"within an event":  events("a", 0, 3) + "id: 3\ndata: {",
		"repeated":         events("a", 0, 3) + events("a", 2, 6) + done,
		"gap":              events("a", 0, 3) + events("a", 4, 6) + done,
		"other version":    wrong("tolk-1@v1", "tolk-1@v2"),
		"other answer":     wrong(`"a"`, `"b"`),
		"number lost":      wrong("id: 3\n", ""),
		"not a completion": wrong("{", "!"),
	}
	for name, first := range breaks {
		t.Run(name, func(t *testing.T) {
			resumed := &script{bodies: []string{events("b", 3, 6) + done}}
			got, err := io.ReadAll(NewBody(io.NopCloser(iotest.OneByteReader(strings.NewReader(first))), model, resumed))
			require.NoError(t, err)
			require.Equal(t, events("a", 0, 3)+events("b", 3, 6)+done, string(got))
			require.Equal(t, []int{3}, resumed.offsets)
			require.True(t, resumed.ended)

			cut := &script{}
			got, err = io.ReadAll(NewBody(io.NopCloser(strings.NewReader(first)), model, cut))
			require.ErrorIs(t, err, errCut)
			require.Equal(t, events("a", 0, 3), string(got))
			require.False(t, cut.ended)
		})
	}
}

func TestBodyWithoutNumbersIsNeverResumed(t *testing.T) {
	plain := "data: {\"id\":\"a\",\"model\":\"" + model + "\"}\n\n"
	resumer := &script{bodies: []string{plain + done}}
	got, err := io.ReadAll(NewBody(io.NopCloser(strings.NewReader(plain)), model, resumer))
	require.ErrorIs(t, err, errCut)
	require.Equal(t, plain, string(got))
	got, err = io.ReadAll(NewBody(io.NopCloser(strings.NewReader(plain+plain+done)), model, &script{}))
	require.NoError(t, err)
	require.Equal(t, plain+plain+done, string(got))
}

func TestPrimeRefusesWrongStart(t *testing.T) {
	for _, first := range []string{"", strings.ReplaceAll(events("a", 0, 2), "v1", "v2") + done, events("a", 1, 2) + done} {
		require.ErrorIs(t, NewBody(io.NopCloser(strings.NewReader(first)), model, &script{}).Prime(), errCut)
	}
}

func FuzzReader(f *testing.F) {
	for _, seed := range []string{events("a", 0, 2) + done, ": ping\n\nid: x\r\ndata: a\r\ndata: b\r\n\r\n", "data\n\n", "id: 1\ndata: {"} {
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
		require.True(t, bytes.HasPrefix(input, raw), "events are passed on as they came")
	})
}
