package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

var (
	first  = PartOf("first")
	middle = PartOf("middle")
	deadly = PartOf("deadly")
)

func crashWorkers(d *Detector, at time.Duration, gap time.Duration, count int, parts ...Part) {
	for i := range count {
		now := at + time.Duration(i)*gap
		d.RecordCrash(now, fmt.Sprintf("w-%s", now), parts)
	}
}

// TestNewRequestsWithACrashingPartAreRefused guards against one worker lost for each request with a part that crashes workers.
func TestNewRequestsWithACrashingPartAreRefused(t *testing.T) {
	d := NewDetector(DefaultConfig())
	crashWorkers(d, second, second, 2, first, middle, deadly)
	require.Equal(t, Admitted, d.Admit(3*second, []Part{first, middle, deadly}))
	d.RecordSuccess(2500*time.Millisecond, []Part{first, middle})
	changes := d.RecordCrash(3*second, "w-last", []Part{first, middle, deadly})
	require.Equal(t, []Change{{Part: deadly, Quarantined: true}}, changes)
	require.Equal(t, Refused, d.Admit(4*second, []Part{first, middle, deadly}))
	require.Equal(t, Admitted, d.Admit(4*second, []Part{first, middle}), "sound requests share the other parts")
}

// TestDeepestPartIsQuarantinedAmongEquals guards against refusing all requests that share a beginning with those that crash workers.
func TestDeepestPartIsQuarantinedAmongEquals(t *testing.T) {
	d := NewDetector(DefaultConfig())
	crashWorkers(d, second, second, 3, first, middle, deadly)
	require.Equal(t, Refused, d.Admit(5*second, []Part{first, middle, deadly}))
	require.Equal(t, Admitted, d.Admit(5*second, []Part{first, middle}))
}

// TestWrongQuarantineEndsWithTheFirstSuccess guards against a sound part that stays refused, and against losing the evidence that it hid.
func TestWrongQuarantineEndsWithTheFirstSuccess(t *testing.T) {
	d := NewDetector(DefaultConfig())
	crashWorkers(d, second, second, 3, deadly, middle)
	require.Equal(t, Refused, d.Admit(5*second, []Part{middle}))
	changes := d.RecordSuccess(5*second, []Part{first, middle})
	require.Equal(t, []Change{{Part: middle}, {Part: deadly, Quarantined: true}}, changes)
	require.Equal(t, Admitted, d.Admit(6*second, []Part{first, middle}))
	require.Equal(t, Refused, d.Admit(6*second, []Part{deadly}))
}

// TestWorkersThatFailTogetherAreOneCrash guards against refusing popular parts after the loss of a rack.
func TestWorkersThatFailTogetherAreOneCrash(t *testing.T) {
	d := NewDetector(DefaultConfig())
	crashWorkers(d, second, 2*time.Millisecond, 24, first, middle)
	require.Zero(t, d.Quarantined())
	require.False(t, d.Suspect([]Part{first, middle}))
}

// TestSuspectPartsAreNotRetried guards against a request that crashes worker after worker by retries.
func TestSuspectPartsAreNotRetried(t *testing.T) {
	d := NewDetector(DefaultConfig())
	crashWorkers(d, second, second, 1, first, deadly)
	require.False(t, d.Suspect([]Part{first, deadly}), "requests that shared a crashed worker are retried")
	d.RecordSuccess(1500*time.Millisecond, []Part{first})
	crashWorkers(d, 2*second, second, 1, first, deadly)
	require.True(t, d.Suspect([]Part{first, deadly}))
	require.False(t, d.Suspect([]Part{first, middle}))
}

// TestQuarantineIsTriedAgainAfterAWhile guards against a quarantine that never ends after the engines were repaired.
func TestQuarantineIsTriedAgainAfterAWhile(t *testing.T) {
	c := DefaultConfig()
	d := NewDetector(c)
	crashWorkers(d, second, second, 3, deadly)
	at := 3*second + c.TrialAfter
	require.Equal(t, Refused, d.Admit(at-second, []Part{deadly}))
	require.Equal(t, Trial, d.Admit(at, []Part{deadly}))
	require.Equal(t, Refused, d.Admit(at+c.TrialAfter, []Part{deadly}), "the next trial takes twice as long")
	d.RecordSuccess(at+second, []Part{deadly})
	require.Equal(t, Admitted, d.Admit(at+2*second, []Part{deadly}))
}

