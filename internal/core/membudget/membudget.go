// Package membudget decides who may hold memory for transfers with callers and targets, and
// whose transfer ends to make room for another's. It does no I/O and reads no clock.
//
// Invariants: the holders together never hold more than Limits.Total, and one holder never more
// than Limits.PerHolder. Only a holder whose transfer is stalled yields, and none yields unless
// that makes room for the reservation.
package membudget

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// ID identifies a holder.
type ID uint64

// Limits bound what is held. A limit of zero means no limit.
type Limits struct {
	// Total bounds the sum of all holders, PerHolder that of one.
	Total, PerHolder int64
	// PerTarget is the sum held for one target above which stalled transfers with this target
	// yield although the total has room.
	PerTarget int64
	// Stall is the time without progress after which a transfer is stalled.
	Stall time.Duration
}

// Verdict is the answer to a reservation.
type Verdict struct {
	Granted bool
	// Yield lists the holders whose transfers must be ended now.
	Yield []ID
	// Waits is set if the reservation fits once the holders that yield have released what
	// they hold.
	Waits bool
	// RetryAt is when enough transfers are stalled for the reservation to fit, unless they make
	// progress until then. It is zero if that is not foreseeable.
	RetryAt time.Time
}

type holder struct {
	bytes  int64
	target ids.Target
	// transferring is set while the holder's memory waits for a peer to send or to read, and
	// progressAt is when it last did.
	transferring bool
	progressAt   time.Time
	yielding     bool
}

// Budget is the memory of one kind. It is not safe for concurrent use.
type Budget struct {
	limits  Limits
	holders map[ID]*holder
	// held is the sum of all holders, and yielding the part of it that is about to be released.
	held, yielding int64
	byTarget       map[ids.Target]int64
}

// New returns an empty budget.
func New(l Limits) *Budget {
	return &Budget{limits: l, holders: make(map[ID]*holder), byTarget: make(map[ids.Target]int64)}
}

// Held returns the sum of all holders.
func (b *Budget) Held() int64 { return b.held }

// Holders returns the number of holders.
func (b *Budget) Holders() int { return len(b.holders) }

// LargestTarget returns the target for which most is held, and how much.
func (b *Budget) LargestTarget() (largest ids.Target, bytes int64) {
	for target, n := range b.byTarget {
		if n > bytes || n == bytes && target < largest {
			largest, bytes = target, n
		}
	}
	return largest, bytes
}

// Reserve decides on n more bytes for a holder.
func (b *Budget) Reserve(now time.Time, id ID, n int64) Verdict {
	h := b.holders[id]
	if h == nil {
		h = &holder{progressAt: now}
	}
	if h.yielding || b.limits.PerHolder > 0 && h.bytes+n > b.limits.PerHolder {
		return Verdict{}
	}
	var v Verdict
	if over := b.byTarget[h.target] + n - b.limits.PerTarget; b.limits.PerTarget > 0 && h.target != "" && over > 0 {
		v.Yield, _ = b.chooseStalled(now, over, func(other ID, o *holder) bool { return other != id && o.target == h.target })
		b.markYielding(v.Yield)
	}
	over := b.held + n - b.limits.Total
	if b.limits.Total <= 0 || over <= 0 {
		v.Granted = true
		b.holders[id] = h
		b.add(h, n)
		return v
	}
	over -= b.yielding
	if over > 0 {
		chosen, freed := b.chooseStalled(now, over, func(other ID, _ *holder) bool { return other != id })
		if freed < over {
			v.RetryAt = b.foreseeStall(id, over)
			return v
		}
		b.markYielding(chosen)
		v.Yield = append(v.Yield, chosen...)
	}
	v.Waits = true
	return v
}

// chooseStalled returns stalled holders that together hold n bytes, or all that there are. The
// order is by the product of what they hold and how long they have made no progress, so that
// neither a small old holder nor a large recent one comes before one that is both.
func (b *Budget) chooseStalled(now time.Time, n int64, isCandidate func(ID, *holder) bool) (chosen []ID, freed int64) {
	type candidate struct {
		id     ID
		weight float64
	}
	var all []candidate
	for id, h := range b.holders {
		stalled := now.Sub(h.progressAt)
		if h.transferring && !h.yielding && h.bytes > 0 && stalled >= b.limits.Stall && isCandidate(id, h) {
			all = append(all, candidate{id, float64(h.bytes) * stalled.Seconds()})
		}
	}
	slices.SortFunc(all, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.id, y.id))
	})
	for _, c := range all {
		if freed >= n {
			break
		}
		chosen = append(chosen, c.id)
		freed += b.holders[c.id].bytes
	}
	return chosen, freed
}

// foreseeStall returns when transfers of other holders with together n bytes are stalled if
// they make no progress, or the zero time if there are not enough.
func (b *Budget) foreseeStall(id ID, n int64) time.Time {
	var all []*holder
	for other, h := range b.holders {
		if other != id && h.transferring && !h.yielding {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, func(x, y *holder) int { return x.progressAt.Compare(y.progressAt) })
	for _, h := range all {
		if n -= h.bytes; n <= 0 {
			return h.progressAt.Add(b.limits.Stall)
		}
	}
	return time.Time{}
}

func (b *Budget) markYielding(chosen []ID) {
	for _, id := range chosen {
		h := b.holders[id]
		h.yielding = true
		b.yielding += h.bytes
	}
}

func (b *Budget) add(h *holder, n int64) {
	h.bytes += n
	b.held += n
	if h.yielding {
		b.yielding += n
	}
	if h.target == "" {
		return
	}
	if b.byTarget[h.target] += n; b.byTarget[h.target] == 0 {
		delete(b.byTarget, h.target)
	}
}

// Release returns n bytes of a holder, and forgets a holder that has none left.
func (b *Budget) Release(id ID, n int64) {
	h := b.holders[id]
	if h == nil {
		return
	}
	b.add(h, -min(n, h.bytes))
	if h.bytes == 0 {
		delete(b.holders, id)
	}
}

// SetTarget records for which target a holder holds its memory, empty for none.
func (b *Budget) SetTarget(id ID, target ids.Target) {
	h := b.holders[id]
	if h == nil {
		return
	}
	n := h.bytes
	b.add(h, -n)
	h.target = target
	b.add(h, n)
}

// SetTransfer records whether a holder's memory waits for a peer, and when the transfer last
// made progress.
func (b *Budget) SetTransfer(id ID, transferring bool, progressAt time.Time) {
	if h := b.holders[id]; h != nil {
		h.transferring, h.progressAt = transferring, progressAt
	}
}
