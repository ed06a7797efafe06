package configsync

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/config"
	"github.com/umberhill/umberhill/internal/ids"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Times of pulls.
const (
	// pullGrace is how long a revision that a heartbeat names may be on its way
	// as a push.
	pullGrace = 200 * time.Millisecond
	// pullJitter spreads the pulls of routers that miss the same push.
	pullJitter = 200 * time.Millisecond
	// pullTimeout bounds the wait for a page.
	pullTimeout = time.Second
	// namesEvery is the interval of asking peers for the last valid write of
	// objects that have none here.
	namesEvery = 2 * time.Second
	// namesTries bounds how often that is asked for one state of the problems.
	namesTries = 8
	// maxNames bounds the objects asked for in one message.
	maxNames = 256
)

// pulls is the state of making up for missed pushes.
type pulls struct {
	// at is when to pull next; zero while nothing is missed.
	at time.Time
	// deadline of the page awaited.
	deadline time.Time
	// failed is the peer whose last page did not come.
	failed ids.Instance
}

// namePulls is the state of asking for last valid writes.
type namePulls struct {
	at    time.Time
	tries int
	// want is the number of objects asked for last.
	want int
}

// relay sends what changed since the revision prev to the router's children in
// the tree of its failure domain. What was learned from outside the domain goes
// to the head of the tree and the other watchers too.
func (c *Controller) relay(prev uint64, source ids.Instance) {
	peers := c.opts.Live()
	order := ranked(c.opts.Domain, append(slices.Clone(peers), c.self()))
	to := slices.Clone(children(order, position(order, c.opts.Self)))
	if !c.inDomain(source, peers) || source == c.opts.Self {
		to = append(to, order[:min(c.opts.Watchers, len(order))]...)
	}
	push := c.set.Delta(prev, maxMessageBytes)
	msg := &configv1.Message{Body: &configv1.Message_Push{Push: push}}
	sent := map[ids.Instance]bool{source: true, c.opts.Self: true}
	for _, m := range to {
		if sent[m.Instance] || c.announcedBy(m.Instance) >= c.set.Revision() {
			continue
		}
		sent[m.Instance] = true
		c.opts.Send(m.Instance, msg)
	}
}

func (c *Controller) inDomain(id ids.Instance, peers []Member) bool {
	return slices.ContainsFunc(peers, func(m Member) bool {
		return m.Instance == id && m.Domain == c.opts.Domain
	})
}

// takePush applies a push; where it is of no use yet, it tells at least what
// the peer has.
func (c *Controller) takePush(from ids.Instance, p *configv1.Push) config.Result {
	res := c.set.ApplyPush(p)
	if !res.Gap {
		return res
	}
	c.opts.Scope.Counter("config_gaps").Inc(1)
	c.PeerRevision(from, p.GetRevision())
	if _, busy := c.set.TransferPeer(); !busy {
		c.pulls.at = time.Now()
	}
	return res
}

// takePage applies a page and asks for the next one.
func (c *Controller) takePage(from ids.Instance, p *configv1.Page) config.Result {
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

// reconcilePull pulls from a peer that holds more than this router, one
// transfer at a time.
func (c *Controller) reconcilePull(peers []Member, now time.Time) {
	if from, busy := c.set.TransferPeer(); busy {
		if now.Before(c.pulls.deadline) {
			return
		}
		c.set.AbortTransfer()
		c.pulls.failed = ids.Instance(from)
	}
	sources := c.sources(peers)
	if len(sources) == 0 {
		c.pulls.at = time.Time{}
		return
	}
	if c.pulls.at.IsZero() {
		c.pulls.at = now.Add(c.grace())
	}
	if now.Before(c.pulls.at) {
		return
	}
	c.pulls.at = time.Time{}
	from := c.pick(sources)
	c.opts.Scope.Counter("config_pulls").Inc(1)
	c.sendPull(from, c.set.StartTransfer(string(from)))
}

// grace is the wait before a pull; a router without a configuration has none.
func (c *Controller) grace() time.Duration {
	if !c.set.IsInitialized() {
		return 0
	}
	return pullGrace + rand.N(pullJitter)
}

// sources are the peers that hold more than this router. Without a
// configuration, even an empty one, those that watch the platform will do.
func (c *Controller) sources(peers []Member) []Member {
	ahead := filter(peers, func(m Member) bool { return c.announcedBy(m.Instance) > c.set.CompleteRevision() })
	if len(ahead) == 0 && !c.set.IsInitialized() {
		return filter(peers, func(m Member) bool { return m.Watcher })
	}
	return ahead
}

func filter(members []Member, keep func(Member) bool) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !keep(m) })
}

// pick chooses one of the peers at random, one of the same failure domain
// first, and not the one that failed last where there is another.
func (c *Controller) pick(peers []Member) ids.Instance {
	better := func(keep func(Member) bool) {
		if some := filter(peers, keep); len(some) > 0 {
			peers = some
		}
	}
	better(func(m Member) bool { return m.Instance != c.pulls.failed })
	better(func(m Member) bool { return m.Domain == c.opts.Domain })
	return peers[rand.N(len(peers))].Instance
}

// reconcileNames asks a peer for the last valid write of objects whose newest
// write is not valid and that this router never held otherwise.
func (c *Controller) reconcileNames(peers []Member, now time.Time) {
	refs := c.unserved()
	if len(refs) != c.names.want {
		c.names = namePulls{want: len(refs)}
	}
	if len(refs) == 0 || len(peers) == 0 || c.names.tries >= namesTries || now.Before(c.names.at) {
		return
	}
	c.names.tries++
	c.names.at = now.Add(namesEvery/2 + rand.N(namesEvery))
	to := peers[rand.N(len(peers))].Instance
	pull := &configv1.Pull{Names: refs}
	c.opts.Send(to, &configv1.Message{Body: &configv1.Message_Pull{Pull: pull}})
}

func (c *Controller) unserved() []*configv1.Ref {
	var out []*configv1.Ref
	for _, p := range c.Snapshot().Problems {
		if p.Version > 0 && p.InForce == 0 && len(out) < maxNames {
			out = append(out, &configv1.Ref{Kind: string(p.Kind), Name: p.Name})
		}
	}
	return out
}
