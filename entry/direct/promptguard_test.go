package direct

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushwick/bulrushwick/coord/quarantine"
	"github.com/bulrushwick/bulrushwick/coord/worker"
	"github.com/bulrushwick/bulrushwick/entry/cluster/clusterpb"
	"github.com/bulrushwick/bulrushwick/entry/decision"
)

func newTestGuard(accepts bool) *promptGuard {
	log := decision.New(decision.DefaultConfig(), io.Discard, "e0")
	return newPromptGuard(log, func(context.Context, string) bool { return accepts })
}

// crashSeparately reports broken requests at workers, far enough apart to count.
func (g *promptGuard) crashSeparately(t *testing.T, count int, parts []quarantine.Part) {
	t.Helper()
	for i := range count {
		g.reportBroken(worker.Worker{ID: fmt.Sprintf("w%d", i), Address: "127.0.0.1:1"}, parts)
		time.Sleep(quarantine.DefaultConfig().CrashGap + 20*time.Millisecond)
	}
}

// TestBrokenConnectionToALiveWorkerIsNoCrash guards against refusing prompts because workers reset connections.
func TestBrokenConnectionToALiveWorkerIsNoCrash(t *testing.T) {
	t.Parallel()
	parts := quarantine.PartsOf([]string{"a", "b"})
	live, crashed := newTestGuard(true), newTestGuard(false)
	live.crashSeparately(t, 5, parts)
	crashed.crashSeparately(t, 5, parts)
	require.Equal(t, quarantine.Admitted, live.admit(parts))
	require.Equal(t, quarantine.Refused, crashed.admit(parts))
}

// TestQuarantineReachesAnInstanceThatRestarted guards against instances that lose more workers after each restart.
func TestQuarantineReachesAnInstanceThatRestarted(t *testing.T) {
	t.Parallel()
	parts := quarantine.PartsOf([]string{"a", "b"})
	from, restarted := newTestGuard(false), newTestGuard(false)
	from.crashSeparately(t, 3, parts)
	require.Eventually(t, func() bool { return from.quarantinedParts() == 1 }, time.Second, 10*time.Millisecond)
	var update, received clusterpb.News
	from.appendUpdate(now()+10*time.Second, &update) // the evidence is not announced any more
	wire, err := proto.Marshal(&update)
	require.NoError(t, err)
	require.NoError(t, proto.Unmarshal(wire, &received))
	restarted.applyUpdate(now(), &received)
	require.Equal(t, quarantine.Refused, restarted.admit(parts))
	require.Equal(t, quarantine.Admitted, restarted.admit(parts[:1]))
}

// TestEvidenceOfSeveralInstancesAddsUp guards against evidence that is lost on the way between instances.
func TestEvidenceOfSeveralInstancesAddsUp(t *testing.T) {
	t.Parallel()
	parts := quarantine.PartsOf([]string{"a", "b"})
	first, second := newTestGuard(false), newTestGuard(false)
	first.crashSeparately(t, 2, parts)
	second.reportBroken(worker.Worker{ID: "x", Address: "127.0.0.1:1"}, parts)
	require.Eventually(t, func() bool {
		var update clusterpb.News
		first.appendUpdate(now(), &update)
		second.applyUpdate(now(), &update)
		return second.admit(parts) == quarantine.Refused
	}, time.Second, 50*time.Millisecond)
	require.Equal(t, quarantine.Admitted, second.admit(parts[:1]))
}
