package permit

import (
	"time"

	"github.com/google/btree"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

// btreeDegree is the degree of the B-trees that order the holders.
const btreeDegree = 16

// OwnerSettings are the settings of an owner.
type OwnerSettings struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// Tolerance is the difference in virtual service within which permits stay
	// where they are, for holders that report none of their own.
	Tolerance float64
	// GracePeriod bounds how long a new owner collects reports before it grants.
	GracePeriod time.Duration
	// HolderTimeout is the time without a report after which a holder is removed
	// and its permits are free again.
	HolderTimeout time.Duration
}

// Owner grants the permits of a group.
//
// Invariants: outstanding[i] is the sum of granted less returned over the
// holders; a permit is granted only while outstanding[i] is below the limit.
type Owner struct {
	cfg         OwnerSettings
	group       *Group
	limits      []*Limit
	outstanding []int
	holders     map[ids.Instance]*holderState
	// waiters are the holders that want permits, the least virtual service first.
	waiters *btree.BTreeG[*holderState]
	// idle are the holders with unused permits, the most first; busiest are the
	// holders with permits, the most that are not recalled first.
	idle    *btree.BTreeG[*holderState]
	busiest *btree.BTreeG[*holderState]

	startedAt time.Time
	// expected are the routers whose first report has not arrived.
	expected    map[ids.Instance]bool
	totalWant   int
	totalUrgent int
	totalRecall int
	// dirty are the holders to which the next Flush returns a lease.
	dirty []*holderState
	// hadWaiters is set if permits were wanted after the last allocation.
	hadWaiters bool
	// soloRouter is the router for whose solo requests soloMember is reserved;
	// soloMember is -1 if none is. soloNotified is set once a lease for that
	// router is scheduled that assigns the member to it alone.
	soloRouter   ids.Instance
	soloMember   int
	soloNotified bool
	// soloRequesters counts the holders that need a target for a solo request.
	soloRequesters int
}

// holderState is an owner's record of a holder, from the holder's reports.
type holderState struct {
	name        ids.Instance
	incarnation uint32
	session     uint32
	granted     []uint32
	returned    []uint32
	rejections  []uint32

	outstanding             int // permits granted and not returned
	used                    int
	want                    int
	urgent                  int
	virtualService          float64
	sustainedVirtualService float64
	virtualServiceStep      float64
	// tolerance is the one that the holder reported, or else the configured one.
	tolerance float64
	avoid     uint64
	solo      bool
	// soloAvoid has a bit for each member that is unsuitable for solo requests.
	soloAvoid uint64

	lastHoldAt time.Time
	recall     int
	// dropMask has a bit for each member whose permits the holder must return as
	// they become free.
	dropMask uint64
	// lastAhead is the lead over the floor in the last round.
	lastAhead float64
	dirty     bool
}

// NewOwner returns an owner that grants no permits until all expected routers
// have reported the permits that they hold, or the grace period has passed.
func NewOwner(now time.Time, cfg OwnerSettings, g *Group, expected []ids.Instance) *Owner {
	o := &Owner{
		cfg: cfg, group: g, outstanding: make([]int, len(g.Members)), holders: map[ids.Instance]*holderState{},
		waiters: btree.NewG(btreeDegree, waiterLess), idle: btree.NewG(btreeDegree, idleLess),
		busiest: btree.NewG(btreeDegree, busiestLess), startedAt: now, expected: map[ids.Instance]bool{}, soloMember: -1,
	}
	for _, m := range g.Members {
		o.limits = append(o.limits, NewLimit(now, m))
	}
	for _, r := range expected {
		o.expected[r] = true
	}
	return o
}

func waiterLess(a, b *holderState) bool {
	if a.virtualService != b.virtualService {
		return a.virtualService < b.virtualService
	}
	return a.name < b.name
}

func idleLess(a, b *holderState) bool {
	if x, y := a.outstanding-a.used, b.outstanding-b.used; x != y {
		return x > y
	}
	return a.name < b.name
}

func busiestLess(a, b *holderState) bool {
	if x, y := a.outstanding-a.recall, b.outstanding-b.recall; x != y {
		return x > y
	}
	return a.name < b.name
}

// SetGroup replaces the group by one with the same member IDs and updates the
// concurrency of its members.
func (o *Owner) SetGroup(now time.Time, g *Group) {
	o.group = g
	for i, m := range g.Members {
		o.limits[i].SetConcurrency(m.Concurrency)
	}
	o.allocate(now)
}

