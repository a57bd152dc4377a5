package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestVersionLagLastsUntilTheNewestReportedVersionIsInForce(t *testing.T) {
	var l versionLag
	require.Zero(t, l.behind(9*time.Second))
	l.observe(10*time.Second, 5)
	l.observe(11*time.Second, 7)
	require.Equal(t, 2*time.Second, l.behind(12*time.Second))
	require.Equal(t, 3*time.Second, l.installed(13*time.Second, 6), "version 7 is still missing")
	require.Equal(t, 4*time.Second, l.installed(14*time.Second, 7))
	require.Zero(t, l.behind(15*time.Second))
	l.observe(16*time.Second, 7)
	require.Zero(t, l.behind(17*time.Second), "a report that was overtaken does not count")
}
