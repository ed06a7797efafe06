// Package quarantine decides which requests are suspected of crashing the
// targets that run them. A Table is a deterministic state machine without I/O
// or clock; what it learns from other routers may come in any order and any
// number of times.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/ids"
)

// Bounds of what a Table remembers.
const (
	// MaxSuspects bounds the fingerprints.
	MaxSuspects = 4096
	// maxCrashes bounds the crashes of one fingerprint.
	maxCrashes = 8
)

// deathGap is the time within which reports of one fingerprint at one target
// are taken for the same death, told by several routers.
const deathGap = 5 * time.Second

// Crash is one target death that a request may have caused.
type Crash struct {
	Fingerprint uint64
	Target      ids.Target
	// ID names the death among the reports of all routers.
	ID string
	// Solo is set where the request ran alone.
	Solo bool
	// At is the reporter's wall clock in Unix milliseconds.
	At int64
	// Began is when the request began at the target, by the same clock.
	Began int64
	// Cleared is set once the request is known not to be to blame. It is
	// never unset.
	Cleared bool
}

// Level is how a fingerprint stands.
type Level int

// The levels.
const (
	// Clean: nothing is held against it.
	Clean Level = iota
	// Suspect: it must run alone.
	Suspect
	// Quarantined: it must not run.
	Quarantined
)

// Standing is a fingerprint's level and when it ends.
type Standing struct {
	Level Level
	Until time.Time
}

// Untried returns the standing where nobody may try the suspect out: it is
// quarantined for the time d after its last crash, half its time as a suspect.
func (s Standing) Untried(d time.Duration, now time.Time) Standing {
	until := s.Until.Add(-d)
	if s.Level == Suspect && now.Before(until) {
		return Standing{Level: Quarantined, Until: until}
	}
	return s
}

// Table holds the crashes. The zero value is not usable; see New.
type Table struct {
	duration time.Duration
	suspects map[uint64]*suspect
}

type suspect struct {
	crashes []Crash // by At and ID
	// last is the time of the latest crash.
	last int64
}

// New returns a Table that quarantines for the given time.
func New(duration time.Duration) *Table {
	return &Table{duration: duration, suspects: map[uint64]*suspect{}}
}

// Len returns the number of fingerprints that are remembered.
func (t *Table) Len() int { return len(t.suspects) }

// Fingerprints returns all fingerprints that are remembered, in no order.
func (t *Table) Fingerprints() []uint64 {
	out := make([]uint64, 0, len(t.suspects))
	for fp := range t.suspects {
		out = append(out, fp)
	}
	return out
}

// Add learns of a crash, or that one is cleared; false where it knew.
func (t *Table) Add(c Crash, now time.Time) bool {
	if t.expired(c.At, now) {
		return false
	}
	s := t.suspects[c.Fingerprint]
	if s == nil {
		t.makeRoom()
		s = &suspect{}
		t.suspects[c.Fingerprint] = s
	}
	return s.add(c)
}

func (s *suspect) add(c Crash) bool {
	for i := range s.crashes {
		known := &s.crashes[i]
		if known.ID != c.ID {
			continue
		}
		news := c.Cleared && !known.Cleared || c.Solo && !known.Solo
		known.Cleared = known.Cleared || c.Cleared
		known.Solo = known.Solo || c.Solo
		return news
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(x, y Crash) int {
		if d := cmp.Compare(x.At, y.At); d != 0 {
			return d
		}
		return cmp.Compare(x.ID, y.ID)
	})
	if len(s.crashes) > maxCrashes {
		s.crashes = s.crashes[len(s.crashes)-maxCrashes:]
	}
	s.last = s.crashes[len(s.crashes)-1].At
	return slices.ContainsFunc(s.crashes, func(k Crash) bool { return k.ID == c.ID })
}

// Of returns the crashes of one fingerprint, by time.
func (t *Table) Of(fp uint64) []Crash {
	s := t.suspects[fp]
	if s == nil {
		return nil
	}
	return slices.Clone(s.crashes)
}

// Clear takes back the crashes that are held against a fingerprint so far and
// returns them. Those told later count.
func (t *Table) Clear(fp uint64) []Crash {
	s := t.suspects[fp]
	if s == nil {
		return nil
	}
	var out []Crash
	for i := range s.crashes {
		if c := &s.crashes[i]; !c.Cleared {
			c.Cleared = true
			out = append(out, *c)
		}
	}
	return out
}

