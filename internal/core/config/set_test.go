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

// newWatchingSet returns a set that has received the events up to a revision by a
// watch from revision 0.
func newWatchingSet(revision uint64, events ...Object) *Set {
	s := New(parseModel)
	s.ApplyWatch(0, revision, events)
	return s
}

// A platform that was restored to an older state returns older lists and watch
// revisions. They must not revert the set.
func TestStaleListIsIgnoredAndReported(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(9, write(8, "x"))
	g.Expect(s.ApplyList(list(7, write(3, "old")))).To(Equal(Result{Stale: true}))
	g.Expect(s.ApplyWatch(9, 5, nil)).To(Equal(Result{Stale: true}))
	parsed, version := s.Lookup(keyA)
	g.Expect(parsed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(8)))
	g.Expect(s.CompleteRevision()).To(Equal(uint64(9)))
}

// An invalid write must not take the last valid write out of force.
func TestInvalidWriteKeepsLastValid(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(5, write(3, "x"), write(5, "bad"))
	parsed, version := s.Lookup(keyA)
	g.Expect(parsed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(3)))
	g.Expect(s.Problems()).To(HaveLen(1))
	g.Expect(s.Problems()[0].InForce).To(Equal(uint64(3)))
	s.ApplyWatch(5, 6, []Object{write(6, "y")})
	g.Expect(s.Problems()).To(BeEmpty())
}

// A restarted router must obtain the last valid write of an object from a peer if the
// newest write is invalid, since the platform returns only the newest.
func TestLastValidIsPulledFromPeer(t *testing.T) {
	g := NewWithT(t)
	peer := newWatchingSet(5, write(3, "x"), write(5, "bad"))
	restarted := New(parseModel)
	restarted.ApplyList(list(5, write(5, "bad")))
	_, version := restarted.Lookup(keyA)
	g.Expect(version).To(BeZero())
	response := peer.AnswerPull(&configv1.Pull{Names: []*configv1.Ref{keyA.toProto()}}, 1000)
	restarted.ApplyPush(response.GetPush())
	parsed, version := restarted.Lookup(keyA)
	g.Expect(parsed).To(Equal("x"))
	g.Expect(version).To(Equal(uint64(3)))
}

// An invalid write after a deletion must not bring the last valid write before the
// deletion back into force.
func TestDeletionDiscardsLastValid(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(4, write(3, "x"), deletion(4))
	peer := newWatchingSet(3, write(3, "x"))
	peer.ApplyWatch(3, 5, []Object{write(5, "bad")})
	s.ApplyPush(peer.Delta(4, 1000))
	parsed, version := s.Lookup(keyA)
	g.Expect(parsed).To(BeNil())
	g.Expect(version).To(BeZero())
	newest, _ := s.Newest(keyA)
	g.Expect(newest.Version).To(Equal(uint64(5)))
}

// A push that starts after the set's complete revision leaves out changes. Applying it
// would make the set claim to be complete.
func TestPushAfterGapIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(3, write(3, "x"))
	res := s.ApplyPush(&configv1.Push{Since: 4, Revision: 6, Objects: []*configv1.Object{{Kind: "contracts", Name: "a", Version: 6, Value: []byte("y")}}})
	g.Expect(res).To(Equal(Result{Gap: true}))
	g.Expect(s.Revision()).To(Equal(uint64(3)))
}

// Found by TestModel: a delayed write must not undo a deletion that is known only from
// the object's absence from a list.
func TestDelayedWriteAfterDeletionFromList(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(2, write(1, "x"), deletion(2))
	s.ApplyList(list(4))
	g.Expect(s.merge(write(3, "late"), Object{})).To(BeFalse())
}

// Found by TestModel: a full page holds a tombstone older than the receiver's write of
// the object. The tombstone must not count as the object being present, or the receiver
// would keep a deleted object.
func TestFullPageWithOlderTombstone(t *testing.T) {
	g := NewWithT(t)
	sender := newWatchingSet(2, write(1, "x"), deletion(2))
	sender.ApplyList(list(4))
	receiver := New(parseModel)
	receiver.merge(write(3, "y"), Object{})
	page := sender.AnswerPull(receiver.StartTransfer("p"), 1000).GetPage()
	g.Expect(page.GetFull()).To(BeTrue())
	receiver.ApplyPage("p", page)
	newest, _ := receiver.Newest(keyA)
	g.Expect(newest.Deleted).To(BeTrue())
}

