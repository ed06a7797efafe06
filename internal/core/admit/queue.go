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
	// regions is a hash of the allowed regions, 0 for all.
	regions uint64
}

func (q *queue) len() int { return len(q.waiting) }

func (q *queue) tokens() int {
	sum := 0
	for _, e := range q.waiting {
		sum += e.req.PromptTokens
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

// hasAhead reports whether a waiting request precedes one of the given rank and
// priority.
func (q *queue) hasAhead(rank share.Rank, priority int) bool {
	return slices.ContainsFunc(q.waiting, func(e *entry) bool {
		return e.rank < rank || e.rank == rank && e.req.Priority < priority
	})
}

// shareAhead returns the fraction of the waiting requests, from 0 to 1, that a new one of
// the given rank and priority does not precede; 1 if the queue is empty.
func (q *queue) shareAhead(rank share.Rank, priority int) float64 {
	if len(q.waiting) == 0 {
		return 1
	}
	n := 0
	for _, e := range q.waiting {
		if e.rank < rank || e.rank == rank && e.req.Priority <= priority {
			n++
		}
	}
	return float64(n) / float64(len(q.waiting))
}

// sort orders the queue by the rank of the workspaces, then by priority. Within a
// priority, requests that can still be on time precede late ones, and those due earlier
// precede those due later.
func (q *queue) sort(now time.Time, rank func(*Request) share.Rank) {
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
		aLate, bLate := now.After(a.req.dueAt()), now.After(b.req.dueAt())
		if aLate != bLate {
			return orderFirst(bLate)
		}
		return a.req.dueAt().Compare(b.req.dueAt())
	})
}

func orderFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
