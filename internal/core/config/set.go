package config

import (
	"bytes"
	"fmt"

	"github.com/google/btree"
)

// treeDegree is the branching of the ordered indexes.
const treeDegree = 16

// Set is a set of configuration objects. It is not safe for concurrent use.
type Set struct {
	parse     Parse
	byKey     *btree.BTreeG[*entry]
	byVersion *btree.BTreeG[*entry]
	// tombstones counts the deleted entries.
	tombstones int
	// known is set once the set has been complete up to any revision.
	known bool
	// complete: every entry is at least as new as the platform's state at this
	// revision, and an object without an entry did not exist then.
	complete uint64
	// revision is the highest version up to complete, and only rises.
	revision uint64
	missed   spans
	transfer *transfer
	problems map[Key]Problem
}

// New returns an empty set.
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

// Result says what an input did to the set.
type Result struct {
	// Changed are the objects whose entry changed.
	Changed []Key
	// Stale is set where the input was older than the set and was ignored.
	Stale bool
	// Gap is set where the input was ignored since the set lacks what came
	// before it.
	Gap bool
}

// Known tells whether the set has been complete up to any revision.
func (s *Set) Known() bool { return s.known }

// Complete is the revision up to which the set is complete: a watch goes on
// from it.
func (s *Set) Complete() uint64 { return s.complete }

// Revision is the version of the newest change that the set is complete up to.
// Unlike Complete it does not rise with writes of other kinds.
func (s *Set) Revision() uint64 { return s.revision }

// Len is the number of entries, tombstones included.
func (s *Set) Len() int { return s.byKey.Len() }

// Lookup returns the typed value in force and its version; 0 where there is
// none.
func (s *Set) Lookup(key Key) (typed any, version uint64) {
	e, ok := s.entry(key)
	if !ok {
		return nil, 0
	}
	return e.typed, e.good.Version
}

// Newest returns the newest write of an object, valid or not.
func (s *Set) Newest(key Key) (Object, bool) {
	e, ok := s.entry(key)
	if !ok {
		return Object{}, false
	}
	return e.Object, true
}

// Problems are the objects at fault.
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

// merge takes in one write or deletion, with the last valid write that the
// sender knows of, and tells whether the entry changed. The highest version
// wins, so that the order of messages does not matter.
func (s *Set) merge(obj, good Object) bool {
	if obj.Version == 0 {
		return false
	}
	held, ok := s.entry(obj.Key)
	gone := !ok || held.Deleted
	switch {
	case gone && !obj.Deleted && obj.Version <= s.complete:
		// The object did not exist at the revision that the set is complete up
		// to, so the write has been deleted since.
		return false
	case !ok || obj.Version > held.Version:
		s.store(held, s.newEntry(obj, held, good))
		return true
	case obj.Version == held.Version:
		return s.mergeEqual(held, obj, good)
	}
	return false
}

// mergeEqual takes in a last valid write that the entry lacks.
func (s *Set) mergeEqual(held *entry, obj, good Object) bool {
	if held.Deleted != obj.Deleted || !bytes.Equal(held.Value, obj.Value) {
		s.problems[held.Key] = Problem{
			Key: held.Key, Version: held.Version, InForce: held.good.Version,
			Message: "two different writes have this version; the first one met stays",
		}
		return false
	}
	if held.problem == "" || good.Version <= held.good.Version {
		return false
	}
	next := s.newEntry(obj, held, good)
	if next.good.Version == held.good.Version {
		return false
	}
	s.store(held, next)
	return true
}

// newEntry builds the entry of a write that follows the one held, if any. The
// last valid write is the newest of the write itself and those that the
// receiver and the sender knew. A deletion ends the object: the writes before
// it are in force no more.
func (s *Set) newEntry(obj Object, held *entry, sentGood Object) *entry {
	e := &entry{Object: obj, good: Object{Key: obj.Key}}
	if obj.Deleted {
		return e
	}
	typed, err := s.parse(obj.Key, obj.Value)
	if err == nil {
		e.good, e.typed = obj, typed
		return e
	}
	e.problem = err.Error()
	var floor uint64
	if held != nil {
		e.good, e.typed = held.good, held.typed
		floor = held.good.Version
		if held.Deleted {
			floor = held.Version
		}
	}
	if sentGood.Version <= floor || sentGood.Version >= obj.Version {
		return e
	}
	if typed, err := s.parse(obj.Key, sentGood.Value); err == nil {
		e.good, e.typed = sentGood, typed
	}
	return e
}

// store replaces the entry held by the next one.
func (s *Set) store(held, next *entry) {
	if held != nil {
		s.byVersion.Delete(held)
		s.tombstones -= boolInt(held.Deleted)
	}
	s.tombstones += boolInt(next.Deleted)
	s.byKey.ReplaceOrInsert(next)
	s.byVersion.ReplaceOrInsert(next)
	delete(s.problems, next.Key)
	if next.problem != "" {
		s.problems[next.Key] = Problem{
			Key: next.Key, Version: next.Version, InForce: next.good.Version,
			Message: fmt.Sprintf("not valid: %s", next.problem),
		}
	}
}

// raise notes that the set is complete up to a revision.
func (s *Set) raise(complete uint64) {
	s.known = true
	s.complete = max(s.complete, complete)
	s.byVersion.DescendLessOrEqual(&entry{Object: Object{Version: s.complete + 1}}, func(e *entry) bool {
		if e.Version > s.complete {
			return true
		}
		s.revision = max(s.revision, e.Version)
		return false
	})
}

// Witness takes in that a configuration write has this revision, and tells
// whether the set's own revision rose: where the set is complete up to it, the
// write is in force here, though the set may know it by another version. (A
// deletion that only a list told of has a later version than the true one.)
func (s *Set) Witness(revision uint64) bool {
	if !s.known || revision > s.complete || revision <= s.revision {
		return false
	}
	s.revision = revision
	return true
}

// Trim drops the oldest tombstones until at most keep are left. A peer that may
// need one of them gets a full set from then on.
func (s *Set) Trim(keep int) {
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
		s.missed = s.missed.add(span{after: 0, until: e.Version})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
