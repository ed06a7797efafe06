package permit

import (
	"math"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

// NoVirtualService is the value of a virtual service where no request waits.
const NoVirtualService = -1

// Holder is a router's side of a group: the permits that the router holds and
// uses, and the last lease from the group's owner.
//
// Invariants: returned <= granted for each member; used does not exceed the
// permits held, unless they were adopted from another group.
type Holder struct {
	Group *Group
	Owner ids.Instance

	session    uint32
	granted    []uint32
	returned   []uint32
	used       []int
	rejections []uint32

	lastLeaseAt    time.Time
	floor          float64
	floorUpdatedAt time.Time
	ceiling        float64
	recall         int
	// dropMask has a bit for each member whose permits must be returned as they
	// become free.
	dropMask uint64
	// soloPlusOne is the member for solo requests plus one; zero stands for none.
	soloPlusOne int
	lastUseAt   time.Time
}

// Demand is a router's current demand for the permits of a group.
type Demand struct {
	// Want is the number of further permits that the router could use.
	Want int
	// Urgent is the part of Want for which the router has no permit to reuse.
	Urgent int
	// VirtualService is the least virtual service of the waiting requests, in
	// service units per weight, or NoVirtualService.
	VirtualService float64
	// SustainedVirtualService is the least virtual service of the requests that
	// have waited for a report interval or longer, or NoVirtualService. The
	// recalls of a round depend on it; grants and urgent recalls depend on
	// VirtualService.
	SustainedVirtualService float64
	// VirtualServiceStep is what one more request adds to VirtualService.
	VirtualServiceStep float64
	// Tolerance is the difference in virtual service within which permits stay
	// where they are; zero stands for the configured one.
	Tolerance float64
	// Solo is set while a solo request, which must be the only one at its target,
	// waits or runs.
	Solo bool
	// SoloAvoid has a bit for each member that is unsuitable for solo requests.
	SoloAvoid uint64
	// Avoid has a bit for each member that the router cannot use.
	Avoid uint64
}

// NewHolder returns a holder without permits and without an owner.
func NewHolder(g *Group) *Holder {
	n := len(g.Members)
	return &Holder{
		Group: g, granted: make([]uint32, n), returned: make([]uint32, n),
		used: make([]int, n), rejections: make([]uint32, n), floor: NoVirtualService, ceiling: NoVirtualService,
	}
}

// SetOwner starts a session with an owner and resets the counters to the permits
// held, which the next report sends to the owner. It does nothing if the owner
// is the same. Session numbers must increase over all groups of a router.
func (h *Holder) SetOwner(now time.Time, owner ids.Instance, session uint32) {
	if h.Owner == owner {
		return
	}
	h.Owner, h.session = owner, session
	for i := range h.granted {
		h.granted[i] -= h.returned[i]
		h.returned[i] = 0
	}
	h.lastLeaseAt = now
	h.floor, h.ceiling, h.recall, h.dropMask, h.soloPlusOne = NoVirtualService, NoVirtualService, 0, 0, 0
}

// Adopt adds permits and running requests of a member without a lease: those that
// the router had in another group before the groups changed, or permits in a mode
// that has no owners.
func (h *Holder) Adopt(i, held, used int) {
	h.granted[i] += uint32(max(0, held))
	h.used[i] += used
}

// Held returns the number of permits held for a member.
func (h *Holder) Held(i int) int { return int(h.granted[i] - h.returned[i]) }

// Used returns the number of requests that run at a member.
func (h *Holder) Used(i int) int { return h.used[i] }

// Free returns the number of permits of a member that are not in use.
func (h *Holder) Free(i int) int { return max(0, h.Held(i)-h.used[i]) }

// Totals returns the numbers of permits held and in use over all members.
func (h *Holder) Totals() (held, used int) {
	for i := range h.granted {
		held += h.Held(i)
		used += h.used[i]
	}
	return held, used
}

// Use records that a request starts at a member.
func (h *Holder) Use(now time.Time, i int) {
	h.used[i]++
	h.lastUseAt = now
}

// Done records that a request at a member has ended.
func (h *Holder) Done(now time.Time, i int) {
	h.used[i] = max(0, h.used[i]-1)
	h.lastUseAt = now
}

// RecordRejection counts a request that a member rejected because it was full.
func (h *Holder) RecordRejection(i int) { h.rejections[i]++ }

// Return returns up to n free permits of a member to the owner and reports how
// many it returned.
func (h *Holder) Return(i, n int) int {
	n = max(0, min(n, h.Free(i)))
	h.returned[i] += uint32(n)
	h.recall = max(0, h.recall-n)
	return n
}

// IsLeaseValid reports whether permits may be used for new requests: whether a
// lease of the owner has arrived within the given time.
func (h *Holder) IsLeaseValid(now time.Time, within time.Duration) bool {
	return now.Sub(h.lastLeaseAt) < within
}

// MergeLease merges a lease of the current session and ignores others. A lease
// that arrives out of order or repeatedly counts for IsLeaseValid, but only its
// granted counters are merged.
func (h *Holder) MergeLease(now time.Time, l *schedv1.Lease, outOfOrder bool) {
	if l.GetSession() != h.session || len(l.GetGranted()) != len(h.granted) {
		return
	}
	for i, g := range l.GetGranted() {
		h.granted[i] = max(h.granted[i], g)
	}
	h.lastLeaseAt = now
	if outOfOrder {
		return
	}
	h.floor, h.floorUpdatedAt = decodeVirtualService(l.GetFloor()), now
	h.ceiling = decodeVirtualService(l.GetCeiling())
	h.recall = int(l.GetRecall())
	h.dropMask = l.GetDrop()
	h.soloPlusOne = int(l.GetSolo())
}

// Floor returns the least virtual service that waits for a permit at another
// router, or NoVirtualService if none waits or the last value is older than the
// given time.
func (h *Holder) Floor(now time.Time, within time.Duration) float64 {
	if now.Sub(h.floorUpdatedAt) >= within {
		return NoVirtualService
	}
	return h.floor
}

// Ceiling returns the greatest among the least virtual services of the waiting
// routers, or NoVirtualService if none waits or the last value is older than the
// given time.
func (h *Holder) Ceiling(now time.Time, within time.Duration) float64 {
	if now.Sub(h.floorUpdatedAt) >= within {
		return NoVirtualService
	}
	return h.ceiling
}

// Recall returns the number of permits that the owner recalls.
func (h *Holder) Recall() int { return h.recall }

// IsReturnRequested reports whether permits of a member must be returned as soon
// as they are free.
func (h *Holder) IsReturnRequested(i int) bool { return h.dropMask&(1<<i) != 0 }

// SoloMember returns the member that is assigned to this router alone, for solo
// requests, or -1.
func (h *Holder) SoloMember() int { return h.soloPlusOne - 1 }

// LastUseAt returns the time at which a request last started or ended.
func (h *Holder) LastUseAt() time.Time { return h.lastUseAt }

// Report returns the report to the owner.
func (h *Holder) Report(d Demand) *schedv1.Hold {
	_, used := h.Totals()
	m := &schedv1.Hold{
		Group: h.Group.ID, Session: h.session, Granted: clone(h.granted), Returned: clone(h.returned),
		Used: uint32(used), Want: uint32(d.Want), Urgent: uint32(d.Urgent),
		Vs: encodeVirtualService(d.VirtualService), Avoid: d.Avoid, Solo: d.Solo, SoloAvoid: d.SoloAvoid,
	}
	if d.VirtualService != NoVirtualService && d.SustainedVirtualService != NoVirtualService {
		m.Lag = encodeVirtualService(math.Max(0, d.SustainedVirtualService-d.VirtualService))
	}
	if d.VirtualService != NoVirtualService {
		m.Tolerance = uint32(math.Round(d.Tolerance))
	}
	if d.Want > 0 {
		m.Step = uint64(math.Round(d.VirtualServiceStep))
	}
	for _, r := range h.rejections {
		if r > 0 {
			m.Refused = clone(h.rejections)
			break
		}
	}
	return m
}

func clone(s []uint32) []uint32 { return append([]uint32(nil), s...) }

// encodeVirtualService encodes a virtual service for a message: zero stands for
// NoVirtualService.
func encodeVirtualService(vs float64) uint64 {
	if vs < 0 {
		return 0
	}
	return uint64(math.Round(vs)) + 1
}

// decodeVirtualService is the inverse of encodeVirtualService, up to rounding.
func decodeVirtualService(v uint64) float64 {
	if v == 0 {
		return NoVirtualService
	}
	return float64(v - 1)
}
