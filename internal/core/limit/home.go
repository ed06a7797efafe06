package limit

import (
	"math"
	"sort"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// evenSplitShare is the fraction of a rate limit that is split evenly over the live
// routers, so that the first requests at a router without demand need not wait for
// a response.
const evenSplitShare = 0.1

// Home sums the usage of the workspaces whose home is this router.
type Home struct {
	// workspaces are keyed by a hash of the workspace's name.
	workspaces map[uint64]map[ids.Instance]*routerUsage
}

// routerUsage is the last usage that a router reported.
type routerUsage struct {
	Usage
	reportedAt time.Time
}

// NewHome returns a home without usage. The sums are rebuilt from the next
// reports, because each contains the usage of its router's whole window.
func NewHome() *Home { return &Home{workspaces: map[uint64]map[ids.Instance]*routerUsage{}} }

// SetUsage replaces a router's usage of a workspace's limits by a new report.
func (h *Home) SetUsage(now time.Time, from ids.Instance, key uint64, u Usage) {
	w := h.workspaces[key]
	if w == nil {
		w = map[ids.Instance]*routerUsage{}
		h.workspaces[key] = w
	}
	w[from] = &routerUsage{Usage: u, reportedAt: now}
}

// QuotaFor returns the quota of a router for a workspace with the given limits, of
// the given number of live routers.
func (h *Home) QuotaFor(now time.Time, to ids.Instance, key uint64, l api.Limits, routers int) Quota {
	w := h.workspaces[key]
	h.expire(now, w, l)
	q := Quota{}
	for _, r := range sortedRouters(w) {
		if u := w[r]; r != to {
			q.OthersUnits += u.Units
			q.OthersHeld += u.Held
		}
	}
	q.Rate = rateShare(w, to, l.RequestsPerSecond, routers)
	q.Concurrency = concurrencyShare(w, to, l.Concurrency)
	return q
}

// expire drops the demand of routers without a report for staleAfter, and the
// units that they spent once the window has passed.
func (h *Home) expire(now time.Time, w map[ids.Instance]*routerUsage, l api.Limits) {
	keep := staleAfter
	if l.Allowance != nil {
		keep = max(keep, time.Duration(l.Allowance.WindowSeconds)*time.Second)
	}
	for r, u := range w {
		if now.Sub(u.reportedAt) >= staleAfter {
			u.Held, u.Offered = 0, 0
		}
		if now.Sub(u.reportedAt) >= keep {
			delete(w, r)
		}
	}
}

// rateShare returns a router's share of a rate limit in requests per second. The
// limit is split in proportion to the requests offered to each router; a small
// part of it is split evenly over the live routers.
func rateShare(w map[ids.Instance]*routerUsage, to ids.Instance, limit float64, routers int) float64 {
	if limit <= 0 {
		return 0
	}
	minShare := limit / float64(max(1, routers)) * evenSplitShare
	total := 0.0
	for _, r := range sortedRouters(w) {
		total += w[r].Offered
	}
	own := w[to]
	if own == nil || total <= 0 {
		return limit / float64(max(1, routers))
	}
	return minShare + limit*(1-evenSplitShare)*own.Offered/total
}

// concurrencyShare returns a router's share of a concurrency limit: what the other
// routers leave of it or, if all routers together hold more requests than the
// limit, a part in proportion to the requests held. The remainder from rounding
// down is distributed in the order of the routers' names.
func concurrencyShare(w map[ids.Instance]*routerUsage, to ids.Instance, limit int) int {
	if limit <= 0 {
		return 0
	}
	total := 0
	for _, u := range w {
		total += u.Held
	}
	if total <= limit {
		return limit - (total - heldBy(w[to]))
	}
	order := sortedRouters(w)
	share, remaining := map[ids.Instance]int{}, limit
	for _, r := range order {
		share[r] = int(math.Floor(float64(limit) * float64(w[r].Held) / float64(total)))
		remaining -= share[r]
	}
	for _, r := range order {
		if remaining > 0 && share[r] < w[r].Held {
			share[r]++
			remaining--
		}
	}
	return share[to]
}

func heldBy(u *routerUsage) int {
	if u == nil {
		return 0
	}
	return u.Held
}

// sortedRouters returns the routers in the order of their names, so that sums of
// fractions do not depend on the order of the map.
func sortedRouters(w map[ids.Instance]*routerUsage) []ids.Instance {
	out := make([]ids.Instance, 0, len(w))
	for r := range w {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
