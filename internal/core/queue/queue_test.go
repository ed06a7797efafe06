package queue_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/queue"
)

var t0 = time.Unix(1000, 0)

// newAccount returns an account of weight 1 with the given virtual service.
func newAccount(k account.Key, vs float64) *account.Account {
	a := &account.Account{Key: k, Weight: 1}
	a.Charge(vs)
	return a
}

func TestFlowsAreOrderedByVirtualService(t *testing.T) {
	q := queue.New()
	a, b := newAccount(1, 20), newAccount(2, 10)
	q.Push(a, &queue.Entry{ID: 1, ArrivedAt: t0})
	e := &queue.Entry{ID: 2, ArrivedAt: t0}
	q.Push(b, e)
	if q.Min().Account != b || q.Max().Account != a {
		t.Fatal("flows are not in order of virtual service")
	}
	b.Charge(30)
	q.Reorder(b)
	if q.Min().Account != a {
		t.Error("flows are not in order of virtual service after a charge")
	}
	q.Remove(e)
	if q.Waiting() != 1 || q.BackloggedFlows() != 1 || q.Flow(2) != nil {
		t.Error("empty flow was not removed")
	}
}

func TestDeferrableRequestsAreDelayedButNotStarved(t *testing.T) {
	q := queue.New()
	a := newAccount(1, 0)
	flow := q.Push(a, &queue.Entry{ID: 1, Deferrable: true, ArrivedAt: t0})
	immediate := &queue.Entry{ID: 2, ArrivedAt: t0.Add(time.Second)}
	q.Push(a, immediate)
	if flow.Next() != immediate {
		t.Error("deferrable request is ahead of one that arrived within DeferrableDelay")
	}
	q.Remove(immediate)
	q.Push(a, &queue.Entry{ID: 3, ArrivedAt: t0.Add(queue.DeferrableDelay + time.Second)})
	if flow.Next().ID != 1 {
		t.Error("deferrable request is behind one that arrived after DeferrableDelay")
	}
}

func TestLongestUnservedSkipsServedFlow(t *testing.T) {
	q := queue.New()
	a, b := newAccount(1, 0), newAccount(2, 100)
	for i := range uint64(2) {
		q.Push(a, &queue.Entry{ID: 1 + i, ArrivedAt: t0})
		q.Push(b, &queue.Entry{ID: 3 + i, ArrivedAt: t0.Add(time.Second)})
	}
	if q.LongestUnserved().Account != a {
		t.Fatal("longest unserved flow is not the one whose request arrived first")
	}
	q.MarkServed(t0.Add(2*time.Second), 1)
	if q.LongestUnserved().Account != b {
		t.Error("longest unserved flow is one that has just been served")
	}
}

func TestParkedFlowsAreNotInTheOrder(t *testing.T) {
	q := queue.New()
	a := newAccount(1, 0)
	q.Push(a, &queue.Entry{ID: 1, ArrivedAt: t0})
	q.SetParked(1, true)
	q.Push(a, &queue.Entry{ID: 2, ArrivedAt: t0})
	q.Reorder(a)
	if q.BackloggedFlows() != 0 || q.Waiting() != 2 {
		t.Error("parked flow is in the order")
	}
	q.SetParked(1, false)
	if q.Min() == nil || q.Min().Len() != 2 {
		t.Error("flow or its requests missing after unparking")
	}
}
