package node

import (
	"context"
	"time"

	"github.com/umberhill/umberhill/internal/upstream"
)

// Connections to targets. Untuned first values.
const (
	dialTimeout = 400 * time.Millisecond
	idleTimeout = 20 * time.Second
	unackedFor  = 2 * time.Second
	// maxIdleConns bounds the idle connections to a target, idleShare is the part of
	// the connections that a target accepts which all routers together keep idle: the
	// rest is for those under a request.
	maxIdleConns  = 64
	idleShare     = 0.5
	sweepInterval = time.Second
)

// Callers' connections. Untuned first values.
const (
	readHeaderTimeout = 15 * time.Second
	// callerIdle bounds an idle connection until a configuration says how long.
	callerIdle = 90 * time.Second
	// callerFDs is the part of the descriptors for callers' connections; the rest
	// is for targets, routers and the store.
	callerFDs      = 0.5
	maxHeaderBytes = 64 << 10
)

// maxIdle is the number of idle connections to a target that this router may keep.
func (n *Node) maxIdle(e upstream.Endpoint) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	t, known := n.targets.Get(e.Target)
	if !known || n.config == nil {
		return maxIdleConns
	}
	s := n.config.Services[t.Service]
	if s == nil || s.MaxConns <= 0 {
		return maxIdleConns
	}
	share := int(idleShare * float64(s.MaxConns) / float64(n.server.Routers()))
	return min(max(share, 1), maxIdleConns)
}

// sweep closes idle connections: those to targets that are gone, and on both sides
// those that were idle for too long.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.pool.Close()
			return
		case <-ticker.C:
			n.mu.Lock()
			targets, config := n.targets, n.config
			n.mu.Unlock()
			if config != nil && config.Limits.IdleTimeout > 0 {
				n.callers.CloseIdle(time.Now(), config.Limits.IdleTimeout)
			}
			n.pool.Retain(func(e upstream.Endpoint) bool {
				t, ok := targets.Get(e.Target)
				return ok && t.StartTimeMS == e.StartTimeMS && t.Address == e.Address
			})
		}
	}
}
