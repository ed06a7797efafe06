// Package queue holds the requests that wait for the targets of a pool: one
// line for each workspace, the lines ordered by virtual service.
//
// Inside a line requests go in the order of arrival, except that deferrable
// ones count as if they had arrived DeferrableDelay later. So they go after
// others while there are any, and can't starve.
package queue

import (
	"sort"
	"time"

	"github.com/google/btree"

	"github.com/umberhill/umberhill/internal/core/account"
)

// DeferrableDelay is how much later than it did a deferrable request counts
// as having arrived.
const DeferrableDelay = 30 * time.Second

// degree of the ordered trees.
const degree = 16

// Entry is one waiting request.
type Entry struct {
	// ID of the request, rising with each one.
	ID uint64
	// Deferrable requests go after others.
	Deferrable bool
	// Arrived is when the request was submitted.
	Arrived time.Time
	// Value belongs to the caller.
	Value any

	line *Line
}

func (e *Entry) rank() time.Time {
	if e.Deferrable {
		return e.Arrived.Add(DeferrableDelay)
	}
	return e.Arrived
}

// Line holds the requests of one workspace.
type Line struct {
	// Account that pays.
	Account *account.Account
	// parked lines have reached a limit of their contract and are passed over.
	parked  bool
	vs      float64
	since   time.Time
	entries *btree.BTreeG[*Entry]
}

// Len returns the number of requests waiting.
func (l *Line) Len() int { return l.entries.Len() }

// Parked tells whether the line is passed over.
func (l *Line) Parked() bool { return l.parked }

// Since returns since when the line has waited without being served here.
func (l *Line) Since() time.Time { return l.since }

// VS returns the virtual service by which the line is ordered.
func (l *Line) VS() float64 { return l.vs }

// Ascend calls f for the requests in their order until it returns false.
func (l *Line) Ascend(f func(*Entry) bool) { l.entries.Ascend(f) }

// Oldest returns the request whose turn it is next.
func (l *Line) Oldest() *Entry {
	e, _ := l.entries.Min()
	return e
}

// Queue holds the lines of a pool.
//
// Invariant: ordered and unserved have exactly the lines that are neither empty
// nor parked.
type Queue struct {
	lines   map[account.Key]*Line
	ordered *btree.BTreeG[*Line]
	// unserved has the line that has waited longest without being served first.
	unserved *btree.BTreeG[*Line]
	waiting  int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		lines:    map[account.Key]*Line{},
		ordered:  btree.NewG(degree, lineLess),
		unserved: btree.NewG(degree, sinceLess),
	}
}

func sinceLess(a, b *Line) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.Account.Key < b.Account.Key
}

func lineLess(a, b *Line) bool {
	if a.vs != b.vs {
		return a.vs < b.vs
	}
	return a.Account.Key < b.Account.Key
}

func entryLess(a, b *Entry) bool {
	ra, rb := a.rank(), b.rank()
	if !ra.Equal(rb) {
		return ra.Before(rb)
	}
	return a.ID < b.ID
}

// Waiting returns the number of requests in all lines.
func (q *Queue) Waiting() int { return q.waiting }

// Backlogged returns the number of lines that wait for targets.
func (q *Queue) Backlogged() int { return q.ordered.Len() }

// Line returns the line of an account, nil if it has none.
func (q *Queue) Line(k account.Key) *Line { return q.lines[k] }

// Push adds a request to its account's line and returns the line.
func (q *Queue) Push(a *account.Account, e *Entry) *Line {
	l := q.lines[a.Key]
	if l == nil {
		l = &Line{Account: a, vs: a.VirtualTime(), entries: btree.NewG(degree, entryLess)}
		q.lines[a.Key] = l
	}
	e.line = l
	empty := l.Len() == 0
	l.entries.ReplaceOrInsert(e)
	if empty {
		l.since = e.Arrived
		if !l.parked {
			q.enter(l)
		}
	}
	q.waiting++
	return l
}

func (q *Queue) enter(l *Line) {
	l.vs = l.Account.VirtualTime()
	q.ordered.ReplaceOrInsert(l)
	q.unserved.ReplaceOrInsert(l)
}

func (q *Queue) leave(l *Line) {
	q.ordered.Delete(l)
	q.unserved.Delete(l)
}

// Served notes that the line of an account is being served now.
func (q *Queue) Served(now time.Time, k account.Key) {
	l := q.lines[k]
	if l == nil {
		return
	}
	_, in := q.unserved.Delete(l)
	l.since = now
	if in {
		q.unserved.ReplaceOrInsert(l)
	}
}

// Longest returns the line that has waited longest without being served, nil
// if none waits.
func (q *Queue) Longest() *Line {
	l, _ := q.unserved.Min()
	return l
}

// Remove takes a waiting request out and returns its line.
func (q *Queue) Remove(e *Entry) *Line {
	l := e.line
	if _, ok := l.entries.Delete(e); !ok {
		return l
	}
	q.waiting--
	if l.Len() == 0 {
		q.leave(l)
		if !l.parked {
			delete(q.lines, l.Account.Key)
		}
	}
	return l
}

// Reorder puts the line of an account in its place after a change of virtual
// service.
func (q *Queue) Reorder(a *account.Account) {
	l := q.lines[a.Key]
	if l == nil {
		return
	}
	if _, ok := q.ordered.Delete(l); ok {
		l.vs = a.VirtualTime()
		q.ordered.ReplaceOrInsert(l)
		return
	}
	l.vs = a.VirtualTime()
}

// Park passes a line over, or no longer.
func (q *Queue) Park(k account.Key, on bool) {
	l := q.lines[k]
	if l == nil || l.parked == on {
		return
	}
	l.parked = on
	switch {
	case on:
		q.leave(l)
	case l.Len() > 0:
		q.enter(l)
	default:
		delete(q.lines, k)
	}
}

// Ascend calls f for the lines that wait, in order, until it returns false.
func (q *Queue) Ascend(f func(*Line) bool) { q.ordered.Ascend(f) }

// Lines calls f for all lines, parked ones last.
func (q *Queue) Lines(f func(*Line)) {
	q.ordered.Ascend(func(l *Line) bool {
		f(l)
		return true
	})
	var parked []*Line
	for _, l := range q.lines {
		if l.parked {
			parked = append(parked, l)
		}
	}
	sort.Slice(parked, func(i, j int) bool { return lineLess(parked[i], parked[j]) })
	for _, l := range parked {
		f(l)
	}
}

// Min returns the line with the least virtual service, nil if none waits.
func (q *Queue) Min() *Line {
	l, _ := q.ordered.Min()
	return l
}

// Max returns the line with the greatest virtual service, nil if none waits.
func (q *Queue) Max() *Line {
	l, _ := q.ordered.Max()
	return l
}
