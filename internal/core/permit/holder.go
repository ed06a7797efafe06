package permit

import (
	"math"
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/ids"
)

// NoVS stands for no virtual service: nothing waits.
const NoVS = -1

// Holder is a router's side of a group: the permits it has.
//
// Invariant: returned <= granted for each member, and used is at most what is
// held unless the permits were taken over from another group.
type Holder struct {
	Group *Group
	Owner ids.Instance

	session  uint32
	granted  []uint32
	returned []uint32
	used     []int
	refused  []uint32

	heard   time.Time
	floor   float64
	floorAt time.Time
	ceiling float64
	recall  int
	drop    uint64
	solo    int
	idle    time.Time
}

// Need is what a router would use of a group now.
type Need struct {
	// Want is how many more permits.
	Want int
	// Urgent of them are wanted by a router with none to reuse.
	Urgent int
	// VS is the least virtual service that waits, or NoVS.
	VS float64
	// Base is the least virtual service that has waited for an interval or
	// longer, or NoVS. It moves permits; VS only orders the asks.
	Base float64
	// Step is what one more request adds to it.
	Step float64
	// Tolerance in virtual service; zero for the configured one.
	Tolerance float64
	// Solo is set while a request needs a target alone.
	Solo bool
	// SoloAvoid has a bit for each target that won't do for it.
	SoloAvoid uint64
	// Avoid has a bit for each target that can't be used.
	Avoid uint64
}

// NewHolder returns a holder of a group without permits.
func NewHolder(g *Group) *Holder {
	n := len(g.Members)
	return &Holder{
		Group: g, granted: make([]uint32, n), returned: make([]uint32, n),
		used: make([]int, n), refused: make([]uint32, n), floor: NoVS, ceiling: NoVS,
	}
}

// SetOwner starts a session with an owner, to which the permits held are
// reported. Sessions must rise over all groups of a router.
func (h *Holder) SetOwner(now time.Time, owner ids.Instance, session uint32) {
	if h.Owner == owner {
		return
	}
	h.Owner, h.session = owner, session
	for i := range h.granted {
		h.granted[i] -= h.returned[i]
		h.returned[i] = 0
	}
	h.heard = now
	h.floor, h.ceiling, h.recall, h.drop, h.solo = NoVS, NoVS, 0, 0, 0
}

// Adopt takes over permits and requests of a member from another group.
func (h *Holder) Adopt(i, held, used int) {
	h.granted[i] += uint32(max(0, held))
	h.used[i] += used
}

// Held returns the permits held for a member.
func (h *Holder) Held(i int) int { return int(h.granted[i] - h.returned[i]) }

// Used returns the requests at a member.
func (h *Holder) Used(i int) int { return h.used[i] }

// Free returns the permits of a member that are not in use.
func (h *Holder) Free(i int) int { return max(0, h.Held(i)-h.used[i]) }

// Totals returns the permits held and used over all members.
func (h *Holder) Totals() (held, used int) {
	for i := range h.granted {
		held += h.Held(i)
		used += h.used[i]
	}
	return held, used
}

// Use takes a permit of a member into use.
func (h *Holder) Use(now time.Time, i int) {
	h.used[i]++
	h.idle = now
}

// Done ends a use.
func (h *Holder) Done(now time.Time, i int) {
	h.used[i] = max(0, h.used[i]-1)
	h.idle = now
}

// Refused counts a request that a full member refused.
func (h *Holder) Refused(i int) { h.refused[i]++ }

// Return gives back up to n free permits of a member and tells how many.
func (h *Holder) Return(i, n int) int {
	n = max(0, min(n, h.Free(i)))
	h.returned[i] += uint32(n)
	h.recall = max(0, h.recall-n)
	return n
}

// Valid tells whether permits may be put to new use: the owner has been heard
// within the given time.
func (h *Holder) Valid(now time.Time, within time.Duration) bool {
	return now.Sub(h.heard) < within
}

// Take merges a lease. Old ones count for their grants only.
func (h *Holder) Take(now time.Time, l *schedv1.Lease, old bool) {
	if l.GetSession() != h.session || len(l.GetGranted()) != len(h.granted) {
		return
	}
	for i, g := range l.GetGranted() {
		h.granted[i] = max(h.granted[i], g)
	}
	h.heard = now
	if old {
		return
	}
	h.floor, h.floorAt = decodeVS(l.GetFloor()), now
	h.ceiling = decodeVS(l.GetCeiling())
	h.recall = int(l.GetRecall())
	h.drop = l.GetDrop()
	h.solo = int(l.GetSolo())
}

// Floor returns the least virtual service that waits for a permit at any
// router, or NoVS if none does or nothing was heard within the given time.
func (h *Holder) Floor(now time.Time, within time.Duration) float64 {
	if now.Sub(h.floorAt) >= within {
		return NoVS
	}
	return h.floor
}

// Ceiling returns the greatest among the routers' least virtual services, or
// NoVS.
func (h *Holder) Ceiling(now time.Time, within time.Duration) float64 {
	if now.Sub(h.floorAt) >= within {
		return NoVS
	}
	return h.ceiling
}

// Recall returns how many permits the owner wants back.
func (h *Holder) Recall() int { return h.recall }

// Dropped tells whether permits of a member go back as they fall free.
func (h *Holder) Dropped(i int) bool { return h.drop&(1<<i) != 0 }

// Alone returns the member that is this router's alone, or -1.
func (h *Holder) Alone() int { return h.solo - 1 }

// IdleSince returns when a permit was last put to or out of use.
func (h *Holder) IdleSince() time.Time { return h.idle }

// State returns the message to the owner.
func (h *Holder) State(n Need) *schedv1.Hold {
	_, used := h.Totals()
	m := &schedv1.Hold{
		Group: h.Group.ID, Session: h.session, Granted: clone(h.granted), Returned: clone(h.returned),
		Used: uint32(used), Want: uint32(n.Want), Urgent: uint32(n.Urgent),
		Vs: encodeVS(n.VS), Avoid: n.Avoid, Solo: n.Solo, SoloAvoid: n.SoloAvoid,
	}
	if n.VS != NoVS && n.Base != NoVS {
		m.Lag = encodeVS(math.Max(0, n.Base-n.VS))
	}
	if n.VS != NoVS {
		m.Tolerance = uint32(math.Round(n.Tolerance))
	}
	if n.Want > 0 {
		m.Step = uint64(math.Round(n.Step))
	}
	for _, r := range h.refused {
		if r > 0 {
			m.Refused = clone(h.refused)
			break
		}
	}
	return m
}

func clone(s []uint32) []uint32 { return append([]uint32(nil), s...) }

func encodeVS(vs float64) uint64 {
	if vs < 0 {
		return 0
	}
	return uint64(math.Round(vs)) + 1
}

func decodeVS(v uint64) float64 {
	if v == 0 {
		return NoVS
	}
	return float64(v - 1)
}
