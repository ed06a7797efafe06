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
const btreeDegree = 16

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

	flow *Flow
}

func (e *Entry) effectiveArrival() time.Time {
	if e.Deferrable {
		return e.Arrived.Add(DeferrableDelay)
	}
	return e.Arrived
}

// Flow holds the requests of one workspace.
type Flow struct {
	// Account that pays.
	Account *account.Account
	// parked lines have reached a limit of their contract and are passed over.
	parked        bool
	vs            float64
	unservedSince time.Time
	entries       *btree.BTreeG[*Entry]
}

// Len returns the number of requests waiting.
func (f *Flow) Len() int { return f.entries.Len() }

// Parked tells whether the line is passed over.
func (f *Flow) Parked() bool { return f.parked }

// UnservedSince returns since when the line has waited without being served here.
func (f *Flow) UnservedSince() time.Time { return f.unservedSince }

// VS returns the virtual service by which the line is ordered.
func (f *Flow) VS() float64 { return f.vs }

// Ascend calls f for the requests in their order until it returns false.
func (f *Flow) Ascend(fn func(*Entry) bool) { f.entries.Ascend(fn) }

// Next returns the request whose turn it is next.
func (f *Flow) Next() *Entry {
	e, _ := f.entries.Min()
	return e
}

// Queue holds the lines of a pool.
//
// Invariant: ordered and unserved have exactly the lines that are neither empty
// nor parked.
type Queue struct {
	flows map[account.Key]*Flow
	byVS  *btree.BTreeG[*Flow]
	// unserved has the line that has waited longest without being served first.
	byUnservedSince *btree.BTreeG[*Flow]
	waiting         int
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		flows:           map[account.Key]*Flow{},
		byVS:            btree.NewG(btreeDegree, vsLess),
		byUnservedSince: btree.NewG(btreeDegree, unservedSinceLess),
	}
}

func unservedSinceLess(a, b *Flow) bool {
	if !a.unservedSince.Equal(b.unservedSince) {
		return a.unservedSince.Before(b.unservedSince)
	}
	return a.Account.Key < b.Account.Key
}

func vsLess(a, b *Flow) bool {
	if a.vs != b.vs {
		return a.vs < b.vs
	}
	return a.Account.Key < b.Account.Key
}

func entryLess(a, b *Entry) bool {
	arrivalA, arrivalB := a.effectiveArrival(), b.effectiveArrival()
	if !arrivalA.Equal(arrivalB) {
		return arrivalA.Before(arrivalB)
	}
	return a.ID < b.ID
}

// Waiting returns the number of requests in all lines.
func (q *Queue) Waiting() int { return q.waiting }

// BackloggedFlows returns the number of lines that wait for targets.
func (q *Queue) BackloggedFlows() int { return q.byVS.Len() }

// Flow returns the line of an account, nil if it has none.
func (q *Queue) Flow(k account.Key) *Flow { return q.flows[k] }

// Push adds a request to its account's line and returns the line.
func (q *Queue) Push(a *account.Account, e *Entry) *Flow {
	f := q.flows[a.Key]
	if f == nil {
		f = &Flow{Account: a, vs: a.VS(), entries: btree.NewG(btreeDegree, entryLess)}
		q.flows[a.Key] = f
	}
	e.flow = f
	wasEmpty := f.Len() == 0
	f.entries.ReplaceOrInsert(e)
	if wasEmpty {
		f.unservedSince = e.Arrived
		if !f.parked {
			q.addToOrder(f)
		}
	}
	q.waiting++
	return f
}

func (q *Queue) addToOrder(f *Flow) {
	f.vs = f.Account.VS()
	q.byVS.ReplaceOrInsert(f)
	q.byUnservedSince.ReplaceOrInsert(f)
}

func (q *Queue) removeFromOrder(f *Flow) {
	q.byVS.Delete(f)
	q.byUnservedSince.Delete(f)
}

// MarkServed notes that the line of an account is being served now.
func (q *Queue) MarkServed(now time.Time, k account.Key) {
	f := q.flows[k]
	if f == nil {
		return
	}
	_, ordered := q.byUnservedSince.Delete(f)
	f.unservedSince = now
	if ordered {
		q.byUnservedSince.ReplaceOrInsert(f)
	}
}

// LongestUnserved returns the line that has waited longest without being served, nil
// if none waits.
func (q *Queue) LongestUnserved() *Flow {
	f, _ := q.byUnservedSince.Min()
	return f
}

// Remove takes a waiting request out and returns its line.
func (q *Queue) Remove(e *Entry) *Flow {
	f := e.flow
	if _, ok := f.entries.Delete(e); !ok {
		return f
	}
	q.waiting--
	if f.Len() == 0 {
		q.removeFromOrder(f)
		if !f.parked {
			delete(q.flows, f.Account.Key)
		}
	}
	return f
}

// Reorder puts the line of an account in its place after a change of virtual
// service.
func (q *Queue) Reorder(a *account.Account) {
	f := q.flows[a.Key]
	if f == nil {
		return
	}
	if _, ok := q.byVS.Delete(f); ok {
		f.vs = a.VS()
		q.byVS.ReplaceOrInsert(f)
		return
	}
	f.vs = a.VS()
}

// SetParked passes a line over, or no longer.
func (q *Queue) SetParked(k account.Key, on bool) {
	f := q.flows[k]
	if f == nil || f.parked == on {
		return
	}
	f.parked = on
	switch {
	case on:
		q.removeFromOrder(f)
	case f.Len() > 0:
		q.addToOrder(f)
	default:
		delete(q.flows, k)
	}
}

// Ascend calls f for the lines that wait, in order, until it returns false.
func (q *Queue) Ascend(fn func(*Flow) bool) { q.byVS.Ascend(fn) }

// ForEachFlow calls f for all lines, parked ones last.
func (q *Queue) ForEachFlow(fn func(*Flow)) {
	q.byVS.Ascend(func(f *Flow) bool {
		fn(f)
		return true
	})
	var parked []*Flow
	for _, f := range q.flows {
		if f.parked {
			parked = append(parked, f)
		}
	}
	sort.Slice(parked, func(i, j int) bool { return vsLess(parked[i], parked[j]) })
	for _, f := range parked {
		fn(f)
	}
}

// Min returns the line with the least virtual service, nil if none waits.
func (q *Queue) Min() *Flow {
	f, _ := q.byVS.Min()
	return f
}

// Max returns the line with the greatest virtual service, nil if none waits.
func (q *Queue) Max() *Flow {
	f, _ := q.byVS.Max()
	return f
}
