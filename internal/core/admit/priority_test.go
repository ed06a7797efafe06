package admit_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// submitWithPriority submits a request of the given priority to the engine service.
func (h *harness) submitWithPriority(now time.Time, ws ids.Workspace, priority, tokens int, objective time.Duration) admit.Verdict {
	h.lastID++
	return h.Submit(now, admit.Request{
		ID: h.lastID, Service: "llm", Workspace: ws, Priority: priority, PromptTokens: tokens,
		Parts:     []admit.Part{{Key: uint64(h.lastID), Tokens: tokens}},
		ArrivedAt: now, Deadline: now.Add(responseTimeout), Objective: objective,
	})
}

func TestMoreUrgentRequestsLeaveTheQueueFirst(t *testing.T) {
	h := newHarness(t, 1, 0)
	running := h.submitWithPriority(start, "a", 1, 5000, objective)
	later := h.submitWithPriority(start, "b", 1, 5000, objective)
	urgent := h.submitWithPriority(start, "c", 0, 5000, 2*objective)
	if !later.Waiting || !urgent.Waiting {
		t.Fatalf("got verdicts %+v and %+v, want both waiting", later, urgent)
	}
	now := start.Add(50 * time.Millisecond)
	h.ResponseStarted(now, running.ID, false)
	if got := h.Poll(now); len(got) != 1 || got[0].ID != urgent.ID {
		t.Errorf("got verdicts %+v, want one for the urgent request", got)
	}
}

// A new request must not be sent before a more urgent one that waits, but must be sent
// before one that is less urgent.
func TestNewRequestIsNotSentBeforeAMoreUrgentOne(t *testing.T) {
	for _, c := range []struct {
		waiting, submitted int
		sent               bool
	}{{0, 1, false}, {1, 1, true}, {1, 0, true}} {
		h := newHarness(t, 1, 0)
		h.submitWithPriority(start, "a", 0, 5000, objective)
		if v := h.submitWithPriority(start, "b", c.waiting, 5000, objective); !v.Waiting {
			t.Fatalf("got verdict %+v, want waiting", v)
		}
		if v := h.submitWithPriority(start, "c", c.submitted, 100, objective); (v.Target.ID != "") != c.sent {
			t.Errorf("priority %d with a waiting request of priority %d: got verdict %+v, want sent %v", c.submitted, c.waiting, v, c.sent)
		}
	}
}

// Requests that wait behind a request must not lengthen its expected wait.
func TestLessUrgentBacklogDoesNotCauseRefusalOfUrgentRequests(t *testing.T) {
	for _, c := range []struct {
		priority int
		refused  bool
	}{{0, false}, {1, true}} {
		h := newHarness(t, 1, 0)
		now := start
		h.submitWithPriority(now, "short", 1, 10, objective) // the shortest objective limits the pending tokens at the engines
		for h.submitWithPriority(now, ids.Workspace("w"+string(rune('a'+h.lastID))), 1, 4000, 3*objective).Refused == "" {
			if h.lastID > 20 {
				t.Fatal("the queue did not fill after 20 requests")
			}
		}
		now = now.Add(10 * time.Millisecond) // recorded refusals expire after less
		if v := h.submitWithPriority(now, "x", c.priority, 1000, objective); (v.Refused != "") != c.refused {
			t.Errorf("priority %d with a full queue of priority 1: got verdict %+v, want refused %v", c.priority, v, c.refused)
		}
	}
}

// Guards against workspaces that get far less than their share because others, within
// theirs too, have more requests in the queues.
func TestWorkspaceBelowHalfOfItsShareGoesFirst(t *testing.T) {
	h := newHarness(t, 1, 0)
	h.ApplyPeerReport(start, "peer", nil, nil, map[ids.Workspace]share.Usage{
		"near": {Requested: 9e6, Started: 1e6}, "behind": {Requested: 9e6, Started: 4e5}, "excess": {Requested: 9e6, Started: 2e6},
	})
	running := h.submitWithPriority(start, "other", 1, 5000, objective)
	near := h.submitWithPriority(start, "near", 1, 5000, objective)
	behind := h.submitWithPriority(start, "behind", 1, 5000, 2*objective)
	if near.Inputs.Rank != share.Fair || behind.Inputs.Rank != share.Behind || !near.Waiting || !behind.Waiting {
		t.Fatalf("got verdicts %+v and %+v, want both waiting, with the ranks fair and behind", near, behind)
	}
	now := start.Add(50 * time.Millisecond)
	h.ResponseStarted(now, running.ID, false)
	if got := h.Poll(now); len(got) != 1 || got[0].ID != behind.ID {
		t.Errorf("got verdicts %+v, want one for the request of the workspace that is behind", got)
	}
}
