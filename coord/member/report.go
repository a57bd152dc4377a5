package member

import (
	"sort"
	"time"
)

// Report is a state update about an instance that peers forward to each other:
// either a neighbour finds it silent, or it announces itself that it is leaving.
type Report struct {
	// Subject is the instance that the report is about.
	Subject string
	// Reporter is the instance that made the report. For a leaving instance it
	// is the subject.
	Reporter string
	// Leaving is set when the subject is leaving and accepts no new work.
	Leaving bool
	// Age is the time since the reporter last confirmed the report.
	Age time.Duration
}

// reportKey identifies a report; a more recent one replaces it.
type reportKey struct {
	subject, reporter string
}

// report is a received report.
type report struct {
	confirmedAt time.Duration // when the reporter last confirmed it
	leaving     bool
}

// minSilentReporters is the number of neighbours that must report an instance
// silent before other instances accept it. For an instance with fewer neighbours,
// all of them must.
const minSilentReporters = 2

// Receive merges a report from a peer and reports whether the result of Usable
// may change. It ignores reports about or by this instance, and leaving reports
// that do not come from their subject.
func (l *List) Receive(now time.Duration, r Report) bool {
	if r.Subject == l.self || r.Reporter == l.self || r.Age >= l.config.ReportFor {
		return false
	}
	if r.Leaving && r.Reporter != r.Subject {
		return false
	}
	key := reportKey{subject: r.Subject, reporter: r.Reporter}
	confirmedAt := now - r.Age
	known, found := l.reports[key]
	if found && known.confirmedAt >= confirmedAt && known.leaving == r.Leaving {
		return false
	}
	l.reports[key] = report{confirmedAt: confirmedAt, leaving: r.Leaving}
	return !found || known.leaving != r.Leaving || now-known.confirmedAt >= l.config.ReportFor
}

// Reports returns the reports to send to peers, sorted by subject and reporter:
// this instance's own and the unexpired ones of others. It drops expired reports.
func (l *List) Reports(now time.Duration) []Report {
	var reports []Report
	for name := range l.observed {
		if _, published := l.published[name]; published && l.observes(name) && l.isOverdue(now, name) {
			reports = append(reports, Report{Subject: name, Reporter: l.self})
		}
	}
	for key, r := range l.reports {
		age := now - r.confirmedAt
		if age >= l.config.ReportFor {
			delete(l.reports, key)
			continue
		}
		reports = append(reports, Report{Subject: key.subject, Reporter: key.reporter, Leaving: r.leaving, Age: age})
	}
	sort.Slice(reports, func(i, j int) bool {
		if reports[i].Subject != reports[j].Subject {
			return reports[i].Subject < reports[j].Subject
		}
		return reports[i].Reporter < reports[j].Reporter
	})
	return reports
}

// ReportedLeaving reports whether there is an unexpired report by the subject
// itself that it is leaving.
func (l *List) ReportedLeaving(now time.Duration, subject string) bool {
	r, found := l.reports[reportKey{subject: subject, reporter: subject}]
	return found && r.leaving && now-r.confirmedAt < l.config.ReportFor
}

// reportSummary summarises the unexpired reports by subject.
type reportSummary struct {
	silentReporters map[string]int // number of reporters
	leaving         map[string]bool
}

// summariseReports counts the unexpired reports at now.
func (l *List) summariseReports(now time.Duration) reportSummary {
	summary := reportSummary{silentReporters: make(map[string]int), leaving: make(map[string]bool)}
	for key, r := range l.reports {
		switch {
		case now-r.confirmedAt >= l.config.ReportFor:
		case r.leaving:
			summary.leaving[key.subject] = true
		default:
			summary.silentReporters[key.subject]++
		}
	}
	return summary
}

// isReportedSilent reports whether enough neighbours of the named instance report
// it silent.
func (l *List) isReportedSilent(reports reportSummary, name string) bool {
	count := reports.silentReporters[name]
	return count > 0 && count >= min(minSilentReporters, l.neighbourCount(name))
}

// neighbourCount returns the number of instances in the same data centre that can
// observe the named instance, and at least 1.
func (l *List) neighbourCount(name string) int {
	return max(l.perDataCentre[l.published[name].DataCentre]-1, 1)
}
