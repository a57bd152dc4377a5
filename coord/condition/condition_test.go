package condition

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestSuspicionExpires(t *testing.T) {
	var h Health
	for range suspectConsecutive {
		h.Observe(time.Second, false)
	}
	require.True(t, h.Suspect(time.Second))
	require.False(t, h.Suspect(time.Second+suspectDuration+1))
}

// TestAFailureRateOfOneSeventhIsNotSuspect covers plain services that fail that
// often in normal operation.
func TestAFailureRateOfOneSeventhIsNotSuspect(t *testing.T) {
	var h Health
	for i := range 70 {
		h.Observe(time.Second, i%7 != 0)
		require.False(t, h.Suspect(time.Second))
	}
	for i := range 30 {
		h.Observe(time.Second, i%2 == 0)
	}
	require.True(t, h.Suspect(time.Second), "half of them fail")
}

func TestReportsAgeAndOwnRequestsAreAdded(t *testing.T) {
	var l Load
	_, known := l.InProgress(0)
	require.False(t, known)
	l.Sent()
	l.Observe(time.Second, LoadReport{Running: 5, Waiting: 2, Slots: 8})
	l.Sent()
	l.Sent()
	l.Ended()
	n, known := l.InProgress(time.Second + reportTTL)
	require.True(t, known)
	require.Equal(t, 8, n, "7 as reported, 2 sent since, 1 ended")
	_, known = l.InProgress(time.Second + reportTTL + 1)
	require.False(t, known)
	l.Observe(3*time.Second, LoadReport{})
	l.Ended()
	n, _ = l.InProgress(3 * time.Second)
	require.Zero(t, n, "a request that the report did not count any more has ended")
}

// TestAPaceThatFlickersIsNotBelieved plays a reading that is four times the usual in
// every second response.
func TestAPaceThatFlickersIsNotBelieved(t *testing.T) {
	var p Pace
	for i := range 100 {
		now := time.Duration(i) * 20 * time.Millisecond
		p.Observe(now, 1+3*float64(i%2))
		require.InDelta(t, 1, p.Expected(now), 0.01)
	}
}

func TestASlowPhaseIsExpectedToLastAsLongAgain(t *testing.T) {
	var p Pace
	for i := range 11 {
		p.Observe(time.Duration(i)*50*time.Millisecond, 4)
	}
	require.InDelta(t, 4, p.Expected(500*time.Millisecond), 0.01)
	require.InDelta(t, 4, p.Expected(1000*time.Millisecond), 0.01)
	require.InDelta(t, 1, p.Expected(1001*time.Millisecond), 0.01)
	p.Observe(1100*time.Millisecond, 1)
	require.InDelta(t, 1, p.Expected(1100*time.Millisecond), 0.01)
}

// TestMachinesThatAreAlwaysSlowerAreNotInASlowPhase covers machines of one service that
// differ by a third, with phases in which each is 2.5 times slower.
func TestMachinesThatAreAlwaysSlowerAreNotInASlowPhase(t *testing.T) {
	var p Pace
	for i := range 100 {
		reading := 1.3
		if i%7 == 6 {
			reading = 3.25
		}
		p.Observe(time.Duration(i)*20*time.Millisecond, reading)
	}
	require.InDelta(t, 1.3, p.Expected(2*time.Second), 0.01)
}

func TestAWorkerThatTurnedARequestAwayIsLeftAlone(t *testing.T) {
	var h HoldOff
	require.Zero(t, h.Remaining(0))
	h.TurnedAway(time.Second, 2*time.Second, 0)
	require.Equal(t, 2*time.Second, h.Remaining(time.Second))
	h.Answered(1500 * time.Millisecond) // a response to a request sent before
	require.Equal(t, time.Second, h.Remaining(2*time.Second))
	h.TurnedAway(1600*time.Millisecond, time.Second, 0)
	require.Equal(t, time.Second, h.Remaining(2*time.Second), "a shorter time does not replace a longer one")
	require.Zero(t, h.Remaining(3*time.Second))
}

// TestOneRequestProbesAWorkerAfterItsTime covers many callers whose requests all
// wait for the end of the same time.
func TestOneRequestProbesAWorkerAfterItsTime(t *testing.T) {
	var h HoldOff
	h.TurnedAway(0, time.Second, 1)
	require.Equal(t, 250*time.Millisecond, h.Remaining(time.Second), "spread over a quarter of the time")
	end := 1250 * time.Millisecond
	require.Zero(t, h.Remaining(end))
	h.Sent(end)
	require.Positive(t, h.Remaining(end+10*time.Millisecond), "one request is on its way")
	h.Answered(end + 20*time.Millisecond)
	require.Zero(t, h.Remaining(end+20*time.Millisecond))
	h.TurnedAway(2*time.Second, time.Second, 0)
	h.Sent(3 * time.Second)
	require.Zero(t, h.Remaining(3*time.Second+probeTimeout), "a probe without an answer does not block for good")
}
