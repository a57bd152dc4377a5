package member

import (
	"sort"
	"time"
)

// Report is news of an instance that spreads from peer to peer: that a
// neighbour finds it silent, or that it says itself that it is leaving.
type Report struct {
	// Subject is the instance that the report is about.
	Subject string
	// Reporter is who found it; the subject itself where it is leaving.
	Reporter string
	// Leaving says that the subject takes no new work.
	Leaving bool
	// Age is how long ago the reporter was last sure.
	Age time.Duration
}

// reportKey identifies a report; a fresher one replaces it.
type reportKey struct {
	subject, reporter string
}

// report is a received report with when its reporter was last sure.
type report struct {
	sure    time.Duration
	leaving bool
}

// silentReports is the number of neighbours that must find an instance silent
// before the others believe it, where it has as many neighbours.
const silentReports = 2

// Receive takes a report from a peer and tells whether it may change who is
// usable. Reports of this instance itself are
// ignored, and so is word of a leaving that isn't the subject's own.
func (l *List) Receive(now time.Duration, r Report) bool {
	if r.Subject == l.self || r.Reporter == l.self || r.Age >= l.config.ReportFor {
		return false
	}
	if r.Leaving && r.Reporter != r.Subject {
		return false
	}
	key := reportKey{subject: r.Subject, reporter: r.Reporter}
	sure := now - r.Age
	known, found := l.reports[key]
	if found && known.sure >= sure && known.leaving == r.Leaving {
		return false
	}
	l.reports[key] = report{sure: sure, leaving: r.Leaving}
	return !found || known.leaving != r.Leaving || now-known.sure >= l.config.ReportFor
}

// Reports returns this instance's own findings and those of others that are
// still fresh, sorted by subject and reporter, and drops the rest.
func (l *List) Reports(now time.Duration) []Report {
	var reports []Report
	for name := range l.observed {
		if _, published := l.published[name]; published && l.observes(name) && l.quiet(now, name) {
			reports = append(reports, Report{Subject: name, Reporter: l.self})
		}
	}
	for key, r := range l.reports {
		age := now - r.sure
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

// ReportedLeaving tells whether a fresh report by the subject itself says that it
// is leaving.
func (l *List) ReportedLeaving(now time.Duration, subject string) bool {
	r, found := l.reports[reportKey{subject: subject, reporter: subject}]
	return found && r.leaving && now-r.sure < l.config.ReportFor
}

// findings is what the fresh reports say, by subject.
type findings struct {
	silent  map[string]int // the number of reporters
	leaving map[string]bool
}

func (l *List) findings(now time.Duration) findings {
	f := findings{silent: make(map[string]int), leaving: make(map[string]bool)}
	for key, r := range l.reports {
		switch {
		case now-r.sure >= l.config.ReportFor:
		case r.leaving:
			f.leaving[key.subject] = true
		default:
			f.silent[key.subject]++
		}
	}
	return f
}

// reportedSilent tells whether enough neighbours of name find it silent.
func (l *List) reportedSilent(f findings, name string) bool {
	count := f.silent[name]
	return count > 0 && count >= min(silentReports, l.neighboursOf(name))
}

// neighboursOf returns how many instances of its data centre can observe name.
func (l *List) neighboursOf(name string) int {
	return max(l.perDataCentre[l.published[name].DataCentre]-1, 1)
}
