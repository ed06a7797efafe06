package node

import (
	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
)

// decoded is a report in the types of admission.
type decoded struct {
	loads    []admit.Load
	backlogs []admit.Backlog
	use      map[ids.Workspace]share.Usage
}

func decode(r *fleetv1.Report) decoded {
	d := decoded{use: make(map[ids.Workspace]share.Usage, len(r.GetWorkspaces()))}
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
		d.use[ids.Workspace(w.GetWorkspace())] = share.Usage{Requested: float64(w.GetAsked()), Started: float64(w.GetStarted())}
	}
	return d
}
