package permit

import (
	"time"

	"github.com/google/btree"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

const degree = 16

// OwnerSettings of an owner.
type OwnerSettings struct {
	// Interval between two rounds.
	Interval time.Duration
	// Tolerance in virtual service within which permits stay where they are.
	Tolerance float64
	// Grace is how long a new owner only listens.
	Grace time.Duration
	// Lapse is the silence after which a holder's permits are free again.
	Lapse time.Duration
}

// Owner hands out the permits of a group.
//
// Invariant: handed[i] is the sum over holders of granted less returned, and
// permits are granted only while handed[i] is below the limit.
type Owner struct {
	cfg     OwnerSettings
	group   *Group
	limits  []*Limit
	handed  []int
	holders map[ids.Instance]*holder
	// waiters want permits, the least virtual service first.
	waiters *btree.BTreeG[*holder]
	// idle holders have unused permits, most first; busiest hold most first.
	idle    *btree.BTreeG[*holder]
	busiest *btree.BTreeG[*holder]

	since     time.Time
	expected  map[ids.Instance]bool
	want      int
	urgent    int
	recalling int
	dirty     []*holder
	wasWaited bool
	solo      ids.Instance
	soloAt    int
	soloTold  bool
	soloists  int
}

// holder is what the owner knows of a router.
type holder struct {
	name        ids.Instance
	incarnation uint32
	session     uint32
	granted     []uint32
	returned    []uint32
	refused     []uint32

	out    int // permits handed out and not returned
	used   int
	want   int
	urgent int
	vs     float64
	base   float64
	step   float64
	// tolerance as the holder estimates it.
	tolerance float64
	avoid     uint64
	solo      bool
	// soloAvoid has a bit for each target that won't do for a solo request.
	soloAvoid uint64

	heard      time.Time
	recall     int
	drop       uint64
	lastExcess float64
	dirty      bool
}

// NewOwner returns an owner that waits for the holders' reports: until all
// expected routers have spoken or the grace period has passed it grants none.
func NewOwner(now time.Time, cfg OwnerSettings, g *Group, expected []ids.Instance) *Owner {
	o := &Owner{
		cfg: cfg, group: g, handed: make([]int, len(g.Members)), holders: map[ids.Instance]*holder{},
		waiters: btree.NewG(degree, waiterLess), idle: btree.NewG(degree, idleLess),
		busiest: btree.NewG(degree, busiestLess), since: now, expected: map[ids.Instance]bool{}, soloAt: -1,
	}
	for _, m := range g.Members {
		o.limits = append(o.limits, NewLimit(now, m))
	}
	for _, r := range expected {
		o.expected[r] = true
	}
	return o
}

func waiterLess(a, b *holder) bool {
	if a.vs != b.vs {
		return a.vs < b.vs
	}
	return a.name < b.name
}

func idleLess(a, b *holder) bool {
	if x, y := a.out-a.used, b.out-b.used; x != y {
		return x > y
	}
	return a.name < b.name
}

func busiestLess(a, b *holder) bool {
	if x, y := a.out-a.recall, b.out-b.recall; x != y {
		return x > y
	}
	return a.name < b.name
}

// SetGroup takes in changed members with the same names.
func (o *Owner) SetGroup(now time.Time, g *Group) {
	o.group = g
	for i, m := range g.Members {
		o.limits[i].SetConcurrency(m.Concurrency)
	}
	o.serve(now)
}

// Load takes in a target's report about itself. While more permits are out than
// the limit allows, as may be after a fault, its line says nothing about the
// limit.
func (o *Owner) Load(now time.Time, i, waiting int) {
	if o.handed[i] > o.Limit(i) {
		waiting = 0
	}
	o.limits[i].Load(now, waiting)
	o.serve(now)
}

// Limit returns the limit of a member, zero if it is leaving.
func (o *Owner) Limit(i int) int {
	if o.group.Members[i].Leaving {
		return 0
	}
	return o.limits[i].Value()
}

// Handed returns the permits of a member that are out.
func (o *Owner) Handed(i int) int { return o.handed[i] }

// change removes a holder from the ordered sets, applies f and puts it back.
func (o *Owner) change(h *holder, f func()) {
	o.waiters.Delete(h)
	o.idle.Delete(h)
	o.busiest.Delete(h)
	o.want -= h.want
	o.urgent -= h.urgent
	o.recalling -= h.recall
	f()
	o.want += h.want
	o.urgent += h.urgent
	o.recalling += h.recall
	if h.want > 0 {
		o.waiters.ReplaceOrInsert(h)
	}
	if h.out > h.used {
		o.idle.ReplaceOrInsert(h)
	}
	if h.out > 0 {
		o.busiest.ReplaceOrInsert(h)
	}
}

// Hold merges a router's state. Old ones count for their returns only.
func (o *Owner) Hold(now time.Time, from ids.Instance, incarnation uint32, m *schedv1.Hold, old bool) {
	n := len(o.group.Members)
	if len(m.GetGranted()) != n || len(m.GetReturned()) != n {
		return
	}
	h := o.holders[from]
	if h != nil && h.incarnation == incarnation && m.GetSession() < h.session {
		return
	}
	if h == nil || h.incarnation != incarnation || h.session != m.GetSession() {
		o.drop(h)
		h = o.adopt(from, incarnation, m)
		old = false
	}
	h.heard = now
	delete(o.expected, from)
	o.change(h, func() { o.merge(now, h, m, old) })
	o.serve(now)
}

// adopt starts a session from what the holder says it has.
func (o *Owner) adopt(from ids.Instance, incarnation uint32, m *schedv1.Hold) *holder {
	n := len(o.group.Members)
	h := &holder{name: from, incarnation: incarnation, session: m.GetSession(), vs: NoVS, base: NoVS}
	h.granted, h.returned, h.refused = make([]uint32, n), make([]uint32, n), make([]uint32, n)
	copy(h.refused, m.GetRefused())
	o.holders[from] = h
	return h
}

// drop forgets a holder; its permits are free again.
func (o *Owner) drop(h *holder) {
	if h == nil {
		return
	}
	o.change(h, func() {
		h.want, h.urgent, h.recall, h.out, h.used = 0, 0, 0, 0, 0
	})
	o.setSolo(h, false)
	for i := range h.granted {
		o.handed[i] -= int(h.granted[i] - h.returned[i])
	}
	delete(o.holders, h.name)
}

func (o *Owner) setSolo(h *holder, on bool) {
	if h.solo == on {
		return
	}
	h.solo = on
	if on {
		o.soloists++
	} else {
		o.soloists--
	}
}

func (o *Owner) merge(now time.Time, h *holder, m *schedv1.Hold, old bool) {
	pending, back := 0, 0
	for i := range h.granted {
		if g := m.GetGranted()[i]; g > h.granted[i] {
			o.handed[i] += int(g - h.granted[i])
			h.out += int(g - h.granted[i])
			h.granted[i] = g
		}
		if r := min(m.GetReturned()[i], h.granted[i]); r > h.returned[i] {
			d := int(r - h.returned[i])
			o.handed[i] -= d
			h.out -= d
			back += d
			h.returned[i] = r
		}
		pending += int(h.granted[i] - m.GetGranted()[i])
	}
	h.recall = max(0, h.recall-back)
	if old {
		return
	}
	h.used = int(m.GetUsed()) + pending
	h.want = max(0, int(m.GetWant())-pending)
	h.urgent = max(0, min(h.want, int(m.GetUrgent())-pending))
	h.vs, h.step = decodeVS(m.GetVs()), float64(m.GetStep())
	h.tolerance = float64(m.GetTolerance())
	if h.tolerance == 0 {
		h.tolerance = o.cfg.Tolerance
	}
	h.base = NoVS
	if h.vs != NoVS && m.GetLag() > 0 {
		h.base = h.vs + decodeVS(m.GetLag())
	}
	if h.vs != NoVS {
		h.vs += float64(pending) * h.step
	}
	h.avoid, h.soloAvoid = m.GetAvoid(), m.GetSoloAvoid()
	o.setSolo(h, m.GetSolo())
	for i, r := range m.GetRefused() {
		if i < len(h.refused) && r > h.refused[i] {
			h.refused[i] = r
			o.limits[i].Refused(now)
		}
	}
}

// mark notes that a holder is to be told.
func (o *Owner) mark(h *holder, on bool) {
	if on && !h.dirty {
		h.dirty = true
		o.dirty = append(o.dirty, h)
	}
}

// ready tells whether the owner knows enough to grant.
func (o *Owner) ready(now time.Time) bool {
	return len(o.expected) == 0 || now.Sub(o.since) >= o.cfg.Grace
}

// Told is a lease for a holder.
type Told struct {
	To    ids.Instance
	Lease *schedv1.Lease
}

// Flush returns the leases that must be told now.
func (o *Owner) Flush() []Told {
	if len(o.dirty) == 0 {
		return nil
	}
	out := make([]Told, 0, len(o.dirty))
	for _, h := range o.dirty {
		h.dirty = false
		if o.holders[h.name] == h {
			out = append(out, Told{To: h.name, Lease: o.lease(h)})
		}
	}
	o.dirty = o.dirty[:0]
	return out
}

func (o *Owner) lease(h *holder) *schedv1.Lease {
	l := &schedv1.Lease{
		Group: o.group.ID, Session: h.session, Granted: clone(h.granted),
		Floor: encodeVS(o.floorBut(h)), Ceiling: encodeVS(o.ceiling()), Recall: uint32(h.recall), Drop: h.drop,
	}
	if o.solo == h.name && o.soloAt >= 0 && o.alone(h) {
		l.Solo = uint32(o.soloAt + 1)
	}
	return l
}

// Floor returns the least virtual service among waiting routers, or NoVS.
func (o *Owner) Floor() float64 {
	if w, ok := o.waiters.Min(); ok {
		return w.vs
	}
	return NoVS
}

// floorBut returns the least virtual service among other waiting routers.
func (o *Owner) floorBut(h *holder) float64 {
	floor := float64(NoVS)
	o.waiters.Ascend(func(w *holder) bool {
		if w != h {
			floor = w.vs
		}
		return w == h
	})
	return floor
}

// ceiling returns the greatest among waiting routers' least virtual services.
func (o *Owner) ceiling() float64 {
	if w, ok := o.waiters.Max(); ok {
		return w.vs
	}
	return NoVS
}
