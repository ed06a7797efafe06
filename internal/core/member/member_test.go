package member_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/ids"
)

const timeout = 3 * time.Second

var start = time.Unix(1_000, 0)

func info(name string, incarnation uint64) member.Info {
	return member.Info{Instance: ids.Instance(name), Incarnation: ids.Incarnation(incarnation), Domain: "d1"}
}

func TestJoinResults(t *testing.T) {
	type link struct {
		name        string
		incarnation uint64
		dialer      ids.Instance
	}
	cases := []struct {
		name   string
		first  *link
		second link
		want   member.JoinResult
	}{
		{"first link", nil, link{"c", 1, "b"}, member.JoinResult{}},
		{"own instance name", nil, link{"b", 1, "b"}, member.JoinResult{Refused: member.RefusedSelf}},
		{"newer incarnation", &link{"c", 1, "b"}, link{"c", 2, "c"}, member.JoinResult{Replaces: 1}},
		{"older incarnation", &link{"c", 2, "b"}, link{"c", 1, "b"}, member.JoinResult{Refused: member.RefusedOldIncarnation}},
		{"dialled by the higher name", &link{"c", 1, "b"}, link{"c", 1, "c"}, member.JoinResult{Refused: member.RefusedDuplicate}},
		{"dialled by the lower name", &link{"c", 1, "c"}, link{"c", 1, "b"}, member.JoinResult{Replaces: 1}},
		{"dialled again", &link{"c", 1, "c"}, link{"c", 1, "c"}, member.JoinResult{Replaces: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			set := member.New("b", timeout)
			if c.first != nil {
				set.Join(start, 1, info(c.first.name, c.first.incarnation), c.first.dialer)
			}
			got := set.Join(start, 2, info(c.second.name, c.second.incarnation), c.second.dialer)
			g.Expect(got).To(Equal(c.want))
		})
	}
}

// Guards against the two ends of a pair keeping different links, and so none, when
// both dial at the same time and see the two links in different orders.
func TestBothEndsKeepTheSameDuplicateLink(t *testing.T) {
	g := NewWithT(t)
	for _, order := range [][]member.LinkID{{1, 2}, {2, 1}} {
		dialers := map[member.LinkID]ids.Instance{1: "a", 2: "b"}
		atA, atB := member.New("a", timeout), member.New("b", timeout)
		for _, id := range order {
			atA.Join(start, id, info("b", 7), dialers[id])
		}
		for _, id := range []member.LinkID{2, 1} {
			atB.Join(start, id, info("a", 9), dialers[id])
		}
		inA, _ := atA.Get("b")
		inB, _ := atB.Get("a")
		g.Expect(inA.Link).To(Equal(member.LinkID(1)))
		g.Expect(inB.Link).To(Equal(member.LinkID(1)))
	}
}

func TestMemberWithoutMessagesExpires(t *testing.T) {
	g := NewWithT(t)
	set := member.New("a", timeout)
	set.Join(start, 1, info("b", 1), "a")
	set.Join(start, 2, info("c", 1), "a")
	for at := time.Second; at <= timeout; at += time.Second {
		set.RecordMessage(start.Add(at), "b", 1)
		g.Expect(set.Tick(start.Add(at))).To(BeEmpty())
	}
	expired := set.Tick(start.Add(timeout + time.Second))
	g.Expect(expired).To(HaveLen(1))
	g.Expect(expired[0].Instance).To(Equal(ids.Instance("c")))
	g.Expect(set.Live()).To(HaveLen(1))
	// A restarted instance may have an earlier clock and so a lower incarnation.
	g.Expect(set.Join(start.Add(timeout), 3, info("c", 0), "a").Refused).To(BeEmpty())
}

func TestNoMemberExpiresOnTheFirstTickAfterAPause(t *testing.T) {
	g := NewWithT(t)
	set := member.New("a", timeout)
	set.Tick(start)
	set.Join(start, 1, info("b", 1), "a")
	resumed := start.Add(time.Minute)
	g.Expect(set.Tick(resumed)).To(BeEmpty())
	g.Expect(set.Tick(resumed.Add(time.Second))).To(HaveLen(1))
}

func TestClosingAReplacedLinkChangesNothing(t *testing.T) {
	g := NewWithT(t)
	set := member.New("a", timeout)
	set.Join(start, 1, info("b", 1), "a")
	set.Join(start, 2, info("b", 2), "b")
	g.Expect(set.Leave("b", 1)).To(BeFalse())
	g.Expect(set.ApplyHeartbeat(start, "b", 1, member.Heartbeat{Draining: true})).To(BeFalse())
	g.Expect(set.ApplyHeartbeat(start, "b", 2, member.Heartbeat{Draining: true})).To(BeTrue())
	g.Expect(set.ApplyHeartbeat(start, "b", 2, member.Heartbeat{Draining: true, Revision: 4})).To(BeFalse())
	g.Expect(set.Leave("b", 2)).To(BeTrue())
	g.Expect(set.Live()).To(BeEmpty())
}

func TestSetIsBounded(t *testing.T) {
	g := NewWithT(t)
	set := member.New("a", timeout)
	for i := range member.MaxMembers {
		set.Join(start, member.LinkID(i+1), info(fmt.Sprint("r", i), 1), "a")
	}
	got := set.Join(start, 1<<20, info("one-more", 1), "a")
	g.Expect(got.Refused).To(Equal(member.RefusedFull))
}
