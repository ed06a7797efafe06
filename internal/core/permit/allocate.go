package permit

import (
	"math"
	"sort"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxHoldersScanned bounds the holders examined for one decision.
	maxHoldersScanned = 8
	// shrinkRatio is the ratio of a holder's lead to that of the last round
	// below which the lead is considered to be shrinking without further recalls.
	shrinkRatio = 0.9
	// fullRecallTolerances is the lead beyond the tolerance, in tolerances, from
	// which on all permits of a holder are recalled.
	fullRecallTolerances = 8
)

// allocate grants the free permits and recalls permits for the demand that
// remains.
func (o *Owner) allocate(now time.Time) {
	if !o.isReady(now) {
		return
	}
	o.allocateSolo()
	o.grantFree()
	o.recallIdle()
	o.recallUrgent()
	o.notifyBusiest()
}

// grantFree grants the free permits to the waiting holders, the least virtual
// service first.
func (o *Owner) grantFree() {
	for range o.totalWant {
		if !o.grantOne() {
			return
		}
	}
}

// grantOne grants one free permit and reports whether there was one that a
// waiting holder can use.
func (o *Owner) grantOne() bool {
	scanned := 0
	var grantee *holderState
	member := -1
	o.waiters.Ascend(func(h *holderState) bool {
		if i := o.mostFreeMember(h); i >= 0 {
			grantee, member = h, i
		}
		scanned++
		return grantee == nil && scanned < maxHoldersScanned
	})
	if grantee == nil {
		return false
	}
	o.grant(grantee, member)
	return true
}

// mostFreeMember returns the member with the greatest free share of its limit
// among those that a holder can use, or -1.
func (o *Owner) mostFreeMember(h *holderState) int {
	best, share := -1, 0.0
	for i := range o.outstanding {
		limit := o.Limit(i)
		free := limit - o.outstanding[i]
		if free <= 0 || h.avoid&(1<<i) != 0 || (i == o.soloMember && h.name != o.soloRouter) {
			continue
		}
		if s := float64(free) / float64(limit); s > share {
			best, share = i, s
		}
	}
	return best
}

func (o *Owner) grant(h *holderState, i int) {
	o.update(h, func() {
		h.granted[i]++
		h.outstanding++
		h.used++
		h.want--
		h.urgent = max(0, h.urgent-1)
		h.virtualService += h.virtualServiceStep
	})
	o.outstanding[i]++
	o.markDirty(h, true)
}

// recallIdle recalls unused permits from holders that want none, up to the total
// demand.
func (o *Owner) recallIdle() {
	scanned := 0
	var from []*holderState
	o.idle.Ascend(func(h *holderState) bool {
		scanned++
		if h.want == 0 {
			from = append(from, h)
		}
		return scanned < maxHoldersScanned
	})
	for _, h := range from {
		n := min(o.totalWant-o.totalRecall, h.outstanding-h.used-h.recall)
		if n > 0 {
			o.recall(h, n)
		}
	}
}

// recallUrgent recalls permits for routers that have none, from holders whose
// virtual service is ahead of the floor by more than the tolerance.
func (o *Owner) recallUrgent() {
	for o.totalRecall < o.totalUrgent {
		h := o.busiestAhead()
		if h == nil {
			return
		}
		o.recall(h, min(o.totalUrgent-o.totalRecall, h.outstanding-h.recall))
	}
}

// busiestAhead returns the holder with the most permits among those that are
// ahead of the floor by more than the tolerance, or nil.
func (o *Owner) busiestAhead() *holderState {
	least, ok := o.waiters.Min()
	if !ok {
		return nil
	}
	scanned := 0
	var found *holderState
	o.busiest.Ascend(func(h *holderState) bool {
		scanned++
		if h.outstanding > h.recall && (h.virtualService == NoVirtualService || h.virtualService > least.virtualService+least.tolerance) {
			found = h
			return false
		}
		return scanned < maxHoldersScanned
	})
	return found
}

func (o *Owner) recall(h *holderState, n int) {
	o.update(h, func() { h.recall += n })
	o.markDirty(h, true)
}

// notifyBusiest schedules leases for the holders with the most permits when
// routers start to wait: from then on, any permit that becomes free must be
// returned.
func (o *Owner) notifyBusiest() {
	hasWaiters := o.totalWant > 0
	if hasWaiters && !o.hadWaiters {
		scanned := 0
		o.busiest.Ascend(func(h *holderState) bool {
			scanned++
			o.markDirty(h, h.want == 0)
			return scanned < maxHoldersScanned
		})
	}
	o.hadWaiters = hasWaiters
}

// Round runs once per interval. It removes holders that have not reported in
// time (a holder that is not live after half of the timeout), lets the limits
// recover, recalls permits from holders that are ahead of the floor, and
// schedules leases for all holders that have or want permits.
func (o *Owner) Round(now time.Time, isLive func(ids.Instance) bool) {
	for _, h := range o.sortedHolders() {
		sinceLastHold := now.Sub(h.lastHoldAt)
		if sinceLastHold >= o.cfg.HolderTimeout || (!isLive(h.name) && sinceLastHold >= o.cfg.HolderTimeout/2) {
			o.removeHolder(h)
		}
	}
	for i, l := range o.limits {
		l.Recover(now)
		o.updateDropMasks(i)
	}
	o.recallAhead()
	o.allocate(now)
	for _, h := range o.sortedHolders() {
		o.markDirty(h, h.outstanding > 0 || h.want > 0)
	}
}

