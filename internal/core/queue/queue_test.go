package queue_test

import (
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/queue"
)

var t0 = time.Unix(1000, 0)

func acct(k account.Key, vs float64) *account.Account {
	a := &account.Account{Key: k, Weight: 1}
	a.Charge(vs)
	return a
}

func TestLinesAreOrderedByVirtualService(t *testing.T) {
	q := queue.New()
	a, b := acct(1, 20), acct(2, 10)
	q.Push(a, &queue.Entry{ID: 1, Arrived: t0})
	e := &queue.Entry{ID: 2, Arrived: t0}
	q.Push(b, e)
	if q.Min().Account != b || q.Max().Account != a {
		t.Fatal("order")
	}
	b.Charge(30)
	q.Reorder(b)
	if q.Min().Account != a {
		t.Error("order after a charge")
	}
	q.Remove(e)
	if q.Waiting() != 1 || q.BackloggedFlows() != 1 || q.Flow(2) != nil {
		t.Error("empty line kept")
	}
}

func TestDeferrableGoesAfterOthersButAges(t *testing.T) {
	q := queue.New()
	a := acct(1, 0)
	l := q.Push(a, &queue.Entry{ID: 1, Deferrable: true, Arrived: t0})
	now := &queue.Entry{ID: 2, Arrived: t0.Add(time.Second)}
	q.Push(a, now)
	if l.Next() != now {
		t.Error("deferrable went first")
	}
	q.Remove(now)
	q.Push(a, &queue.Entry{ID: 3, Arrived: t0.Add(queue.DeferrableDelay + time.Second)})
	if l.Next().ID != 1 {
		t.Error("deferrable starves")
	}
}

func TestLongestIsTheOneNotServed(t *testing.T) {
	q := queue.New()
	a, b := acct(1, 0), acct(2, 100)
	for i := range uint64(2) {
		q.Push(a, &queue.Entry{ID: 1 + i, Arrived: t0})
		q.Push(b, &queue.Entry{ID: 3 + i, Arrived: t0.Add(time.Second)})
	}
	if q.LongestUnserved().Account != a {
		t.Fatal("order of arrival")
	}
	q.MarkServed(t0.Add(2*time.Second), 1)
	if q.LongestUnserved().Account != b {
		t.Error("a line that was served counts as waiting longest")
	}
}

func TestParkedLinesArePassedOver(t *testing.T) {
	q := queue.New()
	a := acct(1, 0)
	q.Push(a, &queue.Entry{ID: 1, Arrived: t0})
	q.SetParked(1, true)
	q.Push(a, &queue.Entry{ID: 2, Arrived: t0})
	q.Reorder(a)
	if q.BackloggedFlows() != 0 || q.Waiting() != 2 {
		t.Error("parked line in the order")
	}
	q.SetParked(1, false)
	if q.Min() == nil || q.Min().Len() != 2 {
		t.Error("line lost")
	}
}
