// Package fleetlog reads the JSON lines of routers' logs for reports over a whole fleet, with or
// without the prefix of a log collector.
package fleetlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxLineBytes bounds the length of one line of a log.
	maxLineBytes = 1 << 20
	// stopSlack is how long before its stop a router need not have a change in force.
	stopSlack = 5 * time.Second
)

// collectorPrefix is the prefix of a line from a log collector: the seconds since a time of its
// own, and the instance.
var collectorPrefix = regexp.MustCompile(`^\s*(-?[0-9]+(?:\.[0-9]+)?) (\S+) $`)

// Line is one line of a router's log. Time and instance are those of a log collector's prefix, if
// the line has one.
type Line struct {
	Time     time.Time    `json:"time"`
	Instance ids.Instance `json:"instance"`
	Message  string       `json:"msg"`
	raw      []byte
}

// Decode decodes the line's JSON object.
func (l Line) Decode(into any) error {
	return errors.Wrapf(json.Unmarshal(l.raw, into), "line %q of %s", l.Message, l.Instance)
}

// Scan calls visit with each line of a log that has a message, an instance and a time. It leaves
// out other lines. A line is valid until visit returns.
func Scan(r io.Reader, visit func(Line) error) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			if err := visit(line); err != nil {
				return err
			}
		}
	}
	return errors.Wrap(scanner.Err(), "read the log")
}

func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var l Line
	if err := json.Unmarshal(raw[start:], &l); err != nil || l.Message == "" {
		return Line{}, false
	}
	l.raw = raw[start:]
	if prefix := collectorPrefix.FindSubmatch(raw[:start]); prefix != nil {
		seconds, err := strconv.ParseFloat(string(prefix[1]), 64)
		if err != nil {
			return Line{}, false
		}
		l.Time, l.Instance = time.Unix(0, 0).UTC().Add(time.Duration(seconds*float64(time.Second))), ids.Instance(prefix[2])
	}
	return l, l.Instance != "" && !l.Time.IsZero()
}

// Lifetime is when the processes of one router started and stopped, in the order of the log.
type Lifetime struct{ events []lifetimeEvent }

type lifetimeEvent struct {
	at      time.Time
	started bool
}

// Record records the line if it tells of a start or a stop.
func (t *Lifetime) Record(l Line) {
	switch {
	case l.Message == "router started":
		t.events = append(t.events, lifetimeEvent{l.Time, true})
	case strings.HasPrefix(l.Message, "router stop"):
		t.events = append(t.events, lifetimeEvent{l.Time, false})
	}
}

// Counts reports whether the router ran when a change was first in force at some router, and for
// long enough after it to have it in force, too.
func (t *Lifetime) Counts(first time.Time) bool {
	runs := true
	for _, e := range t.events {
		switch {
		case !e.at.After(first):
			runs = e.started
		case e.started || e.at.Before(first.Add(stopSlack)):
			return false
		}
	}
	return runs
}

// StartedBetween reports whether the router started after one time and by the other. What it had
// in force before is not in force since.
func (t *Lifetime) StartedBetween(after, by time.Time) bool {
	return slices.ContainsFunc(t.events, func(e lifetimeEvent) bool {
		return e.started && e.at.After(after) && !e.at.After(by)
	})
}
