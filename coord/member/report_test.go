package member

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newObserver returns the list of an instance in a data centre of ten that
// observes only the given instances.
func newObserver(observed ...string) *List {
	l := NewList("a-entry-0", DefaultConfig())
	l.SetPublished(publishedIn("a", 10))
	names := make(map[string]bool)
	for _, name := range observed {
		names[name] = true
	}
	l.SetObserved(0, names)
	return l
}

func silentBy(reporter string) Report {
	return Report{Subject: "a-entry-1", Reporter: reporter}
}

func TestTwoNeighboursMustFindAnInstanceSilent(t *testing.T) {
	l := newObserver()
	l.Receive(0, silentBy("a-entry-2"))
	l.Receive(0, silentBy("a-entry-2"))
	require.False(t, l.Silent(0, "a-entry-1"), "a single reporter may itself be partitioned")
	l.Receive(0, silentBy("a-entry-3"))
	require.True(t, l.Silent(0, "a-entry-1"))
	require.Len(t, l.Usable(0), 9)
	require.False(t, l.Silent(DefaultConfig().ReportFor, "a-entry-1"), "reports expire")
}

func TestOneNeighbourIsEnoughWhereThereIsOne(t *testing.T) {
	l := NewList("b-entry-0", DefaultConfig())
	l.SetPublished(append(publishedIn("a", 2), publishedIn("b", 9)...))
	l.SetObserved(0, map[string]bool{})
	l.Receive(0, Report{Subject: "a-entry-1", Reporter: "a-entry-0"})
	require.True(t, l.Silent(0, "a-entry-1"))
}

func TestOwnHeartbeatsOverrideReports(t *testing.T) {
	l := newObserver("a-entry-1")
	l.RecordHeartbeat(time.Second, "a-entry-1", false)
	l.Receive(time.Second, silentBy("a-entry-2"))
	l.Receive(time.Second, silentBy("a-entry-3"))
	require.False(t, l.Silent(time.Second, "a-entry-1"))
}

func TestQuietNeighbourIsProbedThenReported(t *testing.T) {
	config := DefaultConfig()
	l := newObserver("a-entry-1")
	l.RecordHeartbeat(0, "a-entry-1", false)
	require.Empty(t, l.Probes(config.ProbeAfter))
	require.Len(t, l.Probes(config.ProbeAfter+1), 1)
	require.Empty(t, l.Reports(config.SilentAfter))
	late := config.SilentAfter + 1
	require.Equal(t, []Report{{Subject: "a-entry-1", Reporter: "a-entry-0"}}, l.Reports(late))
	require.True(t, l.RecordHeartbeat(late, "a-entry-1", false), "its return changes the usable instances")
	require.Empty(t, l.Reports(late))
}

func TestFormerNeighbourIsNotSilent(t *testing.T) {
	l := newObserver("a-entry-1")
	l.RecordHeartbeat(0, "a-entry-1", false)
	l.SetObserved(time.Second, map[string]bool{"a-entry-2": true})
	require.False(t, l.Silent(time.Hour, "a-entry-1"))
	l.SetObserved(time.Hour, map[string]bool{"a-entry-1": true})
	require.False(t, l.Silent(time.Hour, "a-entry-1"), "silence is measured from when it is observed again")
}

func TestReportsAgeAsTheyPassOn(t *testing.T) {
	config := DefaultConfig()
	l := newObserver()
	l.Receive(time.Second, Report{Subject: "a-entry-1", Reporter: "a-entry-2", Age: time.Second})
	require.Equal(t, 2*time.Second, l.Reports(2 * time.Second)[0].Age)
	l.Receive(2*time.Second, Report{Subject: "a-entry-1", Reporter: "a-entry-2", Age: 5 * time.Second})
	require.Equal(t, 2*time.Second, l.Reports(2 * time.Second)[0].Age, "an older report changes nothing")
	require.Empty(t, l.Reports(config.ReportFor))
	l.Receive(0, Report{Subject: "a-entry-0", Reporter: "a-entry-2"})
	require.Empty(t, l.Reports(0), "reports about the instance itself are ignored")
}

func TestLeavingIsAcceptedOnlyFromItsSubject(t *testing.T) {
	l := newObserver()
	l.Receive(0, Report{Subject: "a-entry-1", Reporter: "a-entry-1", Leaving: true})
	require.Len(t, l.Usable(0), 9)
	l.Receive(0, Report{Subject: "a-entry-2", Reporter: "a-entry-1", Leaving: true})
	require.Len(t, l.Usable(0), 9)
}
