package config

import (
	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// objectOverheadBytes is the approximate size of an object's framing in a message.
const objectOverheadBytes = 48

// Delta returns a push of the changes after the revision prev. The push is applied
// only by peers that are complete up to its Since, which is higher than prev if the
// set may lack deletions after prev. If the push would exceed limit bytes, or if
// Since is higher than the set's complete revision, it has no objects but only the
// revision, and peers that lack changes pull them page by page.
func (s *Set) Delta(prev uint64, limit int) *configv1.Push {
	push := &configv1.Push{Since: max(prev, s.missedDeletions.lastRevision()), Revision: s.complete}
	size := 0
	s.byVersion.AscendGreaterOrEqual(&entry{Object: Object{Version: prev + 1}}, func(e *entry) bool {
		m := e.toProto()
		size += encodedBytes(m)
		push.Objects = append(push.Objects, m)
		return size <= limit
	})
	if size > limit || push.Since > push.Revision {
		return &configv1.Push{Since: s.complete, Revision: s.complete}
	}
	return push
}

// AnswerPull returns the response to a peer's pull: a page, or a push if the pull names
// objects. The response exceeds limit bytes by at most one object. It is nil if a page
// is requested and the set is not initialized.
func (s *Set) AnswerPull(p *configv1.Pull, limit int) *configv1.Message {
	if len(p.GetNames()) > 0 {
		push := s.objectsByName(p.GetNames(), limit)
		return &configv1.Message{Body: &configv1.Message_Push{Push: push}}
	}
	if !s.initialized {
		return nil
	}
	page := s.buildPage(p, limit)
	return &configv1.Message{Body: &configv1.Message_Page{Page: page}}
}

// objectsByName returns a push of the named objects. The push covers no range of
// revisions and so does not advance the receiver's complete revision.
func (s *Set) objectsByName(names []*configv1.Ref, limit int) *configv1.Push {
	push := &configv1.Push{Since: s.revision, Revision: s.revision}
	size := 0
	for _, r := range names {
		e, ok := s.entry(keyFromProto(r))
		if !ok || size > limit {
			continue
		}
		m := e.toProto()
		size += encodedBytes(m)
		push.Objects = append(push.Objects, m)
	}
	return push
}

// buildPage returns the page that answers a pull. A full page contains all objects of
// its range of keys; other pages contain those changed after the pull's complete
// revision. The page is full if the set may lack deletions that the receiver needs.
func (s *Set) buildPage(p *configv1.Pull, limit int) *configv1.Page {
	page := &configv1.Page{
		Revision: s.complete, Since: p.GetSince(), Held: p.GetHeld(), After: p.GetAfter(),
		Full:   !s.missedDeletions.allowsDelta(p.GetSince(), p.GetHeld()),
		Missed: s.missedDeletions.toProto(),
	}
	after := keyFromProto(p.GetAfter())
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
			m := e.toProto()
			size += encodedBytes(m)
			page.Objects = append(page.Objects, m)
		}
		return true
	})
	return page
}

// encodedBytes returns the approximate size of an object in a message.
func encodedBytes(m *configv1.Object) int {
	return objectOverheadBytes + len(m.GetKind()) + len(m.GetName()) + len(m.GetValue()) + len(m.GetGoodValue())
}

// transfer is the state of pulling a peer's set page by page. The peer decides
// between a full set and the changes only, based on what this set held at the start.
// Therefore a change from another source ends the transfer.
type transfer struct {
	peer string
	// since and held are the set's complete revision and its highest object
	// version at the start.
	since, held uint64
	// after is the last key covered by the pages received.
	after Key
	// revision is the lowest revision of the pages received.
	revision uint64
	// full is set while all pages received are full.
	full            bool
	missedDeletions spans
}

// TransferPeer returns the peer of the running transfer; ok is false if there is no
// transfer.
func (s *Set) TransferPeer() (peer string, ok bool) {
	if s.transfer == nil {
		return "", false
	}
	return s.transfer.peer, true
}

// AbortTransfer ends the running transfer. Changes from pages received so far stay.
func (s *Set) AbortTransfer() { s.transfer = nil }

// StartTransfer starts a transfer from a peer, replacing a running one, and returns the
// pull to send.
func (s *Set) StartTransfer(peer string) *configv1.Pull {
	var held uint64
	if newest, ok := s.byVersion.Max(); ok {
		held = newest.Version
	}
	s.transfer = &transfer{peer: peer, since: s.complete, held: held, revision: ^uint64(0), full: true}
	return s.transfer.nextPull()
}

func (t *transfer) nextPull() *configv1.Pull {
	return &configv1.Pull{Since: t.since, Held: t.held, After: t.after.toProto()}
}

// ApplyPage applies a page of the running transfer and returns the pull of the next
// one; nil after the last page. A page that does not answer the last pull is ignored
// as stale. A page whose range does not advance is ignored too and ends the transfer.
func (s *Set) ApplyPage(peer string, p *configv1.Page) (Result, *configv1.Pull) {
	t := s.transfer
	if t == nil || t.peer != peer || !t.isAnsweredBy(p) {
		return Result{Stale: true}, nil
	}
	r := keyRange{after: t.after, until: keyFromProto(p.GetUntil()), unbounded: p.GetUntil() == nil}
	if !r.unbounded && r.until.compare(r.after) <= 0 {
		s.transfer = nil
		return Result{Stale: true}, nil
	}
	var res Result
	s.applyPage(&res, r, p)
	t.recordPage(p)
	if r.unbounded {
		s.finishTransfer(t)
		return res, nil
	}
	t.after = r.until
	return res, t.nextPull()
}

// isAnsweredBy reports whether a page answers the last pull. A delayed response to an
// earlier pull with the same fields is accepted too.
func (t *transfer) isAnsweredBy(p *configv1.Page) bool {
	return t.since == p.GetSince() && t.held == p.GetHeld() && t.after == keyFromProto(p.GetAfter())
}

// applyPage applies the objects of a page that covers a range of keys.
func (s *Set) applyPage(res *Result, r keyRange, p *configv1.Page) {
	present := make(map[Key]bool, len(p.GetObjects()))
	for _, m := range p.GetObjects() {
		obj, lastValid := objectFromProto(m)
		present[obj.Key] = !obj.Deleted
		s.apply(res, obj, lastValid)
	}
	if p.GetFull() {
		s.deleteAbsent(res, r, p.GetRevision(), present)
	}
}

// recordPage merges a page's revision, Full flag and missed deletions into the
// transfer.
func (t *transfer) recordPage(p *configv1.Page) {
	t.revision = min(t.revision, p.GetRevision())
	t.full = t.full && p.GetFull()
	for _, x := range p.GetMissed() {
		t.missedDeletions = t.missedDeletions.add(span{after: x.GetAfter(), until: x.GetUntil()})
	}
}

// finishTransfer takes over the spans in which the peer may have missed deletions, and
// records that the set is complete up to the revision of the transfer. After a full
// transfer the set has all deletions that the peer has, so that its own spans no
// longer apply.
func (s *Set) finishTransfer(t *transfer) {
	s.transfer = nil
	if t.full && t.revision >= s.complete {
		s.missedDeletions = nil
	}
	for _, x := range t.missedDeletions {
		if x.until > t.since || t.full {
			s.missedDeletions = s.missedDeletions.add(x)
		}
	}
	s.advanceComplete(t.revision)
}
