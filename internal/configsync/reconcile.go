package configsync

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/umberhill/umberhill/internal/platform"
)

// Times of the choice of watchers.
const (
	// startPeers is how long a starting router waits for peers to appear before
	// it lists from the platform.
	startPeers = time.Second
	// startTransfer is how long it waits for the configuration of a peer that
	// has one, or that has not said.
	startTransfer = 3 * time.Second
	// startMost is how long it waits to catch up with its peers before it is
	// ready.
	startMost = 15 * time.Second
	// substituteAfter is how long the chosen watchers of a failure domain may
	// fail before as many others watch too.
	substituteAfter = 6 * time.Second
)

// health is what the router knows of the platform.
type health struct {
	up bool
	// answered and failing are the result of the router's own last call.
	answered, failing bool
	// unwatched is since when no chosen watcher of the domain works; zero while
	// one does.
	unwatched time.Time
}

// reconcileWatch starts or stops the watcher.
func (c *Controller) reconcileWatch(ctx context.Context, wg *conc.WaitGroup, peers []Member, now time.Time) {
	want := c.shouldWatch(peers, now)
	switch {
	case want && c.watch == nil && c.mayList(peers, now):
		c.startWatch(ctx, wg)
	case !want && c.watch != nil:
		c.stopWatch()
	}
}

// shouldWatch tells whether the router is one of its domain's watchers: one of
// the first by rank, or one of as many substitutes where those don't work.
func (c *Controller) shouldWatch(peers []Member, now time.Time) bool {
	order := ranked(c.opts.Domain, append(slices.Clone(peers), c.self()))
	at := position(order, c.opts.Self)
	if at < c.opts.Watchers {
		return true
	}
	if slices.ContainsFunc(order[:c.opts.Watchers], func(m Member) bool { return m.Watcher }) {
		c.health.unwatched = time.Time{}
		return false
	}
	if c.health.unwatched.IsZero() {
		c.health.unwatched = now
	}
	return at < 2*c.opts.Watchers && now.Sub(c.health.unwatched) >= substituteAfter
}

func (c *Controller) self() Member {
	return Member{Instance: c.opts.Self, Domain: c.opts.Domain, Watcher: c.Watching()}
}

// mayList holds the first list back while a peer may have the configuration:
// then the platform isn't asked for all of it.
func (c *Controller) mayList(peers []Member, now time.Time) bool {
	if c.set.IsInitialized() {
		return true
	}
	age := now.Sub(c.started) - c.startWait
	if len(peers) > 0 && !c.noneAhead(peers) {
		return age >= startTransfer
	}
	return age >= startPeers
}

// noneAhead tells whether all peers said what they hold, and hold no more than
// this router.
func (c *Controller) noneAhead(peers []Member) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range peers {
		revision, heard := c.announced[m.Instance]
		if !heard || revision > c.set.CompleteRevision() {
			return false
		}
	}
	return true
}

// reconcileStart ends the start: the router has a configuration, and none of the
// peers that it reaches has a newer one. Without this, a platform that answers
// with an older state would take a router without memory back.
func (c *Controller) reconcileStart(peers []Member, now time.Time) {
	if c.caughtUp || !c.set.IsInitialized() {
		return
	}
	age := now.Sub(c.started) - c.startWait
	if age < startMost && (age < startPeers && len(peers) == 0 || !c.noneAhead(peers)) {
		return
	}
	c.caughtUp = true
	c.publish(nil)
}

func (c *Controller) startWatch(ctx context.Context, wg *conc.WaitGroup) {
	ctx, cancel := context.WithCancel(ctx)
	c.watch = cancel
	w := &watcher{client: c.opts.Platform, results: c.results}
	first := verdict{since: c.set.CompleteRevision(), known: c.set.IsInitialized()}
	wg.Go(func() { w.run(ctx, first) })
	c.opts.Logger.Info("watching the platform")
}

// stopWatch ends the watcher without waiting for its last call; what that call
// brings is dropped.
func (c *Controller) stopWatch() {
	c.watch()
	c.watch = nil
	c.health.answered = false
	c.setWatching(false)
	c.opts.Logger.Info("no longer watching the platform")
}

func (c *Controller) setWatching(on bool) {
	c.watching.Store(on)
	value := 0.0
	if on {
		value = 1
	}
	c.opts.Scope.Gauge("config_watching").Update(value)
}

// platformAnswered notes the result of a call, unless it is the last one of a
// watcher that has been stopped.
func (c *Controller) platformAnswered(err error) {
	if c.watch == nil {
		return
	}
	c.health.answered = true
	c.health.failing = err != nil && !errors.Is(err, platform.ErrCompacted)
	c.setWatching(!c.health.failing)
	if err != nil {
		c.opts.Logger.WithError(err).Debug("platform call failed")
	}
}

// reconcileRevision levels the revision with those that peers announce and that
// are in force here.
func (c *Controller) reconcileRevision(peers []Member) {
	rose := false
	for _, m := range peers {
		rose = c.set.AdvanceRevision(c.announcedBy(m.Instance)) || rose
	}
	if rose {
		c.publish(nil)
	}
}

// reconcileHealth publishes whether the platform is up.
func (c *Controller) reconcileHealth(peers []Member) {
	up := slices.ContainsFunc(peers, func(m Member) bool { return m.Watcher })
	if c.health.answered {
		up = !c.health.failing
	}
	if up == c.health.up {
		return
	}
	c.health.up = up
	c.opts.Logger.WithField("up", up).Info("platform state changed")
	c.publish(nil)
}

// noteStale publishes whether the platform answers with an older state.
func (c *Controller) noteStale(stale bool) {
	if stale {
		c.opts.Scope.Counter("config_stale").Inc(1)
	}
	if stale == c.stale {
		return
	}
	c.stale = stale
	c.opts.Logger.WithField("stale", stale).Warn("platform state against the configuration in force")
	c.publish(nil)
}
