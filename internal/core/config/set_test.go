package config

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

var keyA = Key{Kind: api.KindContract, Name: "a"}

func write(version uint64, value string) Object {
	return Object{Key: keyA, Version: version, Value: []byte(value)}
}

func deletion(version uint64) Object { return Object{Key: keyA, Version: version, Deleted: true} }

func list(revision uint64, objs ...Object) []Listing {
	return []Listing{{Kind: api.KindContract, Revision: revision, Objects: objs}}
}

// holding returns a set that has watched the writes from the start.
func holding(revision uint64, events ...Object) *Set {
	s := New(parseModel)
	s.ApplyWatch(0, revision, events)
	return s
}

func TestStaleListIsIgnoredAndReported(t *testing.T) {
	g := NewWithT(t)
	s := holding(9, write(8, "x"))
	g.Expect(s.ApplyList(list(7, write(3, "old")))).To(Equal(Result{Stale: true}))
	g.Expect(s.ApplyWatch(9, 5, nil)).To(Equal(Result{Stale: true}))
	typed, version := s.Lookup(keyA)
	g.Expect(typed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(8)))
	g.Expect(s.Complete()).To(Equal(uint64(9)))
}

func TestInvalidWriteLeavesLastGood(t *testing.T) {
	g := NewWithT(t)
	s := holding(5, write(3, "x"), write(5, "bad"))
	typed, version := s.Lookup(keyA)
	g.Expect(typed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(3)))
	g.Expect(s.Problems()).To(HaveLen(1))
	g.Expect(s.Problems()[0].InForce).To(Equal(uint64(3)))
	s.ApplyWatch(5, 6, []Object{write(6, "y")})
	g.Expect(s.Problems()).To(BeEmpty())
}

// A router without memory gets the last good write of an invalid object from a
// peer, since the platform has only the newest.
func TestLastGoodComesFromPeers(t *testing.T) {
	g := NewWithT(t)
	peer := holding(5, write(3, "x"), write(5, "bad"))
	fresh := New(parseModel)
	fresh.ApplyList(list(5, write(5, "bad")))
	_, version := fresh.Lookup(keyA)
	g.Expect(version).To(BeZero())
	answer := peer.Answer(&configv1.Pull{Names: []*configv1.Ref{keyA.ref()}}, 1000)
	fresh.ApplyPush(answer.GetPush())
	typed, version := fresh.Lookup(keyA)
	g.Expect(typed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(3)))
}

// The last good write before a deletion does not come back with an invalid one
// after it.
func TestDeletionEndsLastGood(t *testing.T) {
	g := NewWithT(t)
	s := holding(4, write(3, "x"), deletion(4))
	peer := holding(3, write(3, "x"))
	peer.ApplyWatch(3, 5, []Object{write(5, "bad")})
	s.ApplyPush(peer.Delta(4, 1000))
	typed, version := s.Lookup(keyA)
	g.Expect(typed).To(BeNil())
	g.Expect(version).To(BeZero())
	newest, _ := s.Newest(keyA)
	g.Expect(newest.Version).To(Equal(uint64(5)))
}

func TestPushOverGapIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := holding(3, write(3, "x"))
	res := s.ApplyPush(&configv1.Push{Since: 4, Revision: 6, Objects: []*configv1.Object{{Kind: "contracts", Name: "a", Version: 6, Value: []byte("y")}}})
	g.Expect(res).To(Equal(Result{Gap: true}))
	g.Expect(s.Revision()).To(Equal(uint64(3)))
}

// Found by the model: a late write must not undo a deletion that only a list
// told of.
func TestLateWriteAfterListedDeletion(t *testing.T) {
	g := NewWithT(t)
	s := holding(2, write(1, "x"), deletion(2))
	s.ApplyList(list(4))
	g.Expect(s.merge(write(3, "late"), Object{})).To(BeFalse())
}

