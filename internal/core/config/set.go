package config

import (
	"bytes"
	"fmt"

	"github.com/google/btree"
)

// treeDegree is the degree of the B-trees.
const treeDegree = 16

// Set is a replica of the platform's configuration objects. It is not safe for
// concurrent use.
type Set struct {
	parse     Parse
	byKey     *btree.BTreeG[*entry]
	byVersion *btree.BTreeG[*entry]
	// tombstones is the number of deleted entries.
	tombstones int
	// initialized is set once the set is complete up to any revision, which may be
	// 0.
	initialized bool
	// complete is the revision up to which the set is complete: every entry is at
	// least as new as the platform's state at this revision, and an object without
	// an entry did not exist then.
	complete uint64
	// revision is the highest object version up to complete. It never decreases.
	// AdvanceRevision may raise it further, up to complete.
	revision uint64
	// missedDeletions are the ranges of revisions in which tombstones may be
	// missing.
	missedDeletions spans
	transfer        *transfer
	problems        map[Key]Problem
}

// New returns an empty Set that decodes values with parse.
func New(parse Parse) *Set {
	byKey := func(a, b *entry) bool { return a.compare(b.Key) < 0 }
	byVersion := func(a, b *entry) bool {
		if a.Version != b.Version {
			return a.Version < b.Version
		}
		return a.compare(b.Key) < 0
	}
	return &Set{
		parse:     parse,
		byKey:     btree.NewG(treeDegree, byKey),
		byVersion: btree.NewG(treeDegree, byVersion),
		problems:  map[Key]Problem{},
	}
}

// Result is the effect of an input on a Set.
type Result struct {
	// Changed holds the keys of the entries that changed.
	Changed []Key
	// Stale is set if the input was ignored because it is older than the set.
	Stale bool
	// Gap is set if the input was ignored because the set lacks changes that
	// precede it.
	Gap bool
}

// IsInitialized reports whether the set is complete up to any revision, even 0.
func (s *Set) IsInitialized() bool { return s.initialized }

// CompleteRevision returns the revision up to which the set is complete. A watch
// resumes from it.
func (s *Set) CompleteRevision() uint64 { return s.complete }

// Revision returns the version of the newest change up to CompleteRevision. Unlike
// CompleteRevision it does not increase with the platform's writes of other kinds.
func (s *Set) Revision() uint64 { return s.revision }

// Len returns the number of entries, including tombstones.
func (s *Set) Len() int { return s.byKey.Len() }

// Lookup returns the decoded value in force and its version, or nil and 0 if there is
// none.
func (s *Set) Lookup(key Key) (parsed any, version uint64) {
	e, ok := s.entry(key)
	if !ok {
		return nil, 0
	}
	return e.parsed, e.lastValid.Version
}

// Newest returns the newest write of an object, whether valid or not. It reports false
// if the set has no entry.
func (s *Set) Newest(key Key) (Object, bool) {
	e, ok := s.entry(key)
	if !ok {
		return Object{}, false
	}
	return e.Object, true
}

// Problems returns the problems of all objects, in order of their keys.
func (s *Set) Problems() []Problem {
	out := make([]Problem, 0, len(s.problems))
	s.byKey.Ascend(func(e *entry) bool {
		if p, ok := s.problems[e.Key]; ok {
			out = append(out, p)
		}
		return len(out) < len(s.problems)
	})
	return out
}

func (s *Set) entry(key Key) (*entry, bool) {
	return s.byKey.Get(&entry{Object: Object{Key: key}})
}

// merge merges one write or deletion, with the last valid write that the sender holds,
// and reports whether the entry changed. The highest version wins, so that the order
// of messages does not matter.
func (s *Set) merge(obj, lastValid Object) bool {
	if obj.Version == 0 {
		return false
	}
	held, ok := s.entry(obj.Key)
	absent := !ok || held.Deleted
	switch {
	case absent && !obj.Deleted && obj.Version <= s.complete:
		// The object did not exist at the revision up to which the set is
		// complete: it was deleted after this write.
		return false
	case !ok || obj.Version > held.Version:
		s.replaceEntry(held, s.newEntry(obj, held, lastValid))
		return true
	case obj.Version == held.Version:
		return s.mergeSameVersion(held, obj, lastValid)
	}
	return false
}

