package soak

import (
	"testing"

	"github.com/bulrushwick/bulrushwick/entry/direct"
)

// A refused request was reported as a configuration that is not in force, which sent the
// search for the fault to the wrong part.
func TestARefusalShowsThatTheConfigurationIsInForce(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		status     int
		inForce    bool
	}{
		{"refused by estimate", "the estimated wait exceeds the time left\n", 503, true},
		{"no answer of a worker", "the worker gave no answer and the request may have run\n", 502, true},
		{"no route", "no route for this host and path\n", 404, false},
		{"starting", "the instance is starting or stopping\n", 503, false},
		{"no response", "", 0, false},
	} {
		i := &instance{settings: direct.Settings{Instance: "e1"}}
		c := &callers{deployment: &deployment{instances: []*instance{i}}}
		c.results = []result{{kind: markKind, instance: "e1", version: 3, status: tc.status, body: tc.body}}
		late, refused := c.behind(3)
		if late != "e1" || (refused != "") != tc.inForce {
			t.Errorf("%s: got %q, %q", tc.name, late, refused)
		}
	}
}