// ObserveLoad records the number of requests that wait in a member's queue
// according to its load report. While more permits are outstanding than the
// limit allows, as may be after a fault, the queue does not show whether the
// limit is right, and its length is ignored.
func (o *Owner) ObserveLoad(now time.Time, i, waiting int) {
	if o.outstanding[i] > o.Limit(i) {
		waiting = 0
	}
	o.limits[i].ObserveLoad(now, waiting)
	o.allocate(now)
}

// Limit returns the concurrency limit of a member, zero if it is draining.
func (o *Owner) Limit(i int) int {
	if o.group.Members[i].Draining {
		return 0
	}
	return o.limits[i].Value()
}

// Outstanding returns the number of permits of a member that are granted and not
// returned.
func (o *Owner) Outstanding(i int) int { return o.outstanding[i] }

// update removes a holder from the ordered sets and the totals, applies f and
// adds it again. Every change of a sort key must go through it.
func (o *Owner) update(h *holderState, f func()) {
	o.waiters.Delete(h)
	o.idle.Delete(h)
	o.busiest.Delete(h)
	o.totalWant -= h.want
	o.totalUrgent -= h.urgent
	o.totalRecall -= h.recall
	f()
	o.totalWant += h.want
	o.totalUrgent += h.urgent
	o.totalRecall += h.recall
	if h.want > 0 {
		o.waiters.ReplaceOrInsert(h)
	}
	if h.outstanding > h.used {
		o.idle.ReplaceOrInsert(h)
	}
	if h.outstanding > 0 {
		o.busiest.ReplaceOrInsert(h)
	}
}

// MergeHold merges a holder's report. It ignores reports of an earlier session
// or with another number of members. A report that arrives out of order or
// repeatedly counts for the holder timeout, but only its cumulative counters are
// merged.
func (o *Owner) MergeHold(now time.Time, from ids.Instance, incarnation uint32, m *schedv1.Hold, outOfOrder bool) {
	n := len(o.group.Members)
	if len(m.GetGranted()) != n || len(m.GetReturned()) != n {
		return
	}
	h := o.holders[from]
	if h != nil && h.incarnation == incarnation && m.GetSession() < h.session {
		return
	}
	if h == nil || h.incarnation != incarnation || h.session != m.GetSession() {
		o.removeHolder(h)
		h = o.addHolder(from, incarnation, m)
		outOfOrder = false
	}
	h.lastHoldAt = now
	delete(o.expected, from)
	o.update(h, func() { o.mergeHold(now, h, m, outOfOrder) })
	o.allocate(now)
}

// addHolder adds the record of a holder for a new session. The rejections of the
// report that starts the session count as already observed; its other counters
// are merged next.
func (o *Owner) addHolder(from ids.Instance, incarnation uint32, m *schedv1.Hold) *holderState {
	n := len(o.group.Members)
	h := &holderState{name: from, incarnation: incarnation, session: m.GetSession(), virtualService: NoVirtualService, sustainedVirtualService: NoVirtualService}
	h.granted, h.returned, h.rejections = make([]uint32, n), make([]uint32, n), make([]uint32, n)
	copy(h.rejections, m.GetRefused())
	o.holders[from] = h
	return h
}

// removeHolder removes a holder, whose permits are free again.
func (o *Owner) removeHolder(h *holderState) {
	if h == nil {
		return
	}
	o.update(h, func() {
		h.want, h.urgent, h.recall, h.outstanding, h.used = 0, 0, 0, 0, 0
	})
	o.setSolo(h, false)
	for i := range h.granted {
		o.outstanding[i] -= int(h.granted[i] - h.returned[i])
	}
	delete(o.holders, h.name)
}

func (o *Owner) setSolo(h *holderState, on bool) {
	if h.solo == on {
		return
	}
	h.solo = on
	if on {
		o.soloRequesters++
	} else {
		o.soloRequesters--
	}
}