// sortedHolders returns the holders in the order of their names, so that
// decisions do not depend on the order of the map.
func (o *Owner) sortedHolders() []*holderState {
	out := make([]*holderState, 0, len(o.holders))
	for _, h := range o.holders {
		out = append(out, h)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].name < out[j].name })
	return out
}

// updateDropMasks selects the holders that must return their permits of a member
// as they become free. While more permits are outstanding than the limit allows,
// these are the holders with the most permits, as many as it takes. They are all
// holders if the member is draining, and all other holders if a router needs it
// for a solo request.
func (o *Owner) updateDropMasks(i int) {
	over := o.outstanding[i] - o.Limit(i)
	all := over > 0 && o.group.Members[i].Draining || i == o.soloMember
	holders := o.sortedHolders()
	sort.SliceStable(holders, func(a, b int) bool { return holders[a].outstandingAt(i) > holders[b].outstandingAt(i) })
	for _, h := range holders {
		h.dropMask &^= 1 << i
		if over > 0 || (all && h.name != o.soloRouter) {
			h.dropMask |= 1 << i
			over -= h.outstandingAt(i)
		}
	}
}

func (h *holderState) outstandingAt(i int) int { return int(h.granted[i] - h.returned[i]) }

// recallAhead recalls permits in proportion to a holder's lead over the floor,
// and none while the lead is shrinking. The number of permits governs the rate
// at which virtual service grows, so recalls in proportion to the lead alone
// would oscillate without end. Only requests that have waited for an interval or
// longer count; those that have waited for less are served by urgent recalls or
// by permits that become free at their own router.
func (o *Owner) recallAhead() {
	holders := o.sortedHolders()
	least := leastSustained(holders)
	wanted := 0
	for _, h := range holders {
		if h.want > 0 && h.sustainedVirtualService != NoVirtualService && h.sustainedVirtualService <= least.sustainedVirtualService+least.tolerance {
			wanted += h.want
		}
	}
	for _, h := range holders {
		n := 0
		if h.sustainedVirtualService != NoVirtualService && least != nil {
			n = min(wanted, h.excessPermits(h.sustainedVirtualService-least.sustainedVirtualService, least.tolerance))
		}
		wanted -= n
		o.update(h, func() { h.recall = n })
	}
}

// leastSustained returns the waiter with the least sustained virtual service, nil
// if there is none.
func leastSustained(holders []*holderState) *holderState {
	var least *holderState
	for _, h := range holders {
		if h.want > 0 && h.sustainedVirtualService != NoVirtualService && (least == nil || h.sustainedVirtualService < least.sustainedVirtualService) {
			least = h
		}
	}
	return least
}

// excessPermits returns how many permits a holder should return whose virtual
// service is ahead of the floor by the given difference.
func (h *holderState) excessPermits(ahead, tolerance float64) int {
	lastAhead := h.lastAhead
	h.lastAhead = ahead
	if ahead <= tolerance || ahead < lastAhead*shrinkRatio {
		return 0
	}
	share := math.Min(1, (ahead-tolerance)/(fullRecallTolerances*tolerance))
	return int(math.Ceil(float64(h.outstanding) * share))
}

// allocateSolo reserves a member for a router that needs a target for a solo
// request, and grants a permit for it once there is a free one.
func (o *Owner) allocateSolo() {
	h := o.holders[o.soloRouter]
	if h == nil || !h.solo || o.Limit(o.soloMember) == 0 {
		h = o.chooseSolo()
	}
	if h == nil {
		return
	}
	if h.outstandingAt(o.soloMember) == 0 && o.outstanding[o.soloMember] < o.Limit(o.soloMember) {
		o.grant(h, o.soloMember)
	}
	if sole := o.isSoleHolder(h); sole != o.soloNotified {
		o.soloNotified = sole
		o.markDirty(h, true)
	}
}

// chooseSolo ends the current reservation and starts the next: for the first
// router by name that needs a target for a solo request and can use a member. It
// returns that router's record, or nil.
func (o *Owner) chooseSolo() *holderState {
	if previous := o.soloMember; previous >= 0 {
		o.soloMember = -1
		o.updateDropMasks(previous)
		o.markAllDirty()
	}
	o.soloRouter, o.soloMember, o.soloNotified = "", -1, false
	if o.soloRequesters == 0 {
		return nil
	}
	for _, h := range o.sortedHolders() {
		if !h.solo {
			continue
		}
		if i := o.leastUsedByOthers(h); i >= 0 {
			o.soloRouter, o.soloMember = h.name, i
			o.updateDropMasks(i)
			o.markAllDirty()
			return h
		}
	}
	return nil
}

func (o *Owner) markAllDirty() {
	for _, h := range o.sortedHolders() {
		o.markDirty(h, true)
	}
}

// leastUsedByOthers returns the member with the fewest permits at other routers
// among those suitable for the solo requests of a holder, or -1.
func (o *Owner) leastUsedByOthers(h *holderState) int {
	best, least := -1, 0
	for i := range o.outstanding {
		others := o.outstanding[i] - h.outstandingAt(i)
		if o.Limit(i) == 0 || (h.avoid|h.soloAvoid)&(1<<i) != 0 {
			continue
		}
		if best < 0 || others < least {
			best, least = i, others
		}
	}
	return best
}

// isSoleHolder reports whether a holder has permits of the reserved member and no
// other router has any.
func (o *Owner) isSoleHolder(h *holderState) bool {
	return o.soloMember >= 0 && h.outstandingAt(o.soloMember) > 0 && o.outstanding[o.soloMember] == h.outstandingAt(o.soloMember)
}
