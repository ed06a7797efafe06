package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// ask submits a request of a priority at an engine service.
func (b *bed) ask(now time.Time, ws ids.Workspace, priority, tokens int, objective time.Duration) admit.Verdict {
	b.lastID++
	return b.Submit(now, admit.Request{
		ID: b.lastID, Service: "llm", Workspace: ws, Priority: priority, Prompt: tokens,
		Parts:   []admit.Part{{Key: uint64(b.lastID), Tokens: tokens}},
		Arrived: now, Deadline: now.Add(patience), Objective: objective,
	})
}

func TestMoreUrgentRequestsLeaveTheQueueFirst(t *testing.T) {
	b := newBed(t, 1, 0)
	running := b.ask(start, "a", 1, 5000, objective)
	later := b.ask(start, "b", 1, 5000, objective)
	urgent := b.ask(start, "c", 0, 5000, 2*objective)
	if !later.Waiting || !urgent.Waiting {
		t.Fatalf("verdicts %+v and %+v, want both waiting", later, urgent)
	}
	now := start.Add(50 * time.Millisecond)
	b.Began(now, running.ID)
	if got := b.Poll(now); len(got) != 1 || got[0].ID != urgent.ID {
		t.Errorf("decided %+v, want the urgent request alone", got)
	}
}

// A new request is not sent past a more urgent one that waits, and past a less
// urgent one it is.
func TestNewRequestIsNotSentPastAMoreUrgentOne(t *testing.T) {
	for _, c := range []struct {
		waiting, asked int
		sent           bool
	}{{0, 1, false}, {1, 1, true}, {1, 0, true}} {
		b := newBed(t, 1, 0)
		b.ask(start, "a", 0, 5000, objective)
		if v := b.ask(start, "b", c.waiting, 5000, objective); !v.Waiting {
			t.Fatalf("verdict %+v, want waiting", v)
		}
		if v := b.ask(start, "c", c.asked, 100, objective); (v.Target.ID != "") != c.sent {
			t.Errorf("priority %d beside a waiting request of priority %d: %+v, want sent %v", c.asked, c.waiting, v, c.sent)
		}
	}
}

// What waits behind a request does not lengthen its expected wait.
func TestLessUrgentBacklogDoesNotRefuseUrgentRequests(t *testing.T) {
	for _, c := range []struct {
		priority int
		refused  bool
	}{{0, false}, {1, true}} {
		b := newBed(t, 1, 0)
		now := start
		b.ask(now, "short", 1, 10, objective) // engines hold little unread where such requests come
		for b.ask(now, ids.Workspace("w"+string(rune('a'+b.lastID))), 1, 4000, 3*objective).Refused == "" {
			if b.lastID > 20 {
				t.Fatal("the queue never fills")
			}
		}
		now = now.Add(10 * time.Millisecond) // a refusal is remembered for less
		if v := b.ask(now, "x", c.priority, 1000, objective); (v.Refused != "") != c.refused {
			t.Errorf("priority %d before a full queue of priority 1: %+v, want refused %v", c.priority, v, c.refused)
		}
	}
}
