package config

import (
	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Listing is the platform's list of one kind.
type Listing struct {
	Kind api.Kind
	// Revision at which the list stood.
	Revision uint64
	Objects  []Object
}

// ApplyList takes in the platform's lists of all kinds. They are ignored as
// stale where one of them stood before the revision that the set is complete up
// to: a store that comes back with an older state takes nothing away.
func (s *Set) ApplyList(lists []Listing) Result {
	if len(lists) == 0 {
		return Result{}
	}
	oldest, newest := lists[0].Revision, lists[0].Revision
	for _, l := range lists {
		oldest = min(oldest, l.Revision)
		newest = max(newest, l.Revision)
	}
	if s.known && oldest < s.complete {
		return Result{Stale: true}
	}
	var res Result
	before := s.complete
	for _, l := range lists {
		s.applyRange(&res, listRange(l.Kind), l.Revision, l.Objects)
	}
	s.missed = s.missed.add(span{after: before, until: newest})
	return s.settle(res, oldest)
}

// ApplyWatch takes in the changes that the platform reported after a revision.
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
	return s.settle(res, revision)
}

// ApplyPush takes in the changes that a peer pushed. They are ignored where the
// set lacks what came before them.
func (s *Set) ApplyPush(p *configv1.Push) Result {
	if p.GetSince() > s.complete || p.GetRevision() < p.GetSince() {
		return Result{Gap: true}
	}
	var res Result
	for _, m := range p.GetObjects() {
		obj, good := fromMessage(m)
		s.apply(&res, obj, good)
	}
	return s.settle(res, p.GetRevision())
}

// settle notes the revision that an input from elsewhere than the running
// transfer brought.
func (s *Set) settle(res Result, revision uint64) Result {
	if len(res.Changed) > 0 {
		s.transfer = nil
	}
	s.raise(revision)
	return res
}

func (s *Set) apply(res *Result, obj, good Object) {
	if s.merge(obj, good) {
		res.Changed = append(res.Changed, obj.Key)
	}
}

// keyRange is the keys in (after, until], or all after it where last is set.
type keyRange struct {
	after, until Key
	last         bool
}

// listRange covers all objects of a kind: no name is empty.
func listRange(kind api.Kind) keyRange {
	return keyRange{after: Key{Kind: kind}, until: Key{Kind: kind + "\x00"}}
}

func (r keyRange) holds(k Key) bool {
	return k.compare(r.after) > 0 && (r.last || k.compare(r.until) <= 0)
}

// applyRange takes in all objects that existed in a range of keys at a
// revision. What it lacks had been deleted by then; the true version of the
// deletion isn't known, and the revision is a bound from above that a later
// write still exceeds.
func (s *Set) applyRange(res *Result, r keyRange, revision uint64, objs []Object) {
	present := make(map[Key]bool, len(objs))
	for _, o := range objs {
		present[o.Key] = true
		s.apply(res, o, Object{})
	}
	s.deleteAbsent(res, r, revision, present)
}

func (s *Set) deleteAbsent(res *Result, r keyRange, revision uint64, present map[Key]bool) {
	var absent []Key
	s.byKey.AscendGreaterOrEqual(&entry{Object: Object{Key: r.after}}, func(e *entry) bool {
		if e.compare(r.after) == 0 {
			return true
		}
		if !r.holds(e.Key) {
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
