// Package share tells which workspaces have had their max-min fair share of a
// pool of engines. It is a deterministic state machine without I/O or clock.
//
// It answers the load where a few workspaces ask for many times their usual:
// what they ask beyond an even share must not displace what the others ask.
package share

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Untuned first values.
const (
	// bucketSpan is the resolution of the sliding window.
	bucketSpan = 250 * time.Millisecond
	// peerLife is how long a peer's last report counts, so that a router that
	// is cut off does not keep its workspaces' use in the sum for good.
	peerLife = 2 * time.Second
	// growth lets the level of what is really started rise where engines have
	// room for more.
	growth = 1.05
)

// Usage is what a workspace asked for and was given within the window, in tokens:
// each token read counts once, each token generated twice.
type Usage struct {
	Requested, Started float64
}

// Window sums the use of the fleet's workspaces over a sliding window.
type Window struct {
	span time.Duration
	// epoch makes the buckets' numbers follow the steady clock: the wall clock may
	// be set.
	epoch time.Time
	own   map[ids.Workspace]*series
	peers map[ids.Instance]peerUse
	// peerSum is the sum of the peers' use.
	peerSum map[ids.Workspace]Usage

	// The levels of the ranks are computed at most once a bucket.
	levelAt          time.Time
	guaranteed, fair float64
}

type peerUse struct {
	at  time.Time
	use map[ids.Workspace]Usage
}

type series struct {
	buckets []Usage
	last    int64
	sum     Usage
}

// New returns a window of the given length.
func New(span time.Duration) *Window {
	return &Window{
		span:    max(span, bucketSpan),
		own:     make(map[ids.Workspace]*series),
		peers:   make(map[ids.Instance]peerUse),
		peerSum: make(map[ids.Workspace]Usage),
	}
}

// RecordRequested records that a workspace asked for tokens at this router.
func (w *Window) RecordRequested(now time.Time, ws ids.Workspace, tokens float64) {
	w.series(now, ws).add(Usage{Requested: tokens})
}

// RecordStarted records that a workspace's request was sent to an engine.
func (w *Window) RecordStarted(now time.Time, ws ids.Workspace, tokens float64) {
	w.series(now, ws).add(Usage{Started: tokens})
}

// LocalUsage returns this router's use for the reports to peers.
func (w *Window) LocalUsage(now time.Time) map[ids.Workspace]Usage {
	out := make(map[ids.Workspace]Usage, len(w.own))
	for ws := range w.own {
		s := w.series(now, ws)
		if s.sum.Requested <= 0 && s.sum.Started <= 0 {
			delete(w.own, ws)
			continue
		}
		out[ws] = s.sum
	}
	return out
}

// SetPeerUsage takes a peer's use.
func (w *Window) SetPeerUsage(now time.Time, peer ids.Instance, use map[ids.Workspace]Usage) {
	w.removePeer(peer)
	w.peers[peer] = peerUse{at: now, use: use}
	for ws, u := range use {
		w.addToSum(ws, u, 1)
	}
}

func (w *Window) removePeer(peer ids.Instance) {
	for ws, u := range w.peers[peer].use {
		w.addToSum(ws, u, -1)
	}
	delete(w.peers, peer)
}

func (w *Window) addToSum(ws ids.Workspace, u Usage, sign float64) {
	sum := w.peerSum[ws]
	sum.Requested += sign * u.Requested
	sum.Started += sign * u.Started
	if sum.Requested <= 0 && sum.Started <= 0 {
		delete(w.peerSum, ws)
		return
	}
	w.peerSum[ws] = sum
}

// Rank says how a workspace stands to its fair share. Lower ranks go first.
type Rank int

// The ranks.
const (
	// Guaranteed: within its max-min share of the stated capacity.
	Guaranteed Rank = iota
	// Fair: within its max-min share of what the engines really start, which may
	// be more than stated.
	Fair
	// Excess: it has had its share; only idle capacity is left to it.
	Excess
)

// Rank tells how a workspace would stand with tokens more started. Capacity is
// the stated one in tokens a second; where it is not known all are guaranteed.
func (w *Window) Rank(now time.Time, ws ids.Workspace, tokens, capacity float64) Rank {
	if capacity <= 0 {
		return Guaranteed
	}
	w.refresh(now, capacity)
	after := w.fleetUse(now, ws).Started + tokens/2
	switch {
	case after <= w.guaranteed:
		return Guaranteed
	case after <= w.fair:
		return Fair
	}
	return Excess
}

func (w *Window) fleetUse(now time.Time, ws ids.Workspace) Usage {
	var sum Usage
	if _, ok := w.own[ws]; ok {
		sum = w.series(now, ws).sum
	}
	peerSum := w.peerSum[ws]
	sum.Requested += peerSum.Requested
	sum.Started += peerSum.Started
	return sum
}

// TimeUntilFair is the time after which a workspace beyond its share is about within it
// again, as what was started leaves the window.
func (w *Window) TimeUntilFair(now time.Time, ws ids.Workspace) time.Duration {
	started := w.fleetUse(now, ws).Started
	if started <= w.fair {
		return 0
	}
	return time.Duration((1 - w.fair/started) * float64(w.span))
}

// refresh computes the levels: the largest share L with sum(min(asked, L)) not
// above the capacity, that stated and that which was really started.
func (w *Window) refresh(now time.Time, capacity float64) {
	if !w.levelAt.IsZero() && now.Sub(w.levelAt) < bucketSpan {
		return
	}
	for peer, p := range w.peers {
		if now.Sub(p.at) > peerLife {
			w.removePeer(peer)
		}
	}
	names := make(map[ids.Workspace]bool)
	for ws := range w.own {
		names[ws] = true
	}
	for ws := range w.peerSum {
		names[ws] = true
	}
	asked := make([]float64, 0, len(names))
	started := 0.0
	for ws := range names {
		use := w.fleetUse(now, ws)
		asked = append(asked, max(use.Requested, use.Started))
		started += use.Started
	}
	stated := capacity * w.span.Seconds()
	w.guaranteed = MaxMinLevel(asked, stated)
	w.fair = max(w.guaranteed, MaxMinLevel(asked, growth*started))
	w.levelAt = now
}

// MaxMinLevel returns the max-min fair level: the largest L such that the sum of
// min(demand, L) does not exceed capacity; where capacity covers all demand it
// is the capacity itself.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	left := capacity
	for i, d := range sorted {
		even := left / float64(len(sorted)-i)
		if d >= even {
			return even
		}
		left -= d
	}
	return capacity
}

func (w *Window) series(now time.Time, ws ids.Workspace) *series {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	tick := int64(now.Sub(w.epoch) / bucketSpan)
	s := w.own[ws]
	if s == nil {
		s = &series{buckets: make([]Usage, int(w.span/bucketSpan)), last: tick}
		w.own[ws] = s
	}
	s.advance(tick)
	return s
}

// advance drops the buckets that have left the window.
func (s *series) advance(to int64) {
	n := int64(len(s.buckets))
	if to-s.last >= n {
		clear(s.buckets)
		s.sum = Usage{}
		s.last = to
		return
	}
	for s.last < to {
		s.last++
		b := &s.buckets[s.last%n] // the bucket that leaves is the one that comes
		s.sum.Requested = max(0, s.sum.Requested-b.Requested)
		s.sum.Started = max(0, s.sum.Started-b.Started)
		*b = Usage{}
	}
}

func (s *series) add(u Usage) {
	b := &s.buckets[s.last%int64(len(s.buckets))]
	b.Requested += u.Requested
	b.Started += u.Started
	s.sum.Requested += u.Requested
	s.sum.Started += u.Started
}
