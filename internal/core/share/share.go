// Package share computes whether workspaces are within their max-min fair share of a
// pool of engines. It is a deterministic state machine without I/O or a clock.
//
// It handles the load in which a few workspaces request many times their usual volume:
// what they request beyond an even share must not displace the requests of others.
package share

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// bucketSpan is the resolution of the sliding window.
	bucketSpan = 250 * time.Millisecond
	// peerUsageTTL is how long a peer's last report counts, so that the usage reported
	// by a router that became unreachable does not stay in the sum.
	peerUsageTTL = 2 * time.Second
	// growthFactor scales the tokens that were started when the fair level is computed,
	// so that the level can rise while engines have room for more.
	growthFactor = 1.05
)

// Usage is what a workspace requested and what was started for it within the window, in
// tokens: each prompt token counts once, each generated token twice.
type Usage struct {
	Requested, Started float64
}

// Window sums the usage of the fleet's workspaces over a sliding window. It is not safe
// for concurrent use.
type Window struct {
	span time.Duration
	// epoch is the origin of the bucket numbers. Counting from it uses the monotonic
	// clock; the wall clock may be set.
	epoch time.Time
	own   map[ids.Workspace]*series
	peers map[ids.Instance]peerUsage
	// peerSum is the sum of the peers' usage.
	peerSum map[ids.Workspace]Usage

	// levelsAt is when the levels of the ranks were computed, at most once per
	// bucketSpan.
	levelsAt                   time.Time
	guaranteedLevel, fairLevel float64
}

// peerUsage is the last report of a peer.
type peerUsage struct {
	at    time.Time
	usage map[ids.Workspace]Usage
}

// series is the usage of one workspace at this router. Its buckets are a ring buffer
// over the window.
type series struct {
	buckets    []Usage
	lastBucket int64
	sum        Usage
}

// New returns a window of the given length, at least 250 ms.
func New(span time.Duration) *Window {
	return &Window{
		span:    max(span, bucketSpan),
		own:     make(map[ids.Workspace]*series),
		peers:   make(map[ids.Instance]peerUsage),
		peerSum: make(map[ids.Workspace]Usage),
	}
}

// RecordRequested records that a workspace requested tokens at this router.
func (w *Window) RecordRequested(now time.Time, ws ids.Workspace, tokens float64) {
	w.series(now, ws).add(Usage{Requested: tokens})
}

// RecordStarted records that a workspace's request of the given tokens was sent to an
// engine.
func (w *Window) RecordStarted(now time.Time, ws ids.Workspace, tokens float64) {
	w.series(now, ws).add(Usage{Started: tokens})
}

// ReturnStarted undoes RecordStarted at an earlier time, for a request that no engine ran.
func (w *Window) ReturnStarted(now, startedAt time.Time, ws ids.Workspace, tokens float64) {
	s := w.series(now, ws)
	bucket := int64(startedAt.Sub(w.epoch) / bucketSpan)
	if s.lastBucket-bucket >= int64(len(s.buckets)) {
		return
	}
	b := &s.buckets[bucket%int64(len(s.buckets))]
	returned := min(tokens, b.Started)
	b.Started -= returned
	s.sum.Started = max(0, s.sum.Started-returned)
}

// LocalUsage returns the usage at this router, for the reports to peers.
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

// SetPeerUsage replaces the usage reported by a peer. The window keeps the map, which
// the caller must not change afterwards.
func (w *Window) SetPeerUsage(now time.Time, peer ids.Instance, usage map[ids.Workspace]Usage) {
	w.removePeer(peer)
	w.peers[peer] = peerUsage{at: now, usage: usage}
	for ws, u := range usage {
		w.addToPeerSum(ws, u, 1)
	}
}

func (w *Window) removePeer(peer ids.Instance) {
	for ws, u := range w.peers[peer].usage {
		w.addToPeerSum(ws, u, -1)
	}
	delete(w.peers, peer)
}

func (w *Window) addToPeerSum(ws ids.Workspace, u Usage, sign float64) {
	sum := w.peerSum[ws]
	sum.Requested += sign * u.Requested
	sum.Started += sign * u.Started
	if sum.Requested <= 0 && sum.Started <= 0 {
		delete(w.peerSum, ws)
		return
	}
	w.peerSum[ws] = sum
}

// Rank is a workspace's position relative to its fair share. Lower ranks go first.
type Rank int

// The ranks.
const (
	// Guaranteed means within the max-min share of the configured capacity.
	Guaranteed Rank = iota
	// Fair means within the max-min share of what the engines actually start, which may
	// be more than the configured capacity.
	Fair
	// Excess means beyond the fair share; only idle capacity may be used.
	Excess
)

// Rank returns the rank that a workspace would have with half of the given tokens more
// started. Capacity is the configured one in tokens per second; if it is 0, which means
// that it is not configured, all workspaces are guaranteed.
func (w *Window) Rank(now time.Time, ws ids.Workspace, tokens, capacity float64) Rank {
	if capacity <= 0 {
		return Guaranteed
	}
	w.updateLevels(now, capacity)
	startedAfter := w.fleetUsage(now, ws).Started + tokens/2
	switch {
	case startedAfter <= w.guaranteedLevel:
		return Guaranteed
	case startedAfter <= w.fairLevel:
		return Fair
	}
	return Excess
}

