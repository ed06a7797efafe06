// Package queue is the fair queue of the requests that wait for the targets of a
// pool. It has one flow for each account, and the flows are ordered by virtual
// service, so that a workspace with many requests can't delay the others.
//
// Within a flow requests are ordered by time of arrival. Deferrable requests are
// ordered as if they had arrived DeferrableDelay later: they come after other
// requests but can't starve.
//
// Invariant: the order by virtual service contains exactly the flows that are
// neither empty nor parked (the backlogged flows). A flow is parked while its
// workspace is at a limit of its contract.
package queue

import (
	"sort"
	"time"

	"github.com/google/btree"

	"github.com/umberhill/umberhill/internal/core/account"
)

// DeferrableDelay is added to the time of arrival of a deferrable request to
// determine its position in the flow.
const DeferrableDelay = 30 * time.Second

// btreeDegree is the degree of the B-trees.
const btreeDegree = 16

// Entry is one waiting request.
type Entry struct {
	// ID rises with each request. It orders requests that arrived at the same time.
	ID uint64
	// Deferrable delays the request's position by DeferrableDelay.
	Deferrable bool
	// ArrivedAt is when the request was submitted.
	ArrivedAt time.Time
	// Value is the caller's data about the request. The queue does not use it.
	Value any

	flow *Flow
}

// effectiveArrival returns the time that determines the entry's position in its
// flow.
func (e *Entry) effectiveArrival() time.Time {
	if e.Deferrable {
		return e.ArrivedAt.Add(DeferrableDelay)
	}
	return e.ArrivedAt
}

// Flow holds the waiting requests of one account.
type Flow struct {
	// Account determines the flow's virtual service.
	Account *account.Account
	// parked is set while a limit of the contract is reached. The flow is then not in
	// the order.
	parked         bool
	virtualService float64
	unservedSince  time.Time
	entries        *btree.BTreeG[*Entry]
}

// Len returns the number of waiting requests.
func (f *Flow) Len() int { return f.entries.Len() }

// IsParked reports whether the flow is parked.
func (f *Flow) IsParked() bool { return f.parked }

// UnservedSince returns when the flow was last served, or when it became
// non-empty if that is later.
func (f *Flow) UnservedSince() time.Time { return f.unservedSince }

// VirtualService returns the virtual service by which the flow is ordered, in units per weight.
func (f *Flow) VirtualService() float64 { return f.virtualService }

// Ascend calls fn for the requests in their order until fn returns false.
func (f *Flow) Ascend(fn func(*Entry) bool) { f.entries.Ascend(fn) }

// Next returns the first request of the flow, nil if it is empty.
func (f *Flow) Next() *Entry {
	e, _ := f.entries.Min()
	return e
}

// Queue holds the flows of a pool.
//
// Invariant: byVirtualService and byUnservedSince contain exactly the flows that are neither
// empty nor parked.
type Queue struct {
	flows            map[account.Key]*Flow
	byVirtualService *btree.BTreeG[*Flow]
	// byUnservedSince orders the flows by unservedSince, the longest unserved first.
	byUnservedSince *btree.BTreeG[*Flow]
	waiting         int
}

// New returns a queue without flows.
func New() *Queue {
	return &Queue{
		flows:            map[account.Key]*Flow{},
		byVirtualService: btree.NewG(btreeDegree, virtualServiceLess),
		byUnservedSince:  btree.NewG(btreeDegree, unservedSinceLess),
	}
}

func unservedSinceLess(a, b *Flow) bool {
	if !a.unservedSince.Equal(b.unservedSince) {
		return a.unservedSince.Before(b.unservedSince)
	}
	return a.Account.Key < b.Account.Key
}

func virtualServiceLess(a, b *Flow) bool {
	if a.virtualService != b.virtualService {
		return a.virtualService < b.virtualService
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

// Waiting returns the number of requests in all flows, parked ones included.
func (q *Queue) Waiting() int { return q.waiting }

// BackloggedFlows returns the number of flows that are neither empty nor parked.
func (q *Queue) BackloggedFlows() int { return q.byVirtualService.Len() }

// Flow returns the flow of an account, nil if it has none.
func (q *Queue) Flow(k account.Key) *Flow { return q.flows[k] }

// Push adds a request to its account's flow, a new one if there is none, and
// returns the flow.
func (q *Queue) Push(a *account.Account, e *Entry) *Flow {
	f := q.flows[a.Key]
	if f == nil {
		f = &Flow{Account: a, virtualService: a.VirtualService(), entries: btree.NewG(btreeDegree, entryLess)}
		q.flows[a.Key] = f
	}
	e.flow = f
	wasEmpty := f.Len() == 0
	f.entries.ReplaceOrInsert(e)
	if wasEmpty {
		f.unservedSince = e.ArrivedAt
		if !f.parked {
			q.addToOrder(f)
		}
	}
	q.waiting++
	return f
}

// addToOrder adds a flow to the order at its account's present virtual service.
func (q *Queue) addToOrder(f *Flow) {
	f.virtualService = f.Account.VirtualService()
	q.byVirtualService.ReplaceOrInsert(f)
	q.byUnservedSince.ReplaceOrInsert(f)
}

func (q *Queue) removeFromOrder(f *Flow) {
	q.byVirtualService.Delete(f)
	q.byUnservedSince.Delete(f)
}

// MarkServed records that the flow of an account is served at the given time.
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

// LongestUnserved returns the backlogged flow that has been unserved for the
// longest time, nil if there is none.
func (q *Queue) LongestUnserved() *Flow {
	f, _ := q.byUnservedSince.Min()
	return f
}

// Remove removes a request if it is still waiting, and returns its flow.
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

// Reorder updates the position of an account's flow after a change of its virtual
// service.
func (q *Queue) Reorder(a *account.Account) {
	f := q.flows[a.Key]
	if f == nil {
		return
	}
	if _, ok := q.byVirtualService.Delete(f); ok {
		f.virtualService = a.VirtualService()
		q.byVirtualService.ReplaceOrInsert(f)
		return
	}
	f.virtualService = a.VirtualService()
}

// SetParked parks or unparks the flow of an account. A parked flow keeps its
// requests but is not in the order.
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

// Ascend calls fn for the backlogged flows in order of virtual service until fn
// returns false.
func (q *Queue) Ascend(fn func(*Flow) bool) { q.byVirtualService.Ascend(fn) }

// ForEachFlow calls fn for all flows in order of virtual service, parked ones
// last.
func (q *Queue) ForEachFlow(fn func(*Flow)) {
	q.byVirtualService.Ascend(func(f *Flow) bool {
		fn(f)
		return true
	})
	var parked []*Flow
	for _, f := range q.flows {
		if f.parked {
			parked = append(parked, f)
		}
	}
	sort.Slice(parked, func(i, j int) bool { return virtualServiceLess(parked[i], parked[j]) })
	for _, f := range parked {
		fn(f)
	}
}

// Min returns the backlogged flow with the least virtual service, nil if there is
// none.
func (q *Queue) Min() *Flow {
	f, _ := q.byVirtualService.Min()
	return f
}

// Max returns the backlogged flow with the greatest virtual service, nil if there
// is none.
func (q *Queue) Max() *Flow {
	f, _ := q.byVirtualService.Max()
	return f
}
