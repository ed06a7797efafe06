// Package share computes whether workspaces are within their max-min fair share of a
// pool of engines. It is a deterministic state machine without I/O or a clock.
//
// It handles the load in which a few workspaces request many times their usual volume:
// what they request beyond an even share must not displace the requests of others.
package share

import (
	"math"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// levelsInterval is the minimum time between two computations of the levels.
	levelsInterval = 250 * time.Millisecond
	// peerUsageTTL is how long a peer's last report counts, so that the usage reported
	// by a router that became unreachable does not stay in the sum.
	peerUsageTTL = 2 * time.Second
	// growthFactor scales the tokens that were started when the fair level is computed,
	// so that the level can rise while engines have room for more.
	growthFactor = 1.05
	// saturationFactor times the tokens that were started is taken for the capacity if more
	// is configured, and more than that is requested: the configured capacity is not reached
	// while engines are down, and may be wrong.
	saturationFactor = 1.25
	// saturationDelay is how long that must last. The first requests of a load are requested
	// before any is started.
	saturationDelay = 500 * time.Millisecond
	// minSaturatedShare is the fraction of the configured capacity that must be requested for
	// engines to count as saturated.
	minSaturatedShare = 0.05
	// windowPerDecayTime is the length of the sliding window in which usage has the same
	// mean age, as a multiple of the decay time.
	windowPerDecayTime = 2
)

// Usage is what a workspace requested and what was started for it recently, in tokens:
// each prompt token counts once, each generated token twice.
type Usage struct {
	Requested, Started float64
}

func (u Usage) times(factor float64) Usage {
	return Usage{Requested: factor * u.Requested, Started: factor * u.Started}
}

// Window sums the recent usage of the fleet's workspaces. Usage decays exponentially: if
// it left a sliding window all at once, a workspace could use its share of the whole
// window again at that moment, so that bursts would repeat with the window's length.
// Window is not safe for concurrent use.
type Window struct {
	// decayTime is the time in which usage decays to 1/e.
	decayTime time.Duration
	own       map[ids.Workspace]*decayingUsage
	peers     map[ids.Instance]peerUsage
	// peerSum is the sum of the peers' usage.
	peerSum map[ids.Workspace]Usage

	// levelsAt is when the levels of the ranks were computed.
	levelsAt                   time.Time
	guaranteedLevel, fairLevel float64
	// saturatedSince is since when more is requested than the engines start, zero if not.
	saturatedSince time.Time
	// peakRequested is the most that was requested since then. Once half of it is requested,
	// the overload is over.
	peakRequested float64
}

// peerUsage is the last report of a peer.
type peerUsage struct {
	at    time.Time
	usage map[ids.Workspace]Usage
}

// decayingUsage is the usage of one workspace at this router as of a time.
type decayingUsage struct {
	Usage
	at time.Time
}

// New returns a window in which usage has the same mean age as in a sliding window of
// the given length, at least 500 ms.
func New(length time.Duration) *Window {
	return &Window{
		decayTime: max(length/windowPerDecayTime, levelsInterval),
		own:       make(map[ids.Workspace]*decayingUsage),
		peers:     make(map[ids.Instance]peerUsage),
		peerSum:   make(map[ids.Workspace]Usage),
	}
}

// RecordRequested records that a workspace requested tokens at this router.
func (w *Window) RecordRequested(now time.Time, ws ids.Workspace, tokens float64) {
	w.ownUsage(now, ws).Requested += tokens
}

// RecordStarted records that a workspace's request of the given tokens was sent to an
// engine.
func (w *Window) RecordStarted(now time.Time, ws ids.Workspace, tokens float64) {
	w.ownUsage(now, ws).Started += tokens
}

// ReturnStarted undoes RecordStarted at an earlier time, for a request that no engine ran.
func (w *Window) ReturnStarted(now, startedAt time.Time, ws ids.Workspace, tokens float64) {
	u := w.ownUsage(now, ws)
	u.Started = max(0, u.Started-tokens*w.decay(now.Sub(startedAt)))
}

// LocalUsage returns the usage at this router for the reports to peers, in tokens within
// the window.
func (w *Window) LocalUsage(now time.Time) map[ids.Workspace]Usage {
	out := make(map[ids.Workspace]Usage, len(w.own))
	for ws := range w.own {
		u := w.ownUsage(now, ws)
		if u.Requested < 1 && u.Started < 1 {
			delete(w.own, ws)
			continue
		}
		out[ws] = u.times(windowPerDecayTime)
	}
	return out
}

// SetPeerUsage replaces the usage reported by a peer, in tokens within the window. The
// window keeps the map, which the caller must not change afterwards.
func (w *Window) SetPeerUsage(now time.Time, peer ids.Instance, usage map[ids.Workspace]Usage) {
	w.removePeer(peer)
	w.peers[peer] = peerUsage{at: now, usage: usage}
	for ws, u := range usage {
		w.addToPeerSum(ws, u.times(1./windowPerDecayTime))
	}
}

