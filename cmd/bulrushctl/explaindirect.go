package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"github.com/bulrushwick/bulrushwick/entry/explain"
)

func explainDirectCommand() *cobra.Command {
	var format output
	var query explain.Query
	var adapter string
	var parts []string
	var limit int
	c := &cobra.Command{
		Use:   "direct METRICS-ADDRESS --host HOST --path PATH",
		Short: "Show where an instance of \"bulrushwick direct\" would send a request now, and why",
		Long: "Ask one instance that dispatches directly which worker it would choose for a\n" +
			"request, with each term of the estimates, why other workers are excluded, and\n" +
			"what it would respond if it refused the request. Nothing is sent to workers.\n\n" +
			"Exit code 0: a worker would be chosen. Exit code 1: the request would be refused.",
		Example: "  bulrushctl explain direct 10.0.0.1:9464 --host api.example --path /v1/chat --adapter m0/a7 --prompt-tokens 2400",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			query.Model, query.Adapter, _ = strings.Cut(adapter, "/")
			if err := query.AddParts(parts); err != nil {
				return err
			}
			var e explain.Explanation
			if err := getJSON(cmd.Context(), args[0], explain.Path, query.Values(), &e); err != nil {
				return err
			}
			hidden := 0
			if limit > 0 && len(e.Candidates) > limit {
				hidden = len(e.Candidates) - limit
				e.Candidates = e.Candidates[:limit]
			}
			if err := format.write(cmd.OutOrStdout(), e, func(w io.Writer) { writeDirectTable(w, e, hidden) }); err != nil {
				return err
			}
			if r := e.Refusal; r != nil {
				return fmt.Errorf("the request would be refused with status %d: %s", r.Status, r.Reason)
			}
			return nil
		},
	}
	flags := c.Flags()
	flags.StringVar(&query.Host, "host", "", "host of the request")
	flags.StringVar(&query.Path, "path", "", "path of the request")
	flags.StringVar(&adapter, "adapter", "", "MODEL/ADAPTER or MODEL, if the request names one")
	flags.IntVar(&query.PromptTokens, "prompt-tokens", 0, "number of prompt tokens")
	flags.IntVar(&query.OutputTokens, "output-tokens", 0, "number of tokens of the response")
	flags.IntVar(&query.OutputHint, "length-hint", 0, "length of the response that the caller expects, in tokens")
	flags.StringArrayVar(&parts, "part", nil, "part of the prompt as ID or ID:TOKENS; may be repeated")
	flags.StringVar(&query.Organisation, "organisation", "", "name of the organisation, never a key; without it the request has no key")
	flags.StringVar(&query.RequestID, "request", "", "request ID, which decides between the services of a route with several")
	flags.DurationVar(&query.Wait, "wait", 0, "how long the caller waits; 0 if it does not say")
	flags.IntVar(&limit, "limit", 0, "show only so many candidates; 0 shows all")
	_ = c.MarkFlagRequired("host")
	_ = c.MarkFlagRequired("path")
	format.addFlag(c)
	return c
}

// writeDirectTable writes an explanation as tables. hidden is the number of candidates
// that were left out.
func writeDirectTable(w io.Writer, e explain.Explanation, hidden int) {
	writeRow(w, "INSTANCE", "CONFIGURATION", "ROUTE", "SERVICE", "RANK", "LEFT", "ORGANISATION", "DECISION")
	organisation := "-"
	if e.Organisation != nil {
		organisation = e.Organisation.Name
	}
	writeRow(w, e.Instance, fmt.Sprint(e.ConfigVersion), orDash(e.Route), orDash(e.Service), fmt.Sprint(e.Rank), formatTime(e.Left), organisation, formatDecision(e))
	if e.Organisation != nil && e.Organisation.Quota != nil {
		writeQuota(w, e.Organisation.Quota)
	}
	if e.Admission != nil {
		writeAdmission(w, e.Admission)
	}
	if len(e.Candidates) == 0 {
		return
	}
	writeRow(w)
	writeRow(w, "WORKER", "DATA CENTRE", "ADAPTER", "RUNNING", "ESTIMATE", "WAIT", "WHY")
	for _, c := range e.Candidates {
		estimate, wait := formatTime(c.Estimate), formatTime(c.Wait)
		if c.Excluded != "" {
			estimate, wait = "-", "-"
		}
		writeRow(w, c.Worker, c.DataCentre, orDash(c.Residency), fmt.Sprintf("%d/%d", c.Running, c.BatchSize), estimate, wait, formatTerms(c))
	}
	if hidden > 0 {
		writeRow(w, fmt.Sprintf("and %d more", hidden))
	}
}

// formatDecision returns what the instance would do with the request.
func formatDecision(e explain.Explanation) string {
	switch {
	case e.Refusal != nil && e.Refusal.RetryAfter > 0:
		return fmt.Sprintf("refuse: %d, %s, Retry-After %.3f s", e.Refusal.Status, e.Refusal.Reason, e.Refusal.RetryAfter.Duration().Seconds())
	case e.Refusal != nil:
		return fmt.Sprintf("refuse: %d, %s", e.Refusal.Status, e.Refusal.Reason)
	case e.Load != nil:
		return fmt.Sprintf("send to %s after a load ordered by %s, waiting at most %s", e.Worker, orDash(e.Load.OrderedBy), formatTime(e.Load.MaxWait))
	}
	return "send to " + e.Worker
}

// formatTerms returns why a worker is excluded, or the terms of its estimate.
func formatTerms(c explain.Candidate) string {
	if c.Excluded != "" {
		if c.HoldOff > 0 {
			return fmt.Sprintf("excluded: %s of %s", c.Excluded, formatTime(c.HoldOff))
		}
		return "excluded: " + c.Excluded
	}
	parts := make([]string, len(c.Terms))
	for i, t := range c.Terms {
		parts[i] = t.Name + " " + formatTime(t.Time)
	}
	if c.OlderEra {
		parts = append(parts, "entry not seen since the store returned from a copy")
	}
	return strings.Join(parts, ", ")
}

// writeQuota writes what the request counts and whether it would be refused.
func writeQuota(w io.Writer, q *explain.Quota) {
	held, after := "-", "-"
	if q.Held != nil {
		held = fmt.Sprint(*q.Held)
	}
	if q.RetryAfter > 0 {
		after = fmt.Sprintf("%.3f s", q.RetryAfter.Duration().Seconds())
	}
	writeRow(w)
	writeRow(w, "QUOTA COST", "RATE", "BURST", "HELD", "BY QUOTA", "RETRY-AFTER")
	writeRow(w, fmt.Sprintf("%g %s", q.Cost, q.Unit), fmt.Sprintf("%g/s", q.RatePerS), fmt.Sprint(q.Burst), held, q.Decision, after)
}

// writeAdmission writes what the decisions under scarcity depend on.
func writeAdmission(w io.Writer, a *explain.Admission) {
	ratio, class := "-", "-"
	if a.ShareRatio != nil {
		ratio = fmt.Sprintf("%.2f", *a.ShareRatio)
	}
	if a.ShareClass != nil {
		class = fmt.Sprint(*a.ShareClass)
	}
	writeRow(w)
	writeRow(w, "JUDGED AT", "WAIT", "CONTENTION", "TIME LEFT", "TARGET", "WORK", "SHARE RATIO", "SHARE CLASS")
	writeRow(w, a.Worker, formatTime(a.Wait), formatTime(a.Contention), formatTime(a.Left), formatTime(a.Target), formatTime(a.Work), ratio, class)
}

func formatTime(m explain.Milliseconds) string { return fmt.Sprintf("%.1f ms", float64(m)) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