func (w *Window) fleetUsage(now time.Time, ws ids.Workspace) Usage {
	var sum Usage
	if _, ok := w.own[ws]; ok {
		sum = w.series(now, ws).sum
	}
	peerSum := w.peerSum[ws]
	sum.Requested += peerSum.Requested
	sum.Started += peerSum.Started
	return sum
}

// Standing is what a workspace's rank is based on. Usage and levels are in tokens within
// the window.
type Standing struct {
	// Own is the usage at this router, Peers the usage reported by the others.
	Own, Peers Usage
	// GuaranteedLevel and FairLevel are the largest usage of the two better ranks.
	GuaranteedLevel, FairLevel float64
	// ReportAge is the time since the oldest report in Peers was received, LevelsAge the
	// time since the levels were computed.
	ReportAge, LevelsAge time.Duration
}

// Standing returns the values on which Rank based its last result for a workspace.
func (w *Window) Standing(now time.Time, ws ids.Workspace) Standing {
	st := Standing{Peers: w.peerSum[ws], GuaranteedLevel: w.guaranteedLevel, FairLevel: w.fairLevel}
	if _, ok := w.own[ws]; ok {
		st.Own = w.series(now, ws).sum
	}
	for _, p := range w.peers {
		st.ReportAge = max(st.ReportAge, now.Sub(p.at))
	}
	if !w.levelsAt.IsZero() {
		st.LevelsAge = now.Sub(w.levelsAt)
	}
	return st
}

// TimeUntilFair returns the approximate time after which a workspace beyond its share
// is within it again, as older usage leaves the window.
func (w *Window) TimeUntilFair(now time.Time, ws ids.Workspace) time.Duration {
	started := w.fleetUsage(now, ws).Started
	if started <= w.fairLevel {
		return 0
	}
	return time.Duration((1 - w.fairLevel/started) * float64(w.span))
}

// updateLevels computes the levels, the largest L for which sum(min(requested, L)) does
// not exceed a capacity: the configured one for guaranteed, and what was actually
// started for fair.
func (w *Window) updateLevels(now time.Time, capacity float64) {
	if !w.levelsAt.IsZero() && now.Sub(w.levelsAt) < bucketSpan {
		return
	}
	for peer, p := range w.peers {
		if now.Sub(p.at) > peerUsageTTL {
			w.removePeer(peer)
		}
	}
	workspaces := make(map[ids.Workspace]bool)
	for ws := range w.own {
		workspaces[ws] = true
	}
	for ws := range w.peerSum {
		workspaces[ws] = true
	}
	requested := make([]float64, 0, len(workspaces))
	started := 0.0
	for ws := range workspaces {
		usage := w.fleetUsage(now, ws)
		requested = append(requested, max(usage.Requested, usage.Started))
		started += usage.Started
	}
	configured := capacity * w.span.Seconds()
	w.guaranteedLevel = MaxMinLevel(requested, configured)
	w.fairLevel = max(w.guaranteedLevel, MaxMinLevel(requested, growthFactor*started))
	w.levelsAt = now
}

// MaxMinLevel returns the max-min fair level: the largest L such that the sum of
// min(demand, L) does not exceed capacity. If capacity covers all demand, it returns
// the capacity itself.
func MaxMinLevel(demands []float64, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.Sort(sorted)
	remaining := capacity
	for i, d := range sorted {
		evenShare := remaining / float64(len(sorted)-i)
		if d >= evenShare {
			return evenShare
		}
		remaining -= d
	}
	return capacity
}

func (w *Window) series(now time.Time, ws ids.Workspace) *series {
	if w.epoch.IsZero() {
		w.epoch = now
	}
	bucket := int64(now.Sub(w.epoch) / bucketSpan)
	s := w.own[ws]
	if s == nil {
		s = &series{buckets: make([]Usage, int(w.span/bucketSpan)), lastBucket: bucket}
		w.own[ws] = s
	}
	s.advance(bucket)
	return s
}

// advance removes the usage in buckets that have left the window.
func (s *series) advance(to int64) {
	bucketCount := int64(len(s.buckets))
	if to-s.lastBucket >= bucketCount {
		clear(s.buckets)
		s.sum = Usage{}
		s.lastBucket = to
		return
	}
	for s.lastBucket < to {
		s.lastBucket++
		b := &s.buckets[s.lastBucket%bucketCount] // the expired bucket is reused
		s.sum.Requested = max(0, s.sum.Requested-b.Requested)
		s.sum.Started = max(0, s.sum.Started-b.Started)
		*b = Usage{}
	}
}

func (s *series) add(u Usage) {
	b := &s.buckets[s.lastBucket%int64(len(s.buckets))]
	b.Requested += u.Requested
	b.Started += u.Started
	s.sum.Requested += u.Requested
	s.sum.Started += u.Started
}
