// Package quarantine detects requests that crash the targets that run them.
//
// A Table records target crashes by request fingerprint and derives from them
// whether a request may run, must run solo, that is, as the only one at its target,
// or must be refused. A trial is the right of one router at a time to run a suspect
// solo; Trials grants it. Both are deterministic state machines without I/O or clock.
// Crash reports from other routers may arrive in any order and any number of times:
// merging them is commutative and idempotent.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

// Bounds on the memory of a Table.
const (
	// MaxSuspects bounds the number of fingerprints.
	MaxSuspects = 4096
	// maxCrashesPerFingerprint bounds the crashes kept; the oldest are dropped.
	maxCrashesPerFingerprint = 8
	// digestGroups is the number of groups of fingerprints that have a digest each. With a full
	// table a group has some hundred crashes.
	digestGroups = 32
)

// duplicateReportWindow is the time within which crash reports of one fingerprint
// at one target count as one death that several routers reported.
const duplicateReportWindow = 5 * time.Second

// Crash is one report of a target death that a request may have caused.
type Crash struct {
	Fingerprint uint64
	Target      ids.Target
	// ID identifies the death in the reports of all routers.
	ID string
	// Solo is set if no other request ran at the target.
	Solo bool
	// AtMS is the time of the death by the reporter's wall clock, in Unix
	// milliseconds.
	AtMS int64
	// StartedMS is the time at which the attempt started at the target, by the
	// same clock, in Unix milliseconds.
	StartedMS int64
	// Cleared is set once the request has been found not to be the cause. It is
	// never unset.
	Cleared bool
}

// Level says how a request with a fingerprint may run.
type Level int

// Levels, in order of severity.
const (
	// Clean requests have no crash recorded against them.
	Clean Level = iota
	// Suspect requests must run solo.
	Suspect
	// Quarantined requests must not run.
	Quarantined
)

// Status is a fingerprint's level and the time at which that level ends. The zero
// value is Clean.
type Status struct {
	Level Level
	Until time.Time
}

// WithoutTrials returns the status that applies on a router that may not run
// trials: a suspect is quarantined for the given period after its last crash,
// which is half of its time as a suspect.
func (s Status) WithoutTrials(period time.Duration, now time.Time) Status {
	until := s.Until.Add(-period)
	if s.Level == Suspect && now.Before(until) {
		return Status{Level: Quarantined, Until: until}
	}
	return s
}

// Table records crashes by fingerprint. The zero value is not usable; see New. It
// is not safe for concurrent use.
type Table struct {
	// duration is how long a quarantine lasts.
	duration time.Duration
	suspects map[uint64]*suspect
}

type suspect struct {
	crashes []Crash // sorted by AtMS and ID
	// lastMS is the time of the latest crash in Unix milliseconds.
	lastMS int64
}

// New returns an empty Table whose quarantines last for the given duration.
func New(duration time.Duration) *Table {
	return &Table{duration: duration, suspects: map[uint64]*suspect{}}
}

// Len returns the number of fingerprints in the table.
func (t *Table) Len() int { return len(t.suspects) }

// Fingerprints returns all fingerprints in the table, in no particular order.
func (t *Table) Fingerprints() []uint64 {
	out := make([]uint64, 0, len(t.suspects))
	for fp := range t.suspects {
		out = append(out, fp)
	}
	return out
}

// Add merges a crash report into the table and reports whether the table changed.
// A report of a recorded crash can only set its Cleared and Solo flags.
func (t *Table) Add(c Crash, now time.Time) bool {
	if t.isExpired(c.AtMS, now) {
		return false
	}
	s := t.suspects[c.Fingerprint]
	if s == nil {
		if !t.makeRoom(c) {
			return false
		}
		s = &suspect{}
		t.suspects[c.Fingerprint] = s
	}
	return s.add(c)
}

func (s *suspect) add(c Crash) bool {
	for i := range s.crashes {
		recorded := &s.crashes[i]
		if recorded.ID != c.ID {
			continue
		}
		changed := c.Cleared && !recorded.Cleared || c.Solo && !recorded.Solo
		recorded.Cleared = recorded.Cleared || c.Cleared
		recorded.Solo = recorded.Solo || c.Solo
		return changed
	}
	s.crashes = append(s.crashes, c)
	slices.SortFunc(s.crashes, func(x, y Crash) int {
		if d := cmp.Compare(x.AtMS, y.AtMS); d != 0 {
			return d
		}
		return cmp.Compare(x.ID, y.ID)
	})
	if len(s.crashes) > maxCrashesPerFingerprint {
		s.crashes = s.crashes[len(s.crashes)-maxCrashesPerFingerprint:]
	}
	s.lastMS = s.crashes[len(s.crashes)-1].AtMS
	return slices.ContainsFunc(s.crashes, func(k Crash) bool { return k.ID == c.ID })
}

// CrashesOf returns the crashes of one fingerprint in order of time.
func (t *Table) CrashesOf(fp uint64) []Crash {
	s := t.suspects[fp]
	if s == nil {
		return nil
	}
	return slices.Clone(s.crashes)
}

// Clear sets Cleared on the crashes recorded so far for a fingerprint and returns
// those that were not cleared before. Crashes added later count.
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

