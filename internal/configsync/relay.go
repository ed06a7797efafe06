package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/config"
	"github.com/umberhill/umberhill/internal/ids"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Timing and limits of pulls.
const (
	// pullGrace is the time allowed for a push to deliver a revision that a
	// heartbeat announced, before the revision is pulled.
	pullGrace = 200 * time.Millisecond
	// pullJitter spreads the pulls of routers that missed the same push.
	pullJitter = 200 * time.Millisecond
	// pullTimeout is the longest wait for a page.
	pullTimeout = time.Second
	// lastValidInterval is the mean interval between pulls of last valid writes,
	// for objects that have no valid write on this router.
	lastValidInterval = 2 * time.Second
	// maxLastValidTries is the maximum number of pulls of last valid writes while
	// the number of objects without a valid write stays the same.
	maxLastValidTries = 8
	// maxLastValidRefs is the maximum number of objects that one pull requests.
	maxLastValidRefs = 256
)

// pulls is the state of pulling changes whose pushes were missed.
type pulls struct {
	// nextAt is the time of the next pull. It is zero if no pull is due.
	nextAt time.Time
	// deadline is when the wait for the requested page ends.
	deadline time.Time
	// failedPeer is the peer of the last transfer that timed out.
	failedPeer ids.Instance
}

// lastValidPulls is the state of pulling the last valid writes of objects.
type lastValidPulls struct {
	nextAt time.Time
	tries  int
	// refCount is the number of objects without a valid write at the last
	// reconciliation.
	refCount int
}

// relay pushes the changes since the revision prev to the router's children in the
// tree of its failure domain. Changes that the router received from the platform or
// from another domain also go to the root of the tree and the other chosen watchers.
func (c *Controller) relay(prev uint64, source ids.Instance) {
	peers := c.opts.LivePeers()
	order := rankMembers(c.opts.Domain, append(slices.Clone(peers), c.self()))
	to := slices.Clone(children(order, indexOf(order, c.opts.Self)))
	if !c.isInDomain(source, peers) || source == c.opts.Self {
		to = append(to, order[:min(c.opts.Watchers, len(order))]...)
	}
	push := c.set.Delta(prev, maxMessageBytes)
	msg := &configv1.Message{Body: &configv1.Message_Push{Push: push}}
	sent := map[ids.Instance]bool{source: true, c.opts.Self: true}
	for _, m := range to {
		if sent[m.Instance] || c.peerRevision(m.Instance) >= c.set.Revision() {
			continue
		}
		sent[m.Instance] = true
		c.opts.Send(m.Instance, msg)
	}
}

func (c *Controller) isInDomain(id ids.Instance, peers []Member) bool {
	return slices.ContainsFunc(peers, func(m Member) bool {
		return m.Instance == id && m.Domain == c.opts.Domain
	})
}

// applyPush applies a push. If the set lacks changes that precede it, the push is
// ignored, and a pull is scheduled because the peer is known to be ahead.
func (c *Controller) applyPush(from ids.Instance, p *configv1.Push) config.Result {
	res := c.set.ApplyPush(p)
	if !res.Gap {
		return res
	}
	c.opts.Scope.Counter("config_gaps").Inc(1)
	c.SetPeerRevision(from, p.GetRevision())
	if _, busy := c.set.TransferPeer(); !busy {
		c.pulls.nextAt = time.Now()
	}
	return res
}

// applyPage applies a page and requests the next one.
func (c *Controller) applyPage(from ids.Instance, p *configv1.Page) config.Result {
	res, next := c.set.ApplyPage(string(from), p)
	if next != nil {
		c.sendPull(from, next)
	}
	return res
}

func (c *Controller) sendPull(to ids.Instance, p *configv1.Pull) {
	c.pulls.deadline = time.Now().Add(pullTimeout)
	c.opts.Send(to, &configv1.Message{Body: &configv1.Message_Pull{Pull: p}})
}

// reconcilePull pulls from a peer that is ahead of this router, one transfer at a
// time. A transfer whose page does not arrive in time is aborted.
func (c *Controller) reconcilePull(peers []Member, now time.Time) {
	if from, busy := c.set.TransferPeer(); busy {
		if now.Before(c.pulls.deadline) {
			return
		}
		c.set.AbortTransfer()
		c.pulls.failedPeer = ids.Instance(from)
	}
	sources := c.pullSources(peers)
	if len(sources) == 0 {
		c.pulls.nextAt = time.Time{}
		return
	}
	if c.pulls.nextAt.IsZero() {
		c.pulls.nextAt = now.Add(c.pullDelay())
	}
	if now.Before(c.pulls.nextAt) {
		return
	}
	c.pulls.nextAt = time.Time{}
	from := c.pickSource(sources)
	c.opts.Scope.Counter("config_pulls").Inc(1)
	c.sendPull(from, c.set.StartTransfer(string(from)))
}

// pullDelay returns the delay before a pull, which is 0 for a router without a
// configuration.
func (c *Controller) pullDelay() time.Duration {
	if !c.set.IsInitialized() {
		return 0
	}
	return pullGrace + rand.N(pullJitter)
}

// pullSources returns the peers that are ahead of this router. If there are none and
// the router has no configuration, not even an empty one, it returns the peers that
// watch the platform.
func (c *Controller) pullSources(peers []Member) []Member {
	ahead := filter(peers, func(m Member) bool { return c.peerRevision(m.Instance) > c.set.CompleteRevision() })
	if len(ahead) == 0 && !c.set.IsInitialized() {
		return filter(peers, func(m Member) bool { return m.Watcher })
	}
	return ahead
}

func filter(members []Member, keep func(Member) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !keep(m) })
}

// pickSource returns a random one of the peers. If it can, it avoids the peer of the
// last transfer that timed out, and then prefers peers in the same failure domain.
func (c *Controller) pickSource(peers []Member) ids.Instance {
	prefer := func(keep func(Member) bool) {
		if some := filter(peers, keep); len(some) > 0 {
			peers = some
		}
	}
	prefer(func(m Member) bool { return m.Instance != c.pulls.failedPeer })
	prefer(func(m Member) bool { return m.Domain == c.opts.Domain })
	return peers[rand.N(len(peers))].Instance
}

// reconcileLastValid pulls from a random peer the last valid writes of objects whose
// newest write is invalid and of which this router has no valid write.
func (c *Controller) reconcileLastValid(peers []Member, now time.Time) {
	refs := c.refsWithoutValidWrite()
	if len(refs) != c.lastValid.refCount {
		c.lastValid = lastValidPulls{refCount: len(refs)}
	}
	if len(refs) == 0 || len(peers) == 0 || c.lastValid.tries >= maxLastValidTries || now.Before(c.lastValid.nextAt) {
		return
	}
	c.lastValid.tries++
	c.lastValid.nextAt = now.Add(lastValidInterval/2 + rand.N(lastValidInterval))
	to := peers[rand.N(len(peers))].Instance
	pull := &configv1.Pull{Names: refs}
	c.opts.Send(to, &configv1.Message{Body: &configv1.Message_Pull{Pull: pull}})
}

func (c *Controller) refsWithoutValidWrite() []*configv1.Ref {
	var out []*configv1.Ref
	for _, p := range c.Snapshot().Problems {
		if p.Version > 0 && p.InForce == 0 && len(out) < maxLastValidRefs {
			out = append(out, &configv1.Ref{Kind: string(p.Kind), Name: p.Name})
		}
	}
	return out
}