// Found by the model: in a full page, an older tombstone does not stand for the
// object that the receiver holds.
func TestFullPageWithOlderTombstone(t *testing.T) {
	g := NewWithT(t)
	sender := holding(2, write(1, "x"), deletion(2))
	sender.ApplyList(list(4))
	receiver := New(parseModel)
	receiver.merge(write(3, "y"), Object{})
	page := sender.Answer(receiver.Pull("p"), 1000).GetPage()
	g.Expect(page.GetFull()).To(BeTrue())
	receiver.ApplyPage("p", page)
	newest, _ := receiver.Newest(keyA)
	g.Expect(newest.Deleted).To(BeTrue())
}

// Found by the model: what a set learns from elsewhere during a transfer ends
// it, since the peer's choice of page rests on what the set held before.
func TestChangeDuringTransferEndsIt(t *testing.T) {
	g := NewWithT(t)
	sender := New(parseModel)
	sender.ApplyList(list(3))
	receiver := New(parseModel)
	page := sender.Answer(receiver.Pull("p"), 1000).GetPage()
	receiver.ApplyList([]Listing{{Kind: api.KindContract, Revision: 1, Objects: []Object{write(1, "x")}}, {Kind: api.KindTarget}})
	res, next := receiver.ApplyPage("p", page)
	g.Expect(res.Stale).To(BeTrue())
	g.Expect(next).To(BeNil())
	g.Expect(receiver.Complete()).To(BeZero())
}

// A peer that fell behind further than the tombstones reach gets a full set.
func TestTrimmedTombstoneNeedsFullSet(t *testing.T) {
	g := NewWithT(t)
	sender := holding(3, write(2, "x"), deletion(3))
	behind := holding(2, write(2, "x"))
	level := holding(3, write(2, "x"), deletion(3))
	sender.Trim(0)
	g.Expect(sender.Len()).To(BeZero())
	g.Expect(sender.Answer(level.Pull("p"), 1000).GetPage().GetFull()).To(BeFalse())
	page := sender.Answer(behind.Pull("p"), 1000).GetPage()
	g.Expect(page.GetFull()).To(BeTrue())
	behind.ApplyPage("p", page)
	newest, _ := behind.Newest(keyA)
	g.Expect(newest.Deleted).To(BeTrue())
}

func TestWritesOfOtherKindsDoNotRaiseRevision(t *testing.T) {
	g := NewWithT(t)
	s := holding(3, write(3, "x"))
	s.ApplyWatch(3, 5000, nil)
	g.Expect(s.Complete()).To(Equal(uint64(5000)))
	g.Expect(s.Revision()).To(Equal(uint64(3)))
}

// A deletion that one router watched and another found by a list has two
// versions; both routers come to announce the same revision.
func TestWitnessLevelsRevisions(t *testing.T) {
	g := NewWithT(t)
	watched := holding(9, write(2, "x"), deletion(3))
	listed := holding(2, write(2, "x"))
	listed.ApplyList(list(7))
	g.Expect(listed.Revision()).To(Equal(uint64(7)))
	g.Expect(watched.Witness(listed.Revision())).To(BeTrue())
	g.Expect(watched.Revision()).To(Equal(uint64(7)))
	g.Expect(watched.Witness(10)).To(BeFalse())
}

func TestSpans(t *testing.T) {
	g := NewWithT(t)
	var s spans
	s = s.add(span{5, 9}).add(span{20, 30}).add(span{8, 12})
	g.Expect(s).To(Equal(spans{{5, 12}, {20, 30}}))
	g.Expect(s.covers(12, 12)).To(BeTrue(), "held nothing of the second span")
	g.Expect(s.covers(5, 5)).To(BeTrue())
	g.Expect(s.covers(4, 6)).To(BeFalse())
	g.Expect(s.covers(25, 25)).To(BeFalse())
	g.Expect(s.covers(30, 40)).To(BeTrue())
	for i := range uint64(2 * maxSpans) {
		s = s.add(span{100 + 10*i, 105 + 10*i})
	}
	g.Expect(s).To(HaveLen(maxSpans))
	g.Expect(s[0].after).To(Equal(uint64(5)))
}