// Status returns the status of a fingerprint. The first death makes the request a
// suspect. A second death, or one during a solo run after the first, quarantines
// it. If the request never ran solo, another request may have caused the
// deaths: its quarantine lasts a tenth of the duration, and it then runs solo.
func (t *Table) Status(fp uint64, now time.Time) Status {
	s := t.suspects[fp]
	if s == nil {
		return Status{}
	}
	deaths, solo, lastMS := s.countDeaths(func(c Crash) bool { return t.isExpired(c.AtMS, now) })
	if deaths == 0 {
		return Status{}
	}
	if deaths >= 2 {
		period := t.duration
		if !solo {
			period /= 10
		}
		if until := time.UnixMilli(lastMS).Add(period); now.Before(until) {
			return Status{Level: Quarantined, Until: until}
		}
	}
	return Status{Level: Suspect, Until: time.UnixMilli(lastMS).Add(2 * t.duration)}
}

// CountDeaths returns the number of distinct target deaths that count against a
// fingerprint.
func (t *Table) CountDeaths(fp uint64, now time.Time) int {
	s := t.suspects[fp]
	if s == nil {
		return 0
	}
	n, _, _ := s.countDeaths(func(c Crash) bool { return t.isExpired(c.AtMS, now) })
	return n
}

// countDeaths returns the number of distinct deaths, whether the request ran solo
// in one of them, and the time of the latest in Unix milliseconds. It ignores
// cleared crashes and those for which skip returns true. A crash of a solo run, or
// of an attempt that started after the previous death of the same target, is a
// distinct death, even within duplicateReportWindow.
func (s *suspect) countDeaths(skip func(Crash) bool) (n int, solo bool, lastMS int64) {
	lastDeathMS := map[ids.Target]int64{}
	for _, c := range s.crashes {
		if c.Cleared || skip(c) {
			continue
		}
		lastMS = max(lastMS, c.AtMS)
		solo = solo || c.Solo
		previousMS, ok := lastDeathMS[c.Target]
		lastDeathMS[c.Target] = c.AtMS
		if ok && !c.Solo && c.StartedMS <= previousMS && c.AtMS-previousMS <= duplicateReportWindow.Milliseconds() {
			continue
		}
		n++
	}
	return n, solo, lastMS
}

// isExpired reports whether a crash at the given time, in Unix milliseconds, is too
// old to count. Crashes count for twice the duration of a quarantine: after its
// quarantine a fingerprint is a suspect for as long again.
func (t *Table) isExpired(atMS int64, now time.Time) bool {
	return now.Sub(time.UnixMilli(atMS)) > 2*t.duration
}

// Expire deletes the fingerprints whose crashes have all expired.
func (t *Table) Expire(now time.Time) {
	for fp, s := range t.suspects {
		if t.isExpired(s.lastMS, now) {
			delete(t.suspects, fp)
		}
	}
}

// makeRoom deletes the fingerprint whose latest crash is the oldest if the table holds
// MaxSuspects fingerprints. It returns false if that of the given crash would be the oldest:
// otherwise full tables would exchange their oldest crashes forever.
func (t *Table) makeRoom(c Crash) bool {
	if len(t.suspects) < MaxSuspects {
		return true
	}
	var oldest uint64
	first := true
	for fp, s := range t.suspects {
		o := t.suspects[oldest]
		if first || s.lastMS < o.lastMS || s.lastMS == o.lastMS && fp < oldest {
			oldest, first = fp, false
		}
	}
	if last := t.suspects[oldest].lastMS; c.AtMS < last || c.AtMS == last && c.Fingerprint < oldest {
		return false
	}
	delete(t.suspects, oldest)
	return true
}

// CrashesThatDiffer returns the crashes of the groups whose digests differ from those of another
// table, newest first. If that table's digests are of another number of groups, it returns all.
func (t *Table) CrashesThatDiffer(others []uint64) []Crash {
	own := t.GroupDigests()
	var out []Crash
	for fp, s := range t.suspects {
		if g := groupOf(fp); len(others) != digestGroups || others[g] != own[g] {
			out = append(out, s.crashes...)
		}
	}
	slices.SortFunc(out, func(x, y Crash) int {
		if d := cmp.Compare(y.AtMS, x.AtMS); d != 0 {
			return d
		}
		if d := cmp.Compare(x.Fingerprint, y.Fingerprint); d != 0 {
			return d
		}
		return cmp.Compare(x.ID, y.ID)
	})
	return out
}

// Digest returns a hash over the fingerprints, IDs and flags of all crashes. It is
// equal for tables that hold the same crashes.
func (t *Table) Digest() uint64 {
	var sum uint64
	for _, group := range t.GroupDigests() {
		sum ^= group
	}
	return sum
}

// GroupDigests returns the same hash for each group of fingerprints.
func (t *Table) GroupDigests() []uint64 {
	groups := make([]uint64, digestGroups)
	for fp, s := range t.suspects {
		for _, c := range s.crashes {
			groups[groupOf(fp)] ^= c.digest()
		}
	}
	return groups
}

func groupOf(fingerprint uint64) int { return int(rendezvous.Mix(fingerprint) % digestGroups) }

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
	buf := make([]byte, 0, 16+len(c.ID))
	for i := range 8 {
		buf = append(buf, byte(c.Fingerprint>>(8*i)))
	}
	buf = append(buf, flags)
	buf = append(buf, c.ID...)
	_, _ = h.Write(buf)
	return h.Sum64()
}
