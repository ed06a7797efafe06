package permit

import (
	"math"
	"sort"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// scanLimit bounds how many holders are looked at for one decision.
	scanLimit = 8
	// shrinking is the ratio to the last round below which an excess is taken
	// to be falling by itself, so that no more permits need to move.
	shrinking = 0.9
	// fullRecall is the excess in tolerances at which all permits are recalled.
	fullRecall = 8
)

// serve grants what is free and recalls for the rest.
func (o *Owner) serve(now time.Time) {
	if !o.ready(now) {
		return
	}
	o.serveSolo()
	o.grantFree()
	o.recallIdle()
	o.recallUrgent()
	o.tellWaiting()
}

// grantFree grants free permits, the least virtual service first.
func (o *Owner) grantFree() {
	for range o.want {
		if !o.grantOne() {
			return
		}
	}
}

func (o *Owner) grantOne() bool {
	scanned := 0
	var who *holder
	at := -1
	o.waiters.Ascend(func(h *holder) bool {
		if i := o.freest(h); i >= 0 {
			who, at = h, i
		}
		scanned++
		return who == nil && scanned < scanLimit
	})
	if who == nil {
		return false
	}
	o.grant(who, at)
	return true
}

// freest returns the member with the greatest free share that a holder can
// use, or -1.
func (o *Owner) freest(h *holder) int {
	best, share := -1, 0.0
	for i := range o.handed {
		limit := o.Limit(i)
		free := limit - o.handed[i]
		if free <= 0 || h.avoid&(1<<i) != 0 || (i == o.soloAt && h.name != o.solo) {
			continue
		}
		if s := float64(free) / float64(limit); s > share {
			best, share = i, s
		}
	}
	return best
}

func (o *Owner) grant(h *holder, i int) {
	o.change(h, func() {
		h.granted[i]++
		h.out++
		h.used++
		h.want--
		h.urgent = max(0, h.urgent-1)
		h.vs += h.step
	})
	o.handed[i]++
	o.mark(h, true)
}

// recallIdle asks holders for permits that they don't use.
func (o *Owner) recallIdle() {
	scanned := 0
	var from []*holder
	o.idle.Ascend(func(h *holder) bool {
		scanned++
		if h.want == 0 {
			from = append(from, h)
		}
		return scanned < scanLimit
	})
	for _, h := range from {
		n := min(o.want-o.recalling, h.out-h.used-h.recall)
		if n > 0 {
			o.recall(h, n)
		}
	}
}

// recallUrgent asks holders that are ahead by more than the tolerance for
// permits on behalf of routers that have none.
func (o *Owner) recallUrgent() {
	for o.recalling < o.urgent {
		h := o.ahead()
		if h == nil {
			return
		}
		o.recall(h, min(o.urgent-o.recalling, h.out-h.recall))
	}
}

// ahead returns the holder with the most permits among those ahead of the
// floor, or nil.
func (o *Owner) ahead() *holder {
	least, ok := o.waiters.Min()
	if !ok {
		return nil
	}
	scanned := 0
	var found *holder
	o.busiest.Ascend(func(h *holder) bool {
		scanned++
		if h.out > h.recall && (h.vs == NoVS || h.vs > least.vs+least.tolerance) {
			found = h
			return false
		}
		return scanned < scanLimit
	})
	return found
}

func (o *Owner) recall(h *holder, n int) {
	o.change(h, func() { h.recall += n })
	o.mark(h, true)
}

// tellWaiting tells the greatest holders once others start to wait, as any permit that
// falls free must then go back.
func (o *Owner) tellWaiting() {
	waited := o.want > 0
	if waited && !o.wasWaited {
		scanned := 0
		o.busiest.Ascend(func(h *holder) bool {
			scanned++
			o.mark(h, h.want == 0)
			return scanned < scanLimit
		})
	}
	o.wasWaited = waited
}

// Round lets an interval pass: silent holders lapse, limits recover, and
// permits move from routers ahead to the one behind. All holders are told.
func (o *Owner) Round(now time.Time, live func(ids.Instance) bool) {
	for _, h := range o.sorted() {
		silent := now.Sub(h.heard)
		if silent >= o.cfg.Lapse || (!live(h.name) && silent >= o.cfg.Lapse/2) {
			o.drop(h)
		}
	}
	for i, l := range o.limits {
		l.Tick(now)
		o.setDrops(i)
	}
	o.recallAhead()
	o.serve(now)
	for _, h := range o.sorted() {
		o.mark(h, h.out > 0 || h.want > 0)
	}
}

