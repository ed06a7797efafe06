package config

import (
	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Listing is the platform's list of all objects of one kind.
type Listing struct {
	Kind api.Kind
	// Revision is the platform revision that the list reflects.
	Revision uint64
	Objects  []Object
}

// ApplyList applies the platform's lists of all kinds. It ignores them as stale if
// one of them is older than the revision up to which the set is complete: a store
// that was restored to an older state must not remove objects.
func (s *Set) ApplyList(lists []Listing) Result {
	if len(lists) == 0 {
		return Result{}
	}
	oldest, newest := lists[0].Revision, lists[0].Revision
	for _, l := range lists {
		oldest = min(oldest, l.Revision)
		newest = max(newest, l.Revision)
	}
	if s.initialized && oldest < s.complete {
		return Result{Stale: true}
	}
	var res Result
	before := s.complete
	for _, l := range lists {
		s.applyRange(&res, listRange(l.Kind), l.Revision, l.Objects)
	}
	s.missedDeletions = s.missedDeletions.add(span{after: before, until: newest})
	return s.finishApply(res, oldest)
}

// ApplyWatch applies the events that the platform reported in the revisions
// (since, revision]. It ignores them if the range is reversed or starts after the
// revision up to which the set is complete.
func (s *Set) ApplyWatch(since, revision uint64, events []Object) Result {
	if revision < since {
		return Result{Stale: true}
	}
	if since > s.complete {
		return Result{Gap: true}
	}
	var res Result
	for _, o := range events {
		s.apply(&res, o, Object{})
	}
	return s.finishApply(res, revision)
}

// ApplyPush applies the changes that a peer pushed. It ignores them if the set is not
// complete up to the revision from which they start, or if the range is reversed.
func (s *Set) ApplyPush(p *configv1.Push) Result {
	if p.GetSince() > s.complete || p.GetRevision() < p.GetSince() {
		return Result{Gap: true}
	}
	var res Result
	for _, m := range p.GetObjects() {
		obj, lastValid := objectFromProto(m)
		s.apply(&res, obj, lastValid)
	}
	return s.finishApply(res, p.GetRevision())
}

// finishApply ends the running transfer if an input from another source changed the
// set, and records that the set is complete up to the revision of that input.
func (s *Set) finishApply(res Result, revision uint64) Result {
	if len(res.Changed) > 0 {
		s.transfer = nil
	}
	s.advanceComplete(revision)
	return res
}

func (s *Set) apply(res *Result, obj, lastValid Object) {
	if s.merge(obj, lastValid) {
		res.Changed = append(res.Changed, obj.Key)
	}
}

// keyRange is the range of keys (after, until], or all keys greater than after if
// unbounded is set.
type keyRange struct {
	after, until Key
	unbounded    bool
}

// listRange returns the range of all keys of a kind. Names are never empty, so that
// excluding the empty name leaves out no object.
func listRange(kind api.Kind) keyRange {
	return keyRange{after: Key{Kind: kind}, until: Key{Kind: kind + "\x00"}}
}

func (r keyRange) contains(k Key) bool {
	return k.compare(r.after) > 0 && (r.unbounded || k.compare(r.until) <= 0)
}

// applyRange applies the complete state of a range of keys at a revision. Objects of
// the set that are absent from it were deleted by then. The version of their deletion
// is unknown; the revision of the state is an upper bound that any later write
// exceeds.
func (s *Set) applyRange(res *Result, r keyRange, revision uint64, objs []Object) {
	present := make(map[Key]bool, len(objs))
	for _, o := range objs {
		present[o.Key] = true
		s.apply(res, o, Object{})
	}
	s.deleteAbsent(res, r, revision, present)
}

// deleteAbsent deletes the objects in a range of keys that are older than the revision
// and not present.
func (s *Set) deleteAbsent(res *Result, r keyRange, revision uint64, present map[Key]bool) {
	var absent []Key
	s.byKey.AscendGreaterOrEqual(&entry{Object: Object{Key: r.after}}, func(e *entry) bool {
		if e.compare(r.after) == 0 {
			return true
		}
		if !r.contains(e.Key) {
			return false
		}
		if !e.Deleted && e.Version < revision && !present[e.Key] {
			absent = append(absent, e.Key)
		}
		return true
	})
	for _, key := range absent {
		s.apply(res, Object{Key: key, Version: revision, Deleted: true}, Object{})
	}
}
