package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/platform"
)

// Waits at startup and at the replacement of watchers.
const (
	// peerDiscoveryWait is how long a starting router waits for peers to appear
	// before it lists from the platform.
	peerDiscoveryWait = time.Second
	// peerTransferWait is how long a starting router waits for a transfer if a peer
	// has a newer configuration or has not announced its revision.
	peerTransferWait = 3 * time.Second
	// maxCatchUpWait is the longest time for which a starting router delays its
	// readiness to catch up with its peers.
	maxCatchUpWait = 15 * time.Second
	// substituteDelay is how long all chosen watchers of a failure domain must have
	// failed before the same number of substitutes also watch.
	substituteDelay = 6 * time.Second
)

// platformHealth is the router's view of the platform's availability.
type platformHealth struct {
	up bool
	// hasResult is set once the current watcher has completed a call. failing is set
	// if the last of its calls failed.
	hasResult, failing bool
	// unwatchedSince is the time since which all chosen watchers of the domain have
	// failed. It is zero while one of them works.
	unwatchedSince time.Time
}

// reconcileWatch starts or stops the watcher as shouldWatch requires.
func (c *Controller) reconcileWatch(ctx context.Context, wg *conc.WaitGroup, peers []Member, now time.Time) {
	want := c.shouldWatch(peers, now)
	switch {
	case want && c.cancelWatch == nil && c.canStartWatch(peers, now):
		c.startWatch(ctx, wg)
	case !want && c.cancelWatch != nil:
		c.stopWatch()
	}
}

// shouldWatch reports whether the router is a watcher of its failure domain. The
// first Watchers routers by rank are chosen. The same number of routers that follow
// them act as substitutes if all chosen watchers have failed for substituteDelay. The
// call also records since when they have failed.
func (c *Controller) shouldWatch(peers []Member, now time.Time) bool {
	order := rankMembers(c.opts.Domain, append(slices.Clone(peers), c.self()))
	rank := indexOf(order, c.opts.Self)
	if rank < c.opts.Watchers {
		return true
	}
	if slices.ContainsFunc(order[:c.opts.Watchers], func(m Member) bool { return m.Watcher }) {
		c.health.unwatchedSince = time.Time{}
		return false
	}
	if c.health.unwatchedSince.IsZero() {
		c.health.unwatchedSince = now
	}
	return rank < 2*c.opts.Watchers && now.Sub(c.health.unwatchedSince) >= substituteDelay
}

func (c *Controller) self() Member {
	return Member{Instance: c.opts.Self, Domain: c.opts.Domain, Watcher: c.IsWatching()}
}

// canStartWatch reports whether the watcher may start. Without a configuration it
// begins with a full list, which is delayed while a peer may still transfer the
// configuration. This avoids full lists from the platform when routers restart.
func (c *Controller) canStartWatch(peers []Member, now time.Time) bool {
	if c.set.IsInitialized() {
		return true
	}
	age := now.Sub(c.startedAt) - c.startDelay
	if len(peers) > 0 && !c.isCaughtUpWith(peers) {
		return age >= peerTransferWait
	}
	return age >= peerDiscoveryWait
}

// isCaughtUpWith reports whether all peers have announced their revision and none is
// ahead of this router.
func (c *Controller) isCaughtUpWith(peers []Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range peers {
		revision, ok := c.peerRevisions[m.Instance]
		if !ok || revision > c.set.CompleteRevision() {
			return false
		}
	}
	return true
}

// reconcileStartup completes startup once the router has a configuration and no
// reachable peer has a newer one, or after maxCatchUpWait. A router without peers
// waits for peerDiscoveryWait. Without these waits, a platform that returns an older
// state would revert the configuration of a router that has restarted.
func (c *Controller) reconcileStartup(peers []Member, now time.Time) {
	if c.caughtUp || !c.set.IsInitialized() {
		return
	}
	age := now.Sub(c.startedAt) - c.startDelay
	if age < maxCatchUpWait && (age < peerDiscoveryWait && len(peers) == 0 || !c.isCaughtUpWith(peers)) {
		return
	}
	c.caughtUp = true
	c.publish(nil)
}

func (c *Controller) startWatch(ctx context.Context, wg *conc.WaitGroup) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancelWatch = cancel
	w := &watcher{client: c.opts.Platform, results: c.results}
	first := watchState{since: c.set.CompleteRevision(), canWatch: c.set.IsInitialized()}
	wg.Go(func() { w.run(ctx, first) })
	c.opts.Logger.Info("started watching the platform")
}

// stopWatch stops the watcher without waiting for its last call. The result of that
// call is discarded.
func (c *Controller) stopWatch() {
	c.cancelWatch()
	c.cancelWatch = nil
	c.health.hasResult = false
	c.setWatching(false)
	c.opts.Logger.Info("stopped watching the platform")
}

func (c *Controller) setWatching(on bool) {
	c.watching.Store(on)
	value := 0.0
	if on {
		value = 1
	}
	c.opts.Scope.Gauge("config_watching").Update(value)
}

// recordCallResult updates the platform's health from a call's result, unless the
// watcher that made the call has been stopped.
func (c *Controller) recordCallResult(err error) {
	if c.cancelWatch == nil {
		return
	}
	c.health.hasResult = true
	c.health.failing = err != nil && !errors.Is(err, platform.ErrCompacted)
	c.setWatching(!c.health.failing)
	if err != nil {
		c.opts.Logger.WithError(err).Debug("call to the platform failed")
	}
}

// reconcileRevision raises the revision to the highest one announced by a peer up to
// which this router's set is complete.
func (c *Controller) reconcileRevision(peers []Member) {
	raised := false
	for _, m := range peers {
		raised = c.set.AdvanceRevision(c.peerRevision(m.Instance)) || raised
	}
	if raised {
		c.publish(nil)
	}
}

// reconcileHealth publishes whether the platform is up. The result of the router's
// own last call takes precedence over the peers that announce a working watch.
func (c *Controller) reconcileHealth(peers []Member) {
	up := slices.ContainsFunc(peers, func(m Member) bool { return m.Watcher })
	if c.health.hasResult {
		up = !c.health.failing
	}
	if up == c.health.up {
		return
	}
	c.health.up = up
	c.opts.Logger.WithField("up", up).Info("platform availability changed")
	c.publish(nil)
}

// setStale publishes whether the platform returns an older state than the one in
// force.
func (c *Controller) setStale(stale bool) {
	if stale {
		c.opts.Scope.Counter("config_stale").Inc(1)
	}
	if stale == c.stale {
		return
	}
	c.stale = stale
	c.opts.Logger.WithField("stale", stale).Warn("staleness of the platform state relative to the configuration in force changed")
	c.publish(nil)
}
