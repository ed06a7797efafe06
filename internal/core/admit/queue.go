package admit

import (
	"cmp"
	"slices"
	"time"
)

// line holds the requests of one service that wait at this router.
type line struct {
	waiting []*entry
}

type entry struct {
	req    *Request
	within bool
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

// order sorts the line: workspaces within their share first, of those the ones
// that can still be on time, then the earliest objective.
func (l *line) order(now time.Time, within func(*Request) bool) {
	for _, e := range l.waiting {
		e.within = within(e.req)
	}
	slices.SortStableFunc(l.waiting, func(a, b *entry) int {
		if a.within != b.within {
			return boolFirst(a.within)
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
