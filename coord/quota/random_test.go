package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// TestAnyHistoryKeepsTheBound guards against more spending within a window than the
// bound allows, in long histories of up to 12 instances.
func TestAnyHistoryKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		all := events(instances)
		names := make([]string, len(all))
		for i, e := range all {
			names[i] = e.String()
		}
		m := newModel(noFault, instances)
		for range rapid.IntRange(5, 80).Draw(t, "events") {
			e := rapid.IntRange(0, len(all)-1).Draw(t, "event")
			all[e].apply(m)
			if m.problem != "" {
				t.Fatalf("after %s: %s", names[e], m.problem)
			}
		}
	})
}