// Found by TestModel: a change from another source during a transfer must end it. The
// peer chose between full and partial pages based on what the set held before, so that
// the pages might lack deletions.
func TestChangeDuringTransferEndsIt(t *testing.T) {
	g := NewWithT(t)
	sender := New(parseModel)
	sender.ApplyList(list(3))
	receiver := New(parseModel)
	page := sender.AnswerPull(receiver.StartTransfer("p"), 1000).GetPage()
	receiver.ApplyList([]Listing{{Kind: api.KindContract, Revision: 1, Objects: []Object{write(1, "x")}}, {Kind: api.KindTarget}})
	res, next := receiver.ApplyPage("p", page)
	g.Expect(res.Stale).To(BeTrue())
	g.Expect(next).To(BeNil())
	g.Expect(receiver.CompleteRevision()).To(BeZero())
}

// A peer may lack a deletion whose tombstone has been trimmed. It must receive a full
// set, or it would keep the object.
func TestTrimmedTombstoneRequiresFullSet(t *testing.T) {
	g := NewWithT(t)
	sender := newWatchingSet(3, write(2, "x"), deletion(3))
	behind := newWatchingSet(2, write(2, "x"))
	upToDate := newWatchingSet(3, write(2, "x"), deletion(3))
	sender.TrimTombstones(0)
	g.Expect(sender.Len()).To(BeZero())
	g.Expect(sender.AnswerPull(upToDate.StartTransfer("p"), 1000).GetPage().GetFull()).To(BeFalse())
	page := sender.AnswerPull(behind.StartTransfer("p"), 1000).GetPage()
	g.Expect(page.GetFull()).To(BeTrue())
	behind.ApplyPage("p", page)
	newest, _ := behind.Newest(keyA)
	g.Expect(newest.Deleted).To(BeTrue())
}

// Writes of other kinds advance the platform's revision, but they are no changes of the
// configuration. They must raise CompleteRevision only.
func TestWritesOfOtherKindsDoNotRaiseRevision(t *testing.T) {
	g := NewWithT(t)
	s := newWatchingSet(3, write(3, "x"))
	s.ApplyWatch(3, 5000, nil)
	g.Expect(s.CompleteRevision()).To(Equal(uint64(5000)))
	g.Expect(s.Revision()).To(Equal(uint64(3)))
}

// A deletion has different versions on a router that received it by a watch and on one
// that derived it from a list. Both routers must end up announcing the same revision,
// or one of them would appear to lag behind.
func TestAdvanceRevisionAlignsRouters(t *testing.T) {
	g := NewWithT(t)
	watched := newWatchingSet(9, write(2, "x"), deletion(3))
	listed := newWatchingSet(2, write(2, "x"))
	listed.ApplyList(list(7))
	g.Expect(listed.Revision()).To(Equal(uint64(7)))
	g.Expect(watched.AdvanceRevision(listed.Revision())).To(BeTrue())
	g.Expect(watched.Revision()).To(Equal(uint64(7)))
	g.Expect(watched.AdvanceRevision(10)).To(BeFalse())
}

func TestSpans(t *testing.T) {
	g := NewWithT(t)
	var s spans
	s = s.add(span{5, 9}).add(span{20, 30}).add(span{8, 12})
	g.Expect(s).To(Equal(spans{{5, 12}, {20, 30}}))
	g.Expect(s.allowsDelta(12, 12)).To(BeTrue(), "newest object held is older than the second span")
	g.Expect(s.allowsDelta(5, 5)).To(BeTrue())
	g.Expect(s.allowsDelta(4, 6)).To(BeFalse())
	g.Expect(s.allowsDelta(25, 25)).To(BeFalse())
	g.Expect(s.allowsDelta(30, 40)).To(BeTrue())
	for i := range uint64(2 * maxSpans) {
		s = s.add(span{100 + 10*i, 105 + 10*i})
	}
	g.Expect(s).To(HaveLen(maxSpans))
	g.Expect(s[0].after).To(Equal(uint64(5)))
}