// TestOneOfManyInstancesBeginsATrial guards against a worker lost to each instance when a trial is due.
func TestOneOfManyInstancesBeginsATrial(t *testing.T) {
	const instances = 90
	var fleet []*Detector
	for i := range instances {
		c := DefaultConfig()
		c.TrialOffset = float64(i) / instances
		fleet = append(fleet, NewDetector(c))
	}
	crashWorkers(fleet[0], second, second, 3, deadly)
	trials := 0
	for at := 4 * second; at < 180*second; at += 250 * time.Millisecond {
		for _, d := range fleet {
			d.Merge(at, fleet[0].Update(at))
			fleet[0].Merge(at, d.Update(at))
		}
		for _, d := range fleet {
			if d.Admit(at, []Part{deadly}) == Trial {
				trials++
			}
		}
	}
	require.Positive(t, trials)
	require.LessOrEqual(t, trials, 3, "two are due, and another instance may not know yet")
}

// TestInstancesLearnFromEachOther guards against every instance losing workers until it has seen enough crashes itself.
func TestInstancesLearnFromEachOther(t *testing.T) {
	var fleet []*Detector
	for range 3 {
		fleet = append(fleet, NewDetector(DefaultConfig()))
	}
	for i, d := range fleet {
		at := time.Duration(i+1) * second
		d.RecordCrash(at, fmt.Sprintf("w%d", i), []Part{first, deadly})
		fleet[0].RecordSuccess(at+100*time.Millisecond, []Part{first})
		for _, to := range fleet {
			for _, from := range fleet {
				to.Merge(at+250*time.Millisecond, from.Update(at+250*time.Millisecond))
			}
		}
	}
	restarted := NewDetector(DefaultConfig())
	restarted.Merge(60*second, fleet[1].Update(60*second))
	for _, d := range append(fleet, restarted) {
		require.Equal(t, Refused, d.Admit(61*second, []Part{deadly}))
		require.Equal(t, Admitted, d.Admit(61*second, []Part{first}))
	}
}

// TestReleaseReachesAPeerThatMissedIt guards against a peer that brings a quarantine back after it was released.
func TestReleaseReachesAPeerThatMissedIt(t *testing.T) {
	cut, other := NewDetector(DefaultConfig()), NewDetector(DefaultConfig())
	crashWorkers(cut, second, second, 3, middle)
	other.Merge(4*second, cut.Update(4*second))
	other.RecordSuccess(5*second, []Part{middle})
	other.Merge(60*second, cut.Update(60*second))
	require.Equal(t, Admitted, other.Admit(60*second, []Part{middle}))
	cut.Merge(61*second, other.Update(61*second))
	require.Equal(t, Admitted, cut.Admit(61*second, []Part{middle}))
}

// TestEvidenceIsBounded guards against memory and messages that grow with the crashes.
func TestEvidenceIsBounded(t *testing.T) {
	c := DefaultConfig()
	d := NewDetector(c)
	for i := range 10 * c.MaxCrashes {
		d.RecordCrash(time.Duration(i)*time.Millisecond, fmt.Sprintf("w%d", i), []Part{Part(2 * i), Part(2*i + 1)})
	}
	require.LessOrEqual(t, len(d.crashes), c.MaxCrashes)
	require.LessOrEqual(t, len(d.Update(time.Second).Crashes), c.MaxAnnounced)
	d.RecordCrash(time.Hour, "w", []Part{first})
	require.Len(t, d.crashes, 1)
}

// TestRandomTrafficQuarantinesOnlyTheCrashingPart plays a fleet in which requests with one part crash their worker together with the requests beside them.
func TestRandomTrafficQuarantinesOnlyTheCrashingPart(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		p := newPlay(rng, 7, 9)
		p.run(20 * second)
		require.LessOrEqual(t, p.deadlySent, 8, "seed %d", seed)
		require.LessOrEqual(t, p.soundRefused, p.soundSent/20, "seed %d", seed)
	}
}
