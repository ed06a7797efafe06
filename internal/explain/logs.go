package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLogLineBytes bounds the length of one line of a log.
const maxLogLineBytes = 1 << 20

// Line is one line of a router's log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields holds the fields of the line other than those above, and other than
	// level and domain.
	Fields map[string]any
	// Context is set if the line does not report the request itself but state on
	// which a decision about the request was based. Its JSON name is part of the
	// tool's output.
	Context bool `json:"Belief"`
}

// String formats a line for display, with its fields in the order of their names.
// A context line is marked with a tilde.
func (l Line) String() string {
	var b strings.Builder
	mark := " "
	if l.Context {
		mark = "~"
	}
	fmt.Fprintf(&b, "%s %s %-18s %s", l.At.Format("15:04:05.000"), mark, l.Instance, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value, err := json.Marshal(l.Fields[name])
		if err != nil {
			value = []byte(err.Error())
		}
		fmt.Fprintf(&b, " %s=%s", name, value)
	}
	return b.String()
}

// ReadLog returns the lines of a JSON log. It skips the text before a line's first
// brace, such as the prefix of a log collector, and lines that are not JSON or have
// no message or time. It returns an error if reading fails or a line exceeds 1 MiB.
func ReadLog(r io.Reader) ([]Line, error) {
	var out []Line
	err := ScanLog(r, nil, func(line Line) { out = append(out, line) })
	return out, err
}

// ScanLog calls visit with the lines that ReadLog returns. Of these it leaves out those that
// contain none of the given messages, unless that is empty.
func ScanLog(r io.Reader, messages []string, visit func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		raw := scanner.Bytes()
		isWanted := func(message string) bool { return bytes.Contains(raw, []byte(message)) }
		if len(messages) > 0 && !slices.ContainsFunc(messages, isWanted) {
			continue
		}
		if line, ok := parseLine(raw); ok {
			visit(line)
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

func parseLine(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	line := Line{Fields: fields}
	line.Message, _ = fields["msg"].(string)
	line.Instance, _ = fields["instance"].(string)
	text, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	if err != nil || line.Message == "" {
		return Line{}, false
	}
	line.At = at
	for _, name := range []string{"msg", "instance", "time", "level", "domain"} {
		delete(fields, name)
	}
	return line, true
}

// RequestLines returns the lines of one request in the order of their times. They
// are preceded, once per instance, by the latest lines on the state on which the
// instance based its decisions: the configuration in force, whether the store was
// reachable, the live routers, the evacuated domains, and each target on which the
// request was placed.
func RequestLines(lines []Line, id string) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	latest := make(map[string]map[string]Line)
	included := make(map[string]bool)
	var out []Line
	for _, l := range lines {
		if subject := stateSubject(l); subject != "" {
			if latest[l.Instance] == nil {
				latest[l.Instance] = make(map[string]Line)
			}
			latest[l.Instance][subject] = l
			continue
		}
		if l.Fields["request"] != id {
			continue
		}
		for _, subject := range decisionSubjects(l) {
			state, known := latest[l.Instance][subject]
			if key := l.Instance + " " + subject; known && !included[key] {
				included[key] = true
				state.Context = true
				out = append(out, state)
			}
		}
		out = append(out, l)
	}
	return out
}

// stateSubject returns the subject whose state a line reports, empty if it reports
// none.
func stateSubject(l Line) string {
	switch l.Message {
	case "configuration in force":
		return "configuration"
	case "store lost", "store regained":
		return "store"
	case "evacuated domains changed":
		return "evacuations"
	case "live routers changed":
		return "peers"
	case "target listed", "target gone":
		return "listing of " + targetOf(l)
	case "target ejected", "target restored":
		return "health of " + targetOf(l)
	case "target leaves":
		return "leaving of " + targetOf(l)
	case "target wants no requests":
		return "turn-away of " + targetOf(l)
	}
	return ""
}

// decisionSubjects returns the subjects whose state was the basis of the decision
// that a line of a request reports.
func decisionSubjects(l Line) []string {
	subjects := []string{"configuration", "store", "peers", "evacuations"}
	if target := targetOf(l); target != "" {
		subjects = append(subjects, "listing of "+target, "health of "+target, "leaving of "+target, "turn-away of "+target)
	}
	return subjects
}

// targetOf returns the target that a line names, empty for none.
func targetOf(l Line) string {
	target, _ := l.Fields["target"].(string)
	return target
}
