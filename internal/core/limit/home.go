package limit

import (
	"math"
	"sort"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// minDemandShare of an even share is what a router without demand is given, so
// that its first requests need not wait for an answer.
const minDemandShare = 0.1

// Home sums the use of the workspaces whose home this router is.
type Home struct {
	workspaces map[uint64]map[ids.Instance]*used
}

type used struct {
	Usage
	heard time.Time
}

// NewHome returns a home that knows nothing; it is rebuilt from the next
// reports, as each carries its router's whole window.
func NewHome() *Home { return &Home{workspaces: map[uint64]map[ids.Instance]*used{}} }

// Merge takes in one router's use of a workspace, replacing the last.
func (h *Home) Merge(now time.Time, from ids.Instance, key uint64, u Usage) {
	w := h.workspaces[key]
	if w == nil {
		w = map[ids.Instance]*used{}
		h.workspaces[key] = w
	}
	w[from] = &used{Usage: u, heard: now}
}

// Answer returns the quota of a router for a workspace.
func (h *Home) Answer(now time.Time, to ids.Instance, key uint64, l api.Limits, routers int) Quota {
	w := h.workspaces[key]
	h.expire(now, w, l)
	q := Quota{}
	for _, r := range names(w) {
		if u := w[r]; r != to {
			q.OthersUnits += u.Units
			q.OthersHeld += u.Held
		}
	}
	q.Rate = rateShare(w, to, l.RequestsPerSecond, routers)
	q.Concurrency = concurrencyShare(w, to, l.Concurrency)
	return q
}

// expire drops the demand of silent routers, and what they spent once the
// window has passed.
func (h *Home) expire(now time.Time, w map[ids.Instance]*used, l api.Limits) {
	keep := staleAfter
	if l.Allowance != nil {
		keep = max(keep, time.Duration(l.Allowance.WindowSeconds)*time.Second)
	}
	for r, u := range w {
		if now.Sub(u.heard) >= staleAfter {
			u.Held, u.Offered = 0, 0
		}
		if now.Sub(u.heard) >= keep {
			delete(w, r)
		}
	}
}

// rateShare splits a rate in proportion to what each router was offered, each
// live one being given a little.
func rateShare(w map[ids.Instance]*used, to ids.Instance, limit float64, routers int) float64 {
	if limit <= 0 {
		return 0
	}
	least := limit / float64(max(1, routers)) * minDemandShare
	total := 0.0
	for _, r := range names(w) {
		total += w[r].Offered
	}
	mine := w[to]
	if mine == nil || total <= 0 {
		return limit / float64(max(1, routers))
	}
	return least + limit*(1-minDemandShare)*mine.Offered/total
}

// concurrencyShare splits a concurrency limit in proportion to the requests
// held, by largest remainders.
func concurrencyShare(w map[ids.Instance]*used, to ids.Instance, limit int) int {
	if limit <= 0 {
		return 0
	}
	total := 0
	for _, u := range w {
		total += u.Held
	}
	if total <= limit {
		return limit - (total - held(w[to]))
	}
	order := names(w)
	share, left := map[ids.Instance]int{}, limit
	for _, r := range order {
		share[r] = int(math.Floor(float64(limit) * float64(w[r].Held) / float64(total)))
		left -= share[r]
	}
	for _, r := range order {
		if left > 0 && share[r] < w[r].Held {
			share[r]++
			left--
		}
	}
	return share[to]
}

func held(u *used) int {
	if u == nil {
		return 0
	}
	return u.Held
}

// names returns the routers in order, so that sums of fractions are the same
// each time.
func names(w map[ids.Instance]*used) []ids.Instance {
	out := make([]ids.Instance, 0, len(w))
	for r := range w {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}
