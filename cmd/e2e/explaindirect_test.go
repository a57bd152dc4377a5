package e2e

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushwick/bulrushwick/entry/explain"
)

// explainDirectLine is the command of docs/operate/explain.md.
const explainDirectLine = "bulrushctl explain direct 10.0.0.1:9464 --host api.example --path /v1/chat --adapter m0/a7 --prompt-tokens 2400"

// verifyExplainDirectCommand runs the command against a handler of the instance's own with
// a fixed explanation, and requires that the query arrives and the answer is shown.
// Package platform tests the explanations themselves.
func verifyExplainDirectCommand(t *testing.T, _ func() *system) {
	held, ratio, class := int64(17), 1.5, 2
	explanation := explain.Explanation{
		Instance: "e0", Route: "chat", Service: "llm", Worker: "w1", Left: 3000, Load: &explain.Load{OrderedBy: "10.0.0.2:7002", MaxWait: 800},
		Organisation: &explain.Organisation{Name: "o", Quota: &explain.Quota{Unit: "tokens", RatePerS: 100, Cost: 2400, Held: &held, Decision: explain.QuotaUnknown}},
		Admission:    &explain.Admission{Worker: "w1", Wait: 98, Contention: 4, ShareRatio: &ratio, ShareClass: &class},
		Candidates: []explain.Candidate{
			{Worker: "w1", Estimate: 99, Terms: []explain.Term{{Name: "roundTrip", Time: 3}, {Name: "prompt", Time: 96}}},
			{Worker: "w2", Excluded: "asked for a pause", HoldOff: 1500},
		},
	}
	var asked explain.Query
	instance := httptest.NewServer(explain.NewHandler(func(q explain.Query) (explain.Explanation, error) {
		asked = q
		return explanation, nil
	}))
	t.Cleanup(instance.Close)
	args := strings.Fields(strings.Replace(explainDirectLine, "10.0.0.1:9464", strings.TrimPrefix(instance.URL, "http://"), 1))
	out := runProgram(t, args[0], args[1:]...)
	require.Equal(t, explain.Query{Host: "api.example", Path: "/v1/chat", Model: "m0", Adapter: "a7", PromptTokens: 2400}, asked)
	for _, text := range []string{"send to w1 after a load ordered by 10.0.0.2:7002", "roundTrip 3.0 ms, prompt 96.0 ms", "excluded: asked for a pause of 1500.0 ms", explain.QuotaUnknown, "2400 tokens", "1.50"} {
		require.Contains(t, out, text)
	}
	require.Contains(t, runProgram(t, args[0], append(args[1:], "--output", "json")...), `"orderedBy": "10.0.0.2:7002"`)
}