// mergeSameVersion merges a write with the version of the entry and reports whether
// the entry changed: only its last valid write can change. It records a problem if
// the writes differ.
func (s *Set) mergeSameVersion(held *entry, obj, lastValid Object) bool {
	if held.Deleted != obj.Deleted || !bytes.Equal(held.Value, obj.Value) {
		s.problems[held.Key] = Problem{
			Key: held.Key, Version: held.Version, InForce: held.lastValid.Version,
			Message: "two different writes have this version; the first one met stays",
		}
		return false
	}
	if held.parseError == "" || lastValid.Version <= held.lastValid.Version {
		return false
	}
	next := s.newEntry(obj, held, lastValid)
	if next.lastValid.Version == held.lastValid.Version {
		return false
	}
	s.replaceEntry(held, next)
	return true
}

// newEntry returns the entry of a write that replaces the entry held, if any. Its last
// valid write is the newest of the write itself, that of the entry held and that
// received from the sender. Writes before a deletion are no longer in force.
func (s *Set) newEntry(obj Object, held *entry, received Object) *entry {
	e := &entry{Object: obj, lastValid: Object{Key: obj.Key}}
	if obj.Deleted {
		return e
	}
	parsed, err := s.parse(obj.Key, obj.Value)
	if err == nil {
		e.lastValid, e.parsed = obj, parsed
		return e
	}
	e.parseError = err.Error()
	var floor uint64
	if held != nil {
		e.lastValid, e.parsed = held.lastValid, held.parsed
		floor = held.lastValid.Version
		if held.Deleted {
			floor = held.Version
		}
	}
	if received.Version <= floor || received.Version >= obj.Version {
		return e
	}
	if parsed, err := s.parse(obj.Key, received.Value); err == nil {
		e.lastValid, e.parsed = received, parsed
	}
	return e
}

// replaceEntry replaces the entry held, if any, by the next one and updates the
// tombstone count and the problems.
func (s *Set) replaceEntry(held, next *entry) {
	if held != nil {
		s.byVersion.Delete(held)
		s.tombstones -= boolInt(held.Deleted)
	}
	s.tombstones += boolInt(next.Deleted)
	s.byKey.ReplaceOrInsert(next)
	s.byVersion.ReplaceOrInsert(next)
	delete(s.problems, next.Key)
	if next.parseError != "" {
		s.problems[next.Key] = Problem{
			Key: next.Key, Version: next.Version, InForce: next.lastValid.Version,
			Message: fmt.Sprintf("not valid: %s", next.parseError),
		}
	}
}

// advanceComplete records that the set is complete up to a revision and raises its
// revision accordingly.
func (s *Set) advanceComplete(complete uint64) {
	s.initialized = true
	s.complete = max(s.complete, complete)
	s.byVersion.DescendLessOrEqual(&entry{Object: Object{Version: s.complete + 1}}, func(e *entry) bool {
		if e.Version > s.complete {
			return true
		}
		s.revision = max(s.revision, e.Version)
		return false
	})
}

// AdvanceRevision raises the set's revision to that of a configuration write that a
// peer announced, and reports whether it rose. If the set is complete up to that
// revision, the write is already applied, though possibly under another version: a
// deletion that was derived from a list has a higher version than the actual one.
func (s *Set) AdvanceRevision(revision uint64) bool {
	if !s.initialized || revision > s.complete || revision <= s.revision {
		return false
	}
	s.revision = revision
	return true
}

// TrimTombstones removes the oldest tombstones until at most keep are left, but none
// above CompleteRevision. Peers that may need a removed tombstone receive a full set
// from then on.
func (s *Set) TrimTombstones(keep int) {
	var drop []*entry
	s.byVersion.Ascend(func(e *entry) bool {
		more := s.tombstones-len(drop) > keep && e.Version <= s.complete
		if more && e.Deleted {
			drop = append(drop, e)
		}
		return more
	})
	for _, e := range drop {
		s.byVersion.Delete(e)
		s.byKey.Delete(e)
		delete(s.problems, e.Key)
		s.tombstones--
		s.missedDeletions = s.missedDeletions.add(span{after: 0, until: e.Version})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
