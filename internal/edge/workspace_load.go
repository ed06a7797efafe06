package edge

import (
	"sync"

	"github.com/umberhill/umberhill/internal/ids"
)

// maxTrackedWorkspaces bounds the workspaces counted between two calls of
// TakeWorkspaceLoads.
const maxTrackedWorkspaces = 512

// WorkspaceLoad counts what a router did with a workspace's requests for engines. Tokens are
// in the unit of fair shares: each prompt token counts once, each generated token twice.
type WorkspaceLoad struct {
	// Requests counts those that arrived, Attempts those sent to engines.
	Requests, Attempts int
	// Refused counts refusals by reason, ClosedConns those that asked the caller to close
	// its connection.
	Refused     map[string]int
	ClosedConns int
	// RequestedTokens are those of the requests, ChargedTokens those of the attempts, and
	// StartedTokens those of the attempts whose response has started.
	RequestedTokens, ChargedTokens, StartedTokens int64
}

func (l *WorkspaceLoad) countRefusal(reason string, closedConn bool) {
	l.Refused[reason]++
	if closedConn {
		l.ClosedConns++
	}
}

// workspaceLoads counts the loads of workspaces since they were last taken.
type workspaceLoads struct {
	mu   sync.Mutex
	byWS map[ids.Workspace]*WorkspaceLoad
}

func (w *workspaceLoads) update(ws ids.Workspace, change func(*WorkspaceLoad)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.byWS[ws]
	if l == nil {
		if len(w.byWS) >= maxTrackedWorkspaces {
			return
		}
		if w.byWS == nil {
			w.byWS = make(map[ids.Workspace]*WorkspaceLoad)
		}
		l = &WorkspaceLoad{Refused: make(map[string]int)}
		w.byWS[ws] = l
	}
	change(l)
}

// TakeWorkspaceLoads returns the loads since the last call.
func (s *Server) TakeWorkspaceLoads() map[ids.Workspace]*WorkspaceLoad {
	s.loads.mu.Lock()
	defer s.loads.mu.Unlock()
	taken := s.loads.byWS
	s.loads.byWS = nil
	return taken
}

func (e *exchange) usesEngine() bool { return e.serviceConfig != nil && e.serviceConfig.Engine != nil }

// weightedTokens is the request's size in the unit of fair shares.
func (e *exchange) weightedTokens() int64 {
	return int64(e.meta.PromptTokens) + 2*int64(e.meta.OutputTokens)
}

// countLoad counts a change of the load of the request's workspace if it is for an engine.
func (e *exchange) countLoad(change func(*WorkspaceLoad)) {
	if e.usesEngine() {
		e.server.loads.update(e.workspace, change)
	}
}
