package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// Report takes a peer's load, backlog and use of workspaces.
func (ac *Controller) Report(now time.Time, peer ids.Instance, loads []Load, backlogs []Backlog, use map[ids.Workspace]share.Use) {
	said := make(map[ids.Target]bool, len(loads))
	for _, load := range loads {
		said[load.Target] = true
		if t := ac.targets[load.Target]; t != nil {
			t.setPeerLoad(now, peer, load)
			ac.setCached(now, t, load)
		}
	}
	for id, t := range ac.targets {
		if !said[id] {
			t.dropPeerLoad(peer)
		}
	}
	for _, s := range ac.services {
		delete(s.backlog, peer)
	}
	for _, b := range backlogs {
		if s := ac.services[b.Service]; s != nil {
			s.backlog[peer] = peerBacklog{at: now, Backlog: b}
		}
	}
	ac.window.Report(now, peer, use)
}

// setCached notes the parts that a peer had an engine read.
func (ac *Controller) setCached(now time.Time, t *target, load Load) {
	s := ac.services[t.Service]
	if s == nil || s.latency == nil {
		return
	}
	ready := now.Add(s.latency.predict(load.Pending))
	for _, key := range load.Cached {
		t.cache.touch(now, ready, key)
	}
}

// fleetPeer stands for all other routers where their sum is reported.
const fleetPeer ids.Instance = "the fleet"

// ReportTotal takes the sum of the fleet, in which this router's own state is
// included as it was a moment ago.
func (ac *Controller) ReportTotal(now time.Time, loads []Load, backlogs []Backlog, use map[ids.Workspace]share.Use) {
	for i := range loads {
		if t := ac.targets[loads[i].Target]; t != nil {
			loads[i].Running = max(0, loads[i].Running-t.running)
			loads[i].Pending = max(0, loads[i].Pending-t.pending)
			loads[i].Memory = max(0, loads[i].Memory-t.memory)
		}
	}
	for i := range backlogs {
		if s := ac.services[backlogs[i].Service]; s != nil {
			backlogs[i].Requests = max(0, backlogs[i].Requests-s.queue.len())
			backlogs[i].Tokens = max(0, backlogs[i].Tokens-s.queue.tokens())
		}
	}
	for ws, own := range ac.window.Own(now) {
		if u, ok := use[ws]; ok {
			use[ws] = share.Use{Asked: max(0, u.Asked-own.Asked), Started: max(0, u.Started-own.Started)}
		}
	}
	ac.Report(now, fleetPeer, loads, backlogs, use)
}

// Own returns this router's load, backlog and use for a report to all peers.
// Each cached part is in one report only.
func (ac *Controller) Own(now time.Time) ([]Load, []Backlog, map[ids.Workspace]share.Use) {
	var loads []Load
	for id, t := range ac.targets {
		unreported := t.cache.takeUnreported()
		if t.running > 0 || len(unreported) > 0 {
			loads = append(loads, Load{Target: id, Running: t.running, Pending: t.pending, Memory: t.memory, Cached: unreported})
		}
	}
	var backlogs []Backlog
	for name, s := range ac.services {
		if n := s.queue.len(); n > 0 {
			backlogs = append(backlogs, Backlog{Service: name, Requests: n, Tokens: s.queue.tokens()})
		}
	}
	return loads, backlogs, ac.window.Own(now)
}
