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

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// Line is one line of a router's log.
type Line struct {
	At       time.Time
	Instance string
	Message  string
	// Fields besides those above.
	Fields map[string]any
	// Belief is set where the line is not of the request itself, but of
	// something that a decision on it rested on.
	Belief bool
}

// String shows a line for people, its fields in the order of their names.
func (l Line) String() string {
	var b strings.Builder
	mark := " "
	if l.Belief {
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

// ReadLog returns the lines of a log. Text before a line's first brace, such as
// a collector's prefix, and lines that are no JSON are left out.
func ReadLog(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	var out []Line
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			out = append(out, line)
		}
	}
	return out, errors.Wrap(scanner.Err(), "read the log")
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

// Request returns the lines of one request in the order of their times, and
// before each instance's first one what that instance then believed: the
// configuration in force, whether it reached the store, and the last news of
// each target that the request was placed on.
func Request(lines []Line, id string) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	beliefs := make(map[string]map[string]Line)
	told := make(map[string]bool)
	var out []Line
	for _, l := range lines {
		if topic := topicOf(l); topic != "" {
			if beliefs[l.Instance] == nil {
				beliefs[l.Instance] = make(map[string]Line)
			}
			beliefs[l.Instance][topic] = l
			continue
		}
		if l.Fields["request"] != id {
			continue
		}
		for _, topic := range topicsOf(l) {
			b, known := beliefs[l.Instance][topic]
			if key := l.Instance + " " + topic; known && !told[key] {
				told[key] = true
				b.Belief = true
				out = append(out, b)
			}
		}
		out = append(out, l)
	}
	return out
}

// topicOf names what a line is news of, empty for none.
func topicOf(l Line) string {
	switch l.Message {
	case "configuration in force":
		return "configuration"
	case "store lost", "store regained":
		return "store"
	case "live routers changed":
		return "peers"
	case "target listed", "target gone", "target ejected", "target restored":
		target, _ := l.Fields["target"].(string)
		return "target " + target
	}
	return ""
}

// topicsOf names what a decision on a request rests on.
func topicsOf(l Line) []string {
	topics := []string{"configuration", "store", "peers"}
	if target, ok := l.Fields["target"].(string); ok {
		topics = append(topics, "target "+target)
	}
	return topics
}