// mergeHold merges a report into a holder's record. Pending permits are those
// that had not reached the holder when it sent the report; they count as used
// and no longer as wanted.
func (o *Owner) mergeHold(now time.Time, h *holderState, m *schedv1.Hold, outOfOrder bool) {
	pending, newlyReturned := 0, 0
	for i := range h.granted {
		if g := m.GetGranted()[i]; g > h.granted[i] {
			o.outstanding[i] += int(g - h.granted[i])
			h.outstanding += int(g - h.granted[i])
			h.granted[i] = g
		}
		if r := min(m.GetReturned()[i], h.granted[i]); r > h.returned[i] {
			d := int(r - h.returned[i])
			o.outstanding[i] -= d
			h.outstanding -= d
			newlyReturned += d
			h.returned[i] = r
		}
		pending += int(h.granted[i] - m.GetGranted()[i])
	}
	h.recall = max(0, h.recall-newlyReturned)
	if outOfOrder {
		return
	}
	h.used = int(m.GetUsed()) + pending
	h.want = max(0, int(m.GetWant())-pending)
	h.urgent = max(0, min(h.want, int(m.GetUrgent())-pending))
	h.virtualService, h.virtualServiceStep = decodeVirtualService(m.GetVs()), float64(m.GetStep())
	h.tolerance = float64(m.GetTolerance())
	if h.tolerance == 0 {
		h.tolerance = o.cfg.Tolerance
	}
	h.sustainedVirtualService = NoVirtualService
	if h.virtualService != NoVirtualService && m.GetLag() > 0 {
		h.sustainedVirtualService = h.virtualService + decodeVirtualService(m.GetLag())
	}
	if h.virtualService != NoVirtualService {
		h.virtualService += float64(pending) * h.virtualServiceStep
	}
	h.avoid, h.soloAvoid = m.GetAvoid(), m.GetSoloAvoid()
	o.setSolo(h, m.GetSolo())
	for i, r := range m.GetRefused() {
		if i < len(h.rejections) && r > h.rejections[i] {
			h.rejections[i] = r
			o.limits[i].ObserveRejection(now)
		}
	}
}

// markDirty schedules a lease for a holder if needed is set.
func (o *Owner) markDirty(h *holderState, needed bool) {
	if needed && !h.dirty {
		h.dirty = true
		o.dirty = append(o.dirty, h)
	}
}

// isReady reports whether the owner may grant: all expected routers have
// reported, or the grace period has passed.
func (o *Owner) isReady(now time.Time) bool {
	return len(o.expected) == 0 || now.Sub(o.startedAt) >= o.cfg.GracePeriod
}

// AddressedLease is a lease with the holder to which it must be sent.
type AddressedLease struct {
	To    ids.Instance
	Lease *schedv1.Lease
}

// Flush returns the leases that must be sent now.
func (o *Owner) Flush() []AddressedLease {
	if len(o.dirty) == 0 {
		return nil
	}
	out := make([]AddressedLease, 0, len(o.dirty))
	for _, h := range o.dirty {
		h.dirty = false
		if o.holders[h.name] == h {
			out = append(out, AddressedLease{To: h.name, Lease: o.leaseFor(h)})
		}
	}
	o.dirty = o.dirty[:0]
	return out
}

func (o *Owner) leaseFor(h *holderState) *schedv1.Lease {
	l := &schedv1.Lease{
		Group: o.group.ID, Session: h.session, Granted: clone(h.granted),
		Floor: encodeVirtualService(o.floorExcluding(h)), Ceiling: encodeVirtualService(o.ceiling()), Recall: uint32(h.recall), Drop: h.dropMask,
	}
	if o.soloRouter == h.name && o.soloMember >= 0 && o.isSoleHolder(h) {
		l.Solo = uint32(o.soloMember + 1)
	}
	return l
}

// Floor returns the least virtual service among the waiting routers, or
// NoVirtualService.
func (o *Owner) Floor() float64 {
	if w, ok := o.waiters.Min(); ok {
		return w.virtualService
	}
	return NoVirtualService
}

// floorExcluding returns the least virtual service among the waiting routers
// other than h, or NoVirtualService.
func (o *Owner) floorExcluding(h *holderState) float64 {
	floor := float64(NoVirtualService)
	o.waiters.Ascend(func(w *holderState) bool {
		if w != h {
			floor = w.virtualService
		}
		return w == h
	})
	return floor
}

// ceiling returns the greatest among the least virtual services of the waiting
// routers, or NoVirtualService.
func (o *Owner) ceiling() float64 {
	if w, ok := o.waiters.Max(); ok {
		return w.virtualService
	}
	return NoVirtualService
}
