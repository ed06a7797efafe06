package admit

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// ApplyPeerReport replaces a peer's load, backlog and workspace usage. What the report
// omits counts as zero.
func (ac *Controller) ApplyPeerReport(now time.Time, peer ids.Instance, loads []Load, backlogs []Backlog, usage map[ids.Workspace]share.Usage) {
	reported := make(map[ids.Target]bool, len(loads))
	for _, load := range loads {
		reported[load.Target] = true
		if t := ac.targets[load.Target]; t != nil {
			t.setPeerLoad(now, peer, load)
			ac.recordPeerCached(now, t, load)
		}
	}
	for id, t := range ac.targets {
		if !reported[id] {
			t.removePeerLoad(peer)
		}
	}
	for _, s := range ac.services {
		delete(s.peerBacklogs, peer)
		s.isViewOld = peer == fleetPeer
	}
	for _, b := range backlogs {
		if s := ac.services[b.Service]; s != nil {
			s.peerBacklogs[peer] = peerBacklog{at: now, Backlog: b}
		}
	}
	ac.window.SetPeerUsage(now, peer, usage)
}

// recordPeerCached records the parts that a peer has sent to an engine.
func (ac *Controller) recordPeerCached(now time.Time, t *target, load Load) {
	s := ac.services[t.Service]
	if s == nil || s.latency == nil {
		return
	}
	ready := now.Add(s.latency.predictAt(load.PendingTokens, s.speedFactor(now, t)))
	for _, key := range load.CachedKeys {
		t.cache.recordUse(now, ready, key)
	}
}

// fleetPeer is the peer to which the sum over all other routers is attributed.
const fleetPeer ids.Instance = "the fleet"

// ApplyFleetReport applies the sum of the whole fleet's reports. The sum includes this
// router's own state as of one of its last reports, which is subtracted. It modifies its
// arguments.
//
// At engines the present own state is subtracted, since their requests last longer than the age
// of a sum. At plain targets it is the state of the oldest report that the sum may hold.
func (ac *Controller) ApplyFleetReport(now time.Time, loads []Load, backlogs []Backlog, usage map[ids.Workspace]share.Usage) {
	for i := range loads {
		if t := ac.targets[loads[i].Target]; t != nil {
			own := t.ownLoad()
			if s := ac.services[t.Service]; s != nil && !s.isEngine() {
				own = t.reported.oldest()
			}
			loads[i].Running = max(0, loads[i].Running-own.Running)
			loads[i].PendingTokens = max(0, loads[i].PendingTokens-own.PendingTokens)
			loads[i].MemoryTokens = max(0, loads[i].MemoryTokens-own.MemoryTokens)
		}
	}
	for i := range backlogs {
		if s := ac.services[backlogs[i].Service]; s != nil {
			backlogs[i].Requests = max(0, backlogs[i].Requests-s.reportedBacklog.Requests)
			backlogs[i].Tokens = max(0, backlogs[i].Tokens-s.reportedBacklog.Tokens)
		}
	}
	for ws, own := range ac.window.LocalUsage(now) {
		if u, ok := usage[ws]; ok {
			usage[ws] = share.Usage{Requested: max(0, u.Requested-own.Requested), Started: max(0, u.Started-own.Started)}
		}
	}
	ac.ApplyPeerReport(now, fleetPeer, loads, backlogs, usage)
	for _, s := range ac.services {
		if !s.isEngine() {
			s.draw.recordReport(now)
			s.adaptThrottle(now)
		}
	}
}

// LocalReport returns this router's load, backlog and workspace usage for a report to
// all peers, and samples the fleet's loads for TakeEvenness. CachedKeys are those recorded since the last call.
//
// refusedShare is the share of its requests that the router refuses for its own load. Its backlog is
// reported without that share: what waits for the router is no claim on targets, for which others
// would hold back.
func (ac *Controller) LocalReport(now time.Time, refusedShare float64) ([]Load, []Backlog, map[ids.Workspace]share.Usage) {
	var loads []Load
	for id, t := range ac.targets {
		unreported := t.cache.takeUnreported()
		t.reported.record(t.ownLoad())
		if t.running > 0 || len(unreported) > 0 {
			load := t.ownLoad()
			load.Target, load.CachedKeys = id, unreported
			loads = append(loads, load)
		}
	}
	var backlogs []Backlog
	for name, s := range ac.services {
		s.sampleLoads(now)
		claimed := func(waiting int) int { return int(math.Round(float64(waiting) * (1 - refusedShare))) }
		s.reportedBacklog = Backlog{Service: name, Requests: claimed(s.queue.len()), Tokens: claimed(s.queue.tokens())}
		if s.reportedBacklog.Requests > 0 {
			backlogs = append(backlogs, s.reportedBacklog)
		}
	}
	return loads, backlogs, ac.window.LocalUsage(now)
}
