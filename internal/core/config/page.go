package config

import (
	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// objectOverhead is about what a message's framing adds to an object, in bytes.
const objectOverhead = 48

// Delta returns what changed after the revision prev for peers, or a push
// without objects where it would be over limit bytes: peers that lack something
// then pull it page by page.
func (s *Set) Delta(prev uint64, limit int) *configv1.Push {
	push := &configv1.Push{Since: max(prev, s.missed.end()), Revision: s.complete}
	size := 0
	s.byVersion.AscendGreaterOrEqual(&entry{Object: Object{Version: prev + 1}}, func(e *entry) bool {
		m := e.message()
		size += sizeOf(m)
		push.Objects = append(push.Objects, m)
		return size <= limit
	})
	if size > limit || push.Since > push.Revision {
		return &configv1.Push{Since: s.complete, Revision: s.complete}
	}
	return push
}

// Answer answers a peer's pull in at most about limit bytes; nil where the set
// has nothing to say.
func (s *Set) Answer(p *configv1.Pull, limit int) *configv1.Message {
	if len(p.GetNames()) > 0 {
		push := s.named(p.GetNames(), limit)
		return &configv1.Message{Body: &configv1.Message_Push{Push: push}}
	}
	if !s.known {
		return nil
	}
	page := s.page(p, limit)
	return &configv1.Message{Body: &configv1.Message_Page{Page: page}}
}

// named returns the objects asked for; it closes no gap.
func (s *Set) named(names []*configv1.Ref, limit int) *configv1.Push {
	push := &configv1.Push{Since: s.revision, Revision: s.revision}
	size := 0
	for _, r := range names {
		e, ok := s.entry(keyOf(r))
		if !ok || size > limit {
			continue
		}
		m := e.message()
		size += sizeOf(m)
		push.Objects = append(push.Objects, m)
	}
	return push
}

func (s *Set) page(p *configv1.Pull, limit int) *configv1.Page {
	page := &configv1.Page{
		Revision: s.complete, Since: p.GetSince(), Held: p.GetHeld(), After: p.GetAfter(),
		Full:   !s.missed.covers(p.GetSince(), p.GetHeld()),
		Missed: s.missed.messages(),
	}
	after := keyOf(p.GetAfter())
	size := 0
	s.byKey.AscendGreaterOrEqual(&entry{Object: Object{Key: after}}, func(e *entry) bool {
		if e.compare(after) == 0 {
			return true
		}
		if size > limit {
			last := page.Objects[len(page.Objects)-1]
			page.Until = &configv1.Ref{Kind: last.GetKind(), Name: last.GetName()}
			return false
		}
		if page.Full || e.Version > page.Since {
			m := e.message()
			size += sizeOf(m)
			page.Objects = append(page.Objects, m)
		}
		return true
	})
	return page
}

func sizeOf(m *configv1.Object) int {
	return objectOverhead + len(m.GetKind()) + len(m.GetName()) + len(m.GetValue()) + len(m.GetGoodValue())
}

// transfer is the state of pulling a peer's set page by page. The peer chooses
// between a full set and the changes by what the set held at the start, so that
// a change from elsewhere ends the transfer.
type transfer struct {
	from string
	// since and held are the set's own state at the start.
	since, held uint64
	// after is the last key that the pages have covered.
	after Key
	// revision is the lowest of the pages so far.
	revision uint64
	// full is set while all pages were full.
	full   bool
	missed spans
}

// Transferring returns the peer that the set is being pulled from.
func (s *Set) Transferring() (from string, ok bool) {
	if s.transfer == nil {
		return "", false
	}
	return s.transfer.from, true
}

// Abandon ends a transfer. What its pages brought stays.
func (s *Set) Abandon() { s.transfer = nil }

// Pull begins a transfer from a peer, in place of one that runs, and returns
// the message to send.
func (s *Set) Pull(from string) *configv1.Pull {
	var held uint64
	if newest, ok := s.byVersion.Max(); ok {
		held = newest.Version
	}
	s.transfer = &transfer{from: from, since: s.complete, held: held, revision: ^uint64(0), full: true}
	return s.transfer.pull()
}

func (t *transfer) pull() *configv1.Pull {
	return &configv1.Pull{Since: t.since, Held: t.held, After: t.after.ref()}
}

// ApplyPage takes in a page of the running transfer and returns the pull of the
// next one; nil after the last. A page that the transfer does not wait for is
// ignored as stale.
func (s *Set) ApplyPage(from string, p *configv1.Page) (Result, *configv1.Pull) {
	t := s.transfer
	if t == nil || t.from != from || !t.awaits(p) {
		return Result{Stale: true}, nil
	}
	r := keyRange{after: t.after, until: keyOf(p.GetUntil()), last: p.GetUntil() == nil}
	if !r.last && r.until.compare(r.after) <= 0 {
		s.transfer = nil
		return Result{Stale: true}, nil
	}
	var res Result
	s.applyPage(&res, r, p)
	t.note(p)
	if r.last {
		s.finish(t)
		return res, nil
	}
	t.after = r.until
	return res, t.pull()
}

// awaits tells whether a page answers the last pull. A late answer to an equal
// pull is as good.
func (t *transfer) awaits(p *configv1.Page) bool {
	return t.since == p.GetSince() && t.held == p.GetHeld() && t.after == keyOf(p.GetAfter())
}

func (s *Set) applyPage(res *Result, r keyRange, p *configv1.Page) {
	present := make(map[Key]bool, len(p.GetObjects()))
	for _, m := range p.GetObjects() {
		obj, good := fromMessage(m)
		present[obj.Key] = !obj.Deleted
		s.apply(res, obj, good)
	}
	if p.GetFull() {
		s.deleteAbsent(res, r, p.GetRevision(), present)
	}
}

func (t *transfer) note(p *configv1.Page) {
	t.revision = min(t.revision, p.GetRevision())
	t.full = t.full && p.GetFull()
	for _, x := range p.GetMissed() {
		t.missed = t.missed.add(span{after: x.GetAfter(), until: x.GetUntil()})
	}
}

// finish notes what the set may have missed, and that it is as complete as the
// peer's was. After a full transfer it knows all deletions that the peer knows.
func (s *Set) finish(t *transfer) {
	s.transfer = nil
	if t.full && t.revision >= s.complete {
		s.missed = nil
	}
	for _, x := range t.missed {
		if x.until > t.since || t.full {
			s.missed = s.missed.add(x)
		}
	}
	s.raise(t.revision)
}
