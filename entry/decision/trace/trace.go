// Package trace collects the lines about one request from the decision logs of
// several instances.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/bulrushwick/bulrushwick/entry/decision"
)

// Line is a line of a decision log.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    decision.Event `json:"event"`
	// Fields holds the other fields of the line, except the level.
	Fields map[string]any `json:"fields"`
}

// RequestTrace is what the logs contain about a request.
type RequestTrace struct {
	Request string `json:"request"`
	// Lines are the lines of the request, ordered by time.
	Lines []Line `json:"lines"`
	// Cause is the line that determined the outcome, or nil.
	Cause *Line `json:"cause,omitempty"`
	// RelatedChanges are lines that may explain Cause, from the same instance and
	// about the same time: on changes of the worker that Cause names and of the
	// instance itself.
	RelatedChanges []Line `json:"around,omitempty"`
}

// relatedBefore is how long before the cause a change is still listed as related.
const relatedBefore = 5 * time.Second

// FromFiles reads the log files with the given names and returns the trace of a
// request.
func FromFiles(request string, names []string) (RequestTrace, error) {
	var all []Line
	for _, name := range names {
		lines, err := readFile(name)
		if err != nil {
			return RequestTrace{}, err
		}
		all = append(all, lines...)
	}
	return FromLines(request, all), nil
}

func readFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // the file was only read
	return Read(file)
}

// maxLineBytes is the maximum length of a line of a log.
const maxLineBytes = 1 << 20

// Read returns the lines of a log. It skips text before the first brace of a line,
// such as the prefix of a log collector, and lines that are not of a decision log.
// A line over maxLineBytes is an error.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parseLine(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a JSON line. It returns false if the line has no event or no
// valid time.
func parseLine(data []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	event, _ := fields["event"].(string)
	instance, _ := fields["instance"].(string)
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil || event == "" {
		return Line{}, false
	}
	for _, name := range []string{"event", "instance", "time", "level"} {
		delete(fields, name)
	}
	return Line{Time: at, Instance: instance, Event: decision.Event(event), Fields: fields}, true
}

// FromLines returns the trace of a request from the lines of all logs. It sorts
// all by time, in place.
func FromLines(request string, all []Line) RequestTrace {
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	result := RequestTrace{Request: request}
	for _, line := range all {
		if line.Fields["request"] == request {
			result.Lines = append(result.Lines, line)
		}
	}
	result.Cause = findCause(result.Lines)
	if result.Cause != nil {
		result.RelatedChanges = relatedChanges(*result.Cause, all)
	}
	return result
}

// findCause returns the last refusal, or else the last failed attempt, or else the
// line on the request's end. It returns nil if there is none.
func findCause(lines []Line) *Line {
	for _, event := range []decision.Event{decision.Refused, decision.AttemptFailed, decision.Ended} {
		for i := len(lines) - 1; i >= 0; i-- {
			if lines[i].Event == event {
				return &lines[i]
			}
		}
	}
	return nil
}

// relatedChanges lists the lines of the cause's instance on changes and unreadable
// reports of the cause's worker, lost rights, store outages and shutdown, from
// relatedBefore before the cause until a second after it.
func relatedChanges(cause Line, all []Line) []Line {
	worker, _ := cause.Fields["worker"].(string)
	var found []Line
	for _, line := range all {
		inWindow := !line.Time.After(cause.Time.Add(time.Second)) && cause.Time.Sub(line.Time) <= relatedBefore
		isRelated := slices.Contains([]decision.Event{decision.WorkerChanged, decision.ReportFailed}, line.Event) && line.Fields["worker"] == worker ||
			slices.Contains([]decision.Event{decision.StoreLost, decision.RightLost, decision.Stopping}, line.Event)
		if inWindow && isRelated && line.Instance == cause.Instance {
			found = append(found, line)
		}
	}
	return found
}

// String formats the line on one line, with its fields except the request sorted by
// name.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Instance, l.Event)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