func (w *Window) removePeer(peer ids.Instance) {
	for ws, u := range w.peers[peer].usage {
		w.addToPeerSum(ws, u.times(-1./windowPerDecayTime))
	}
	delete(w.peers, peer)
}

func (w *Window) addToPeerSum(ws ids.Workspace, u Usage) {
	sum := w.peerSum[ws]
	sum.Requested += u.Requested
	sum.Started += u.Started
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
	// Guaranteed means within the max-min share of the configured capacity, or of about what
	// saturated engines start if that is less.
	Guaranteed Rank = iota
	// Behind means within half of the max-min share of what the engines actually start,
	// which may be more than the configured capacity.
	Behind
	// Fair means within all of that share.
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
	case startedAfter <= w.fairLevel/2:
		return Behind
	case startedAfter <= w.fairLevel:
		return Fair
	}
	return Excess
}

func (w *Window) fleetUsage(now time.Time, ws ids.Workspace) Usage {
	var sum Usage
	if _, ok := w.own[ws]; ok {
		sum = w.ownUsage(now, ws).Usage
	}
	peerSum := w.peerSum[ws]
	sum.Requested += peerSum.Requested
	sum.Started += peerSum.Started
	return sum
}

// Standing is what a workspace's rank is based on. Usage and levels are in tokens.
type Standing struct {
	// Own is the usage at this router, Peers the usage reported by the others.
	Own, Peers Usage
	// GuaranteedLevel and FairLevel are the largest usage of the ranks guaranteed and fair.
	GuaranteedLevel, FairLevel float64
	// ReportAge is the time since the oldest report in Peers was received, LevelsAge the
	// time since the levels were computed.
	ReportAge, LevelsAge time.Duration
}

// Standing returns the values on which Rank based its last result for a workspace.
func (w *Window) Standing(now time.Time, ws ids.Workspace) Standing {
	st := Standing{Peers: w.peerSum[ws], GuaranteedLevel: w.guaranteedLevel, FairLevel: w.fairLevel}
	if _, ok := w.own[ws]; ok {
		st.Own = w.ownUsage(now, ws).Usage
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
// is within it again, if it starts nothing until then.
func (w *Window) TimeUntilFair(now time.Time, ws ids.Workspace) time.Duration {
	started := w.fleetUsage(now, ws).Started
	switch {
	case started <= w.fairLevel:
		return 0
	case w.fairLevel <= 0:
		return w.decayTime
	}
	return time.Duration(math.Log(started/w.fairLevel) * float64(w.decayTime))
}

// updateLevels computes the levels, the largest L for which sum(min(requested, L)) does
// not exceed a capacity: the configured one for guaranteed, unless saturated engines start
// less, and what was actually started for fair.
func (w *Window) updateLevels(now time.Time, capacity float64) {
	if !w.levelsAt.IsZero() && now.Sub(w.levelsAt) < levelsInterval {
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
	guaranteed := capacity * w.decayTime.Seconds()
	if w.isSaturated(now, sum(requested), started, guaranteed) {
		guaranteed = min(guaranteed, saturationFactor*started)
	}
	w.guaranteedLevel = MaxMinLevel(requested, guaranteed)
	w.fairLevel = max(w.guaranteedLevel, MaxMinLevel(requested, growthFactor*started))
	w.levelsAt = now
}

// isSaturated reports whether more has been requested than the engines start for long enough
// that what they start is what they can.
func (w *Window) isSaturated(now time.Time, requested, started, configured float64) bool {
	isRequested := requested > saturationFactor*started && requested >= minSaturatedShare*configured
	if !isRequested || requested < w.peakRequested/2 {
		w.saturatedSince, w.peakRequested = time.Time{}, 0
		return false
	}
	if w.saturatedSince.IsZero() {
		w.saturatedSince = now
	}
	w.peakRequested = max(w.peakRequested, requested)
	return now.Sub(w.saturatedSince) >= saturationDelay
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
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

// ownUsage returns the usage of a workspace at this router, decayed to now.
func (w *Window) ownUsage(now time.Time, ws ids.Workspace) *decayingUsage {
	u := w.own[ws]
	if u == nil {
		u = &decayingUsage{at: now}
		w.own[ws] = u
	}
	if since := now.Sub(u.at); since > 0 {
		left := w.decay(since)
		u.Requested *= left
		u.Started *= left
		u.at = now
	}
	return u
}

// decay returns the fraction of usage that is left after a time.
func (w *Window) decay(after time.Duration) float64 {
	return math.Exp(-float64(after) / float64(w.decayTime))
}
