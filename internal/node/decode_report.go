package node

import (
	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// decodedReport is a report converted to the types of the admission controller.
type decodedReport struct {
	loads    []admit.Load
	backlogs []admit.Backlog
	usage    map[ids.Workspace]share.Usage
}

func decodeReport(r *fleetv1.Report) decodedReport {
	d := decodedReport{usage: make(map[ids.Workspace]share.Usage, len(r.GetWorkspaces()))}
	for _, t := range r.GetTargets() {
		d.loads = append(d.loads, admit.Load{
			Target:        ids.Target(t.GetTarget()),
			Running:       int(t.GetRunning()),
			PendingTokens: int(t.GetPending()),
			MemoryTokens:  int(t.GetMemory()),
			CachedKeys:    t.GetCached(),
		})
	}
	for _, b := range r.GetBacklogs() {
		d.backlogs = append(d.backlogs, admit.Backlog{
			Service: b.GetService(), Requests: int(b.GetRequests()), Tokens: int(b.GetTokens()),
		})
	}
	for _, w := range r.GetWorkspaces() {
		d.usage[ids.Workspace(w.GetWorkspace())] = share.Usage{Requested: float64(w.GetAsked()), Started: float64(w.GetStarted())}
	}
	return d
}
