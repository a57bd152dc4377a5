package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPreviewBeginsNoTrial guards against an explanation that uses up the trial by which a
// part leaves quarantine.
func TestPreviewBeginsNoTrial(t *testing.T) {
	c := DefaultConfig()
	d := NewDetector(c)
	parts := []Part{1}
	for i := range c.MinCrashes {
		d.RecordCrash(time.Duration(i+1)*time.Second, fmt.Sprintf("w%d", i), parts)
	}
	at := time.Duration(c.MinCrashes) * time.Second
	require.Equal(t, Refused, d.Preview(at, parts))
	for range 3 {
		require.Equal(t, Trial, d.Preview(at+c.TrialAfter, parts))
	}
	require.Equal(t, Trial, d.Admit(at+c.TrialAfter, parts))
	require.Equal(t, Refused, d.Preview(at+c.TrialAfter, parts))
	require.Equal(t, Admitted, d.Preview(at, []Part{2}))
}
