package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// line holds the requests of one service that wait at this router.
type line struct {
	waiting []*entry
}

type entry struct {
	req  *Request
	rank share.Rank
	// give is when the request is refused if it still waits.
	give time.Time
}

func (l *line) len() int { return len(l.waiting) }

func (l *line) tokens() int {
	sum := 0
	for _, e := range l.waiting {
		sum += e.req.Prompt
	}
	return sum
}

func (l *line) add(e *entry) { l.waiting = append(l.waiting, e) }

func (l *line) remove(id ID) bool {
	i := slices.IndexFunc(l.waiting, func(e *entry) bool { return e.req.ID == id })
	if i < 0 {
		return false
	}
	l.waiting = slices.Delete(l.waiting, i, i+1)
	return true
}

// before tells whether requests wait that go before one of a rank.
func (l *line) before(rank share.Rank) bool {
	return slices.ContainsFunc(l.waiting, func(e *entry) bool { return e.rank < rank })
}

// order sorts the line by the workspaces' ranks, of the same rank the ones that
// can still be on time first, then by the earliest objective.
func (l *line) order(now time.Time, rank func(*Request) share.Rank) {
	for _, e := range l.waiting {
		e.rank = rank(e.req)
	}
	slices.SortStableFunc(l.waiting, func(a, b *entry) int {
		if a.rank != b.rank {
			return cmp.Compare(a.rank, b.rank)
		}
		aLate, bLate := now.After(a.req.onTime()), now.After(b.req.onTime())
		if aLate != bLate {
			return boolFirst(bLate)
		}
		return cmp.Compare(a.req.onTime().UnixNano(), b.req.onTime().UnixNano())
	})
}

func boolFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