// Standing tells how a fingerprint stands. One death makes a suspect. A second
// one, or one that it had caused alone after the first, quarantines. Where the
// request was never alone, others may be to blame: its quarantine is a tenth as
// long, and it then runs alone.
func (t *Table) Standing(fp uint64, now time.Time) Standing {
	s := t.suspects[fp]
	if s == nil {
		return Standing{}
	}
	deaths, solo, last := s.deaths(func(c Crash) bool { return t.expired(c.At, now) })
	if deaths == 0 {
		return Standing{}
	}
	if deaths >= 2 {
		d := t.duration
		if !solo {
			d /= 10
		}
		if until := time.UnixMilli(last).Add(d); now.Before(until) {
			return Standing{Level: Quarantined, Until: until}
		}
	}
	return Standing{Level: Suspect, Until: time.UnixMilli(last).Add(2 * t.duration)}
}

// Deaths counts the different deaths held against a fingerprint.
func (t *Table) Deaths(fp uint64, now time.Time) int {
	s := t.suspects[fp]
	if s == nil {
		return 0
	}
	n, _, _ := s.deaths(func(c Crash) bool { return t.expired(c.At, now) })
	return n
}

// deaths counts the different deaths held against the suspect. One that it began
// after the earlier death of the same target is another, however soon.
func (s *suspect) deaths(skip func(Crash) bool) (n int, solo bool, last int64) {
	seen := map[ids.Target]int64{}
	for _, c := range s.crashes {
		if c.Cleared || skip(c) {
			continue
		}
		last = max(last, c.At)
		solo = solo || c.Solo
		before, ok := seen[c.Target]
		seen[c.Target] = c.At
		if ok && !c.Solo && c.Began <= before && c.At-before <= deathGap.Milliseconds() {
			continue
		}
		n++
	}
	return n, solo, last
}

// expired tells whether a crash is too old to count. A fingerprint that leaves
// quarantine is a suspect for as long again.
func (t *Table) expired(at int64, now time.Time) bool {
	return now.Sub(time.UnixMilli(at)) > 2*t.duration
}

// Expire forgets the fingerprints whose crashes are all too old.
func (t *Table) Expire(now time.Time) {
	for fp, s := range t.suspects {
		if t.expired(s.last, now) {
			delete(t.suspects, fp)
		}
	}
}

// makeRoom forgets the oldest fingerprint where the table is full.
func (t *Table) makeRoom() {
	if len(t.suspects) < MaxSuspects {
		return
	}
	var oldest uint64
	first := true
	for fp, s := range t.suspects {
		o := t.suspects[oldest]
		if first || s.last < o.last || s.last == o.last && fp < oldest {
			oldest, first = fp, false
		}
	}
	delete(t.suspects, oldest)
}

// Crashes returns all crashes, the latest first, at most n of them.
func (t *Table) Crashes(n int) []Crash {
	var out []Crash
	for _, s := range t.suspects {
		out = append(out, s.crashes...)
	}
	slices.SortFunc(out, func(x, y Crash) int {
		if d := cmp.Compare(y.At, x.At); d != 0 {
			return d
		}
		if d := cmp.Compare(x.Fingerprint, y.Fingerprint); d != 0 {
			return d
		}
		return cmp.Compare(x.ID, y.ID)
	})
	return out[:min(n, len(out))]
}

// Digest returns a number that is equal for tables that know the same.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, s := range t.suspects {
		for _, c := range s.crashes {
			sum ^= c.digest()
		}
	}
	return sum
}

func (c Crash) digest() uint64 {
	var h xxhash.Digest
	h.Reset()
	var flags byte
	if c.Cleared {
		flags |= 1
	}
	if c.Solo {
		flags |= 2
	}
	raw := make([]byte, 0, 16+len(c.ID))
	for i := range 8 {
		raw = append(raw, byte(c.Fingerprint>>(8*i)))
	}
	raw = append(raw, flags)
	raw = append(raw, c.ID...)
	_, _ = h.Write(raw)
	return h.Sum64()
}