func (o *Owner) sorted() []*holder {
	out := make([]*holder, 0, len(o.holders))
	for _, h := range o.holders {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// setDrops asks the holders with the most permits of a member for them, as many
// holders as it takes while more are out than the limit allows; all of them if
// the member is leaving or another router needs it alone.
func (o *Owner) setDrops(i int) {
	over := o.handed[i] - o.Limit(i)
	all := over > 0 && o.group.Members[i].Leaving || i == o.soloAt
	holders := o.sorted()
	sort.SliceStable(holders, func(a, b int) bool { return holders[a].outOf(i) > holders[b].outOf(i) })
	for _, h := range holders {
		h.drop &^= 1 << i
		if over > 0 || (all && h.name != o.solo) {
			h.drop |= 1 << i
			over -= h.outOf(i)
		}
	}
}

func (h *holder) outOf(i int) int { return int(h.granted[i] - h.returned[i]) }

// recallAhead moves permits in proportion to how far a holder is ahead of the
// floor, and none while that is shrinking by itself: the permits govern the
// rate at which virtual service grows, so moving them by the difference alone
// would swing for ever. Only work that has waited for an interval counts; what
// waits for less is served by urgent asks or by what falls free at its router.
func (o *Owner) recallAhead() {
	holders := o.sorted()
	least := leastBase(holders)
	room := 0
	for _, h := range holders {
		if h.want > 0 && h.base != NoVS && h.base <= least.base+least.tolerance {
			room += h.want
		}
	}
	for _, h := range holders {
		n := 0
		if h.base != NoVS && least != nil {
			n = min(room, h.excess(h.base-least.base, least.tolerance))
		}
		room -= n
		o.change(h, func() { h.recall = n })
	}
}

// leastBase returns the waiter with the least virtual service that has lasted,
// nil if there is none.
func leastBase(holders []*holder) *holder {
	var least *holder
	for _, h := range holders {
		if h.want > 0 && h.base != NoVS && (least == nil || h.base < least.base) {
			least = h
		}
	}
	return least
}

// excess returns how many permits a holder ahead of the floor should return.
func (h *holder) excess(ahead, tolerance float64) int {
	last := h.lastExcess
	h.lastExcess = ahead
	if ahead <= tolerance || ahead < last*shrinking {
		return 0
	}
	share := math.Min(1, (ahead-tolerance)/(fullRecall*tolerance))
	return int(math.Ceil(float64(h.out) * share))
}

// serveSolo picks a target for a router that needs one alone.
func (o *Owner) serveSolo() {
	h := o.holders[o.solo]
	if h == nil || !h.solo || o.Limit(o.soloAt) == 0 {
		h = o.chooseSolo()
	}
	if h == nil {
		return
	}
	if h.outOf(o.soloAt) == 0 && o.handed[o.soloAt] < o.Limit(o.soloAt) {
		o.grant(h, o.soloAt)
	}
	if alone := o.alone(h); alone != o.soloTold {
		o.soloTold = alone
		o.mark(h, true)
	}
}

// chooseSolo starts the next turn of a router that needs a target alone.
func (o *Owner) chooseSolo() *holder {
	if was := o.soloAt; was >= 0 {
		o.soloAt = -1
		o.setDrops(was)
		o.markAll()
	}
	o.solo, o.soloAt, o.soloTold = "", -1, false
	if o.soloists == 0 {
		return nil
	}
	for _, h := range o.sorted() {
		if !h.solo {
			continue
		}
		if i := o.emptiest(h); i >= 0 {
			o.solo, o.soloAt = h.name, i
			o.setDrops(i)
			o.markAll()
			return h
		}
	}
	return nil
}

func (o *Owner) markAll() {
	for _, h := range o.sorted() {
		o.mark(h, true)
	}
}

// emptiest returns the member with the fewest permits at other routers.
func (o *Owner) emptiest(h *holder) int {
	best, least := -1, 0
	for i := range o.handed {
		others := o.handed[i] - h.outOf(i)
		if o.Limit(i) == 0 || (h.avoid|h.soloAvoid)&(1<<i) != 0 {
			continue
		}
		if best < 0 || others < least {
			best, least = i, others
		}
	}
	return best
}

// alone tells whether no other router holds permits of the solo target.
func (o *Owner) alone(h *holder) bool {
	return o.soloAt >= 0 && h.outOf(o.soloAt) > 0 && o.handed[o.soloAt] == h.outOf(o.soloAt)
}
