// Package trace gathers what several instances' logs say of one request.
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

// Line is one decision on a request.
type Line struct {
	Time     time.Time      `json:"time"`
	Instance string         `json:"instance"`
	Event    decision.Event `json:"event"`
	// Fields holds the rest of the line.
	Fields map[string]any `json:"fields"`
}

// Account is what is known of a request, in the order of time.
type Account struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
	// Cause is the line that decided the outcome.
	Cause *Line `json:"cause,omitempty"`
	// Around are beliefs that changed at the same instances shortly before the
	// deciding line, of the worker that it names.
	Around []Line `json:"around,omitempty"`
}

// aroundWindow is how long before the cause a change of belief may matter.
const aroundWindow = 5 * time.Second

// Files reads the logs and returns the account of a request.
func Files(request string, names []string) (Account, error) {
	var all []Line
	for _, name := range names {
		lines, err := readFile(name)
		if err != nil {
			return Account{}, err
		}
		all = append(all, lines...)
	}
	return Of(request, all), nil
}

func readFile(name string) ([]Line, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // only read from
	return Read(file)
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Read returns the JSON lines of a log; what stands before a line's first brace,
// such as a collector's prefix, and other lines are passed over.
func Read(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	var lines []Line
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		if line, ok := parse(scanner.Bytes()[start:]); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

func parse(data []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(data, &fields) != nil {
		return Line{}, false
	}
	event, _ := fields["event"].(string)
	instance, _ := fields["instance"].(string)
	stamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || event == "" {
		return Line{}, false
	}
	for _, taken := range []string{"event", "instance", "time", "level"} {
		delete(fields, taken)
	}
	return Line{Time: at, Instance: instance, Event: decision.Event(event), Fields: fields}, true
}

// Of orders the lines of a request and finds the one that decided.
func Of(request string, all []Line) Account {
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	account := Account{Request: request}
	for _, line := range all {
		if line.Fields["request"] == request {
			account.Lines = append(account.Lines, line)
		}
	}
	account.Cause = causeOf(account.Lines)
	if account.Cause != nil {
		account.Around = around(*account.Cause, all)
	}
	return account
}

// causeOf prefers the last refusal, then the last failed attempt, then the end.
func causeOf(lines []Line) *Line {
	for _, event := range []decision.Event{decision.Refused, decision.AttemptFailed, decision.Ended} {
		for i := len(lines) - 1; i >= 0; i-- {
			if lines[i].Event == event {
				return &lines[i]
			}
		}
	}
	return nil
}

// around lists changes of belief about the cause's worker before it.
func around(cause Line, all []Line) []Line {
	worker, _ := cause.Fields["worker"].(string)
	var found []Line
	for _, line := range all {
		near := !line.Time.After(cause.Time.Add(time.Second)) && cause.Time.Sub(line.Time) <= aroundWindow
		belief := slices.Contains([]decision.Event{decision.WorkerChanged, decision.ReportFailed}, line.Event) && line.Fields["worker"] == worker ||
			slices.Contains([]decision.Event{decision.StoreLost, decision.RightLost, decision.Stopping}, line.Event)
		if near && belief && line.Instance == cause.Instance {
			found = append(found, line)
		}
	}
	return found
}

// String writes a line with its fields in order of their names.
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
