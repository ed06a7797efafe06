package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// queue holds the requests of one service that wait at this router.
type queue struct {
	waiting []*entry
}

type entry struct {
	req  *Request
	rank share.Rank
	// refuseAt is when the request is refused if it still waits.
	refuseAt time.Time
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) tokens() int {
	sum := 0
	for _, e := range q.waiting {
		sum += e.req.Prompt
	}
	return sum
}

func (q *queue) add(e *entry) { q.waiting = append(q.waiting, e) }

func (q *queue) remove(id ID) bool {
	i := slices.IndexFunc(q.waiting, func(e *entry) bool { return e.req.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// hasBefore tells whether requests wait that go before one by their workspaces' ranks
// or their priorities.
func (q *queue) hasBefore(rank share.Rank, priority int) bool {
	return slices.ContainsFunc(q.waiting, func(e *entry) bool {
		return e.rank < rank || e.rank == rank && e.req.Priority < priority
	})
}

// partAhead is the part of the queue, from 0 to 1, that does not stand behind requests
// of a priority; 1 where nothing waits.
func (q *queue) partAhead(priority int) float64 {
	if len(q.waiting) == 0 {
		return 1
	}
	n := 0
	for _, e := range q.waiting {
		if e.req.Priority <= priority {
			n++
		}
	}
	return float64(n) / float64(len(q.waiting))
}

// order sorts the queue by the workspaces' ranks, of the same rank by priority, then
// the ones that can still be on time first, then by the earliest objective.
func (q *queue) order(now time.Time, rank func(*Request) share.Rank) {
	for _, e := range q.waiting {
		e.rank = rank(e.req)
	}
	slices.SortStableFunc(q.waiting, func(a, b *entry) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		if a.req.Priority != b.req.Priority {
			return cmp.Compare(a.req.Priority, b.req.Priority)
		}
		aLate, bLate := now.After(a.req.onTime()), now.After(b.req.onTime())
		if aLate != bLate {
			return boolFirst(bLate)
		}
		return a.req.onTime().Compare(b.req.onTime())
	})
}

func boolFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
