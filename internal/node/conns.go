package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/connlimit"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

// Bounds of connections to targets.
const (
	dialTimeout    = 400 * time.Millisecond
	idleTimeout    = 20 * time.Second
	unackedTimeout = 2 * time.Second
	// maxIdleConns is the maximum number of idle connections to a target.
	// idleConnShare is the fraction of the connections a target accepts that all
	// routers together keep idle; the rest is for connections in use by requests.
	maxIdleConns      = 64
	idleConnShare     = 0.5
	idleCheckInterval = time.Second
)

// Bounds of callers' connections.
const (
	// defaultHeadTimeout and defaultCallerIdleTimeout apply unless the configuration sets
	// these timeouts.
	defaultHeadTimeout       = 15 * time.Second
	defaultCallerIdleTimeout = 90 * time.Second
	// readHeaderTimeout applies to requests for readiness and metrics.
	readHeaderTimeout = 15 * time.Second
	// callerFDShare is the fraction of the file descriptors for callers' connections;
	// the rest is for connections to targets, routers and the store.
	callerFDShare  = 0.5
	maxHeaderBytes = 64 << 10
)

// maxIdle returns the number of idle connections to a target that this router may
// keep.
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
	share := int(idleConnShare * float64(s.MaxConns) / float64(n.server.Routers()))
	return min(max(share, 1), maxIdleConns)
}

func (n *Node) callerConnsClosed(reason connlimit.Reason) tally.Counter {
	return n.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("caller_conns_closed")
}

// recordCallerClose counts a caller's connection that the router closed, and logs it if
// a part of a request had arrived on it.
func (n *Node) recordCallerClose(c connlimit.Close) {
	n.callerConnsClosed(c.Reason).Inc(1)
	if c.WithinHead {
		n.logger.WithFields(logrus.Fields{"reason": c.Reason, "waited_ms": c.Idle.Milliseconds()}).Warn("caller's connection closed within a request")
	}
}

// newCallerTimeouts returns the timeouts of callers' connections under the limits. n.mu
// must be held.
func (n *Node) newCallerTimeouts(limits routing.Limits) connlimit.Timeouts {
	t := connlimit.Timeouts{Idle: defaultCallerIdleTimeout, Head: defaultHeadTimeout, ChangedAt: n.callerTimeouts.ChangedAt}
	if limits.IdleTimeout > 0 {
		t.Idle = limits.IdleTimeout
	}
	if limits.HeadTimeout > 0 {
		t.Head = limits.HeadTimeout
	}
	// A caller may go by a raised timeout before this router does.
	t.Idle += n.settings.ConfigDelay
	t.Head += n.settings.ConfigDelay
	if t != n.callerTimeouts {
		t.ChangedAt = time.Now()
	}
	return t
}

// closeIdleConns closes connections to targets that are no longer listed, and
// callers' and targets' connections that have been idle for longer than their
// timeout, until ctx ends.
func (n *Node) closeIdleConns(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.pool.Close()
			return
		case <-ticker.C:
			n.mu.Lock()
			targets, timeouts := n.targets, n.callerTimeouts
			n.mu.Unlock()
			n.callerConns.CloseExpired(time.Now(), timeouts)
			n.pool.Retain(func(e upstream.Endpoint) bool {
				t, ok := targets.Get(e.Target)
				return ok && t.StartTimeMS == e.StartTimeMS && t.Address == e.Address
			})
		}
	}
}
