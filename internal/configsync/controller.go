package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/config"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Limits of the controller.
const (
	// inboxSize is the maximum number of queued messages from peers.
	inboxSize = 1024
	// maxMessageBytes is the approximate size limit of a message to a peer.
	maxMessageBytes = 128 << 10
	// maxTombstones is the number of tombstones kept, so that peers that lag
	// behind receive deletions.
	maxTombstones = 4096
	// reconcileInterval is the interval of the level-triggered reconciliation.
	reconcileInterval = 200 * time.Millisecond
)

// DefaultWatchers is the number of routers in each failure domain that watch the
// platform.
const DefaultWatchers = 2

// Options configures a Controller.
type Options struct {
	Self   ids.Instance
	Domain ids.Domain
	// Platform is the client of the platform's object service. Required.
	Platform *platform.Client
	// Watchers is the number of routers in each failure domain that watch the
	// platform. Default DefaultWatchers.
	Watchers int
	// Send sends a message to a peer. It must not block and may drop the message.
	Send func(to ids.Instance, msg *configv1.Message)
	// LivePeers returns the other routers that are reachable.
	LivePeers func() []Member
	// OnChange is called with each new snapshot, from a single goroutine. It must
	// not block. Optional.
	OnChange func(*Snapshot)
	// Logger receives a line for each change of state. Default: the standard logger.
	Logger *logrus.Entry
	// Scope receives the metrics. Default: none.
	Scope tally.Scope
}

// Controller maintains the configuration in force on a router.
type Controller struct {
	opts     Options
	snapshot atomic.Pointer[Snapshot]
	watching atomic.Bool
	inbox    chan peerMessage
	results  chan callResult
	// reconcileNow holds an element if a reconciliation is due before the next
	// interval ends.
	reconcileNow chan struct{}

	mu sync.Mutex
	// peerRevisions holds the last revision that each peer announced by heartbeat or
	// by a push that could not be applied.
	peerRevisions map[ids.Instance]uint64

	// Only the goroutine of Run accesses the fields below.
	set             *config.Set
	snapshotBuilder *builder
	startedAt       time.Time
	// startDelay is added to the waits of a starting router. It is random, so that
	// routers that start at the same time do not list at the same time.
	startDelay time.Duration
	// cancelWatch stops the watcher. It is nil if no watcher runs.
	cancelWatch context.CancelFunc
	pulls       pulls
	lastValid   lastValidPulls
	health      platformHealth
	// stale is set while the platform returns an older state than the one in
	// force.
	stale bool
	// caughtUp is set once startup is complete: see reconcileStartup.
	caughtUp bool
}

// peerMessage is a message from a peer.
type peerMessage struct {
	from ids.Instance
	msg  *configv1.Message
}

// New returns a controller. Run must be called to start it.
func New(o Options) *Controller {
	if o.Watchers <= 0 {
		o.Watchers = DefaultWatchers
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.OnChange == nil {
		o.OnChange = func(*Snapshot) {}
	}
	set := config.New(parse)
	c := &Controller{
		opts:            o,
		inbox:           make(chan peerMessage, inboxSize),
		results:         make(chan callResult),
		reconcileNow:    make(chan struct{}, 1),
		peerRevisions:   map[ids.Instance]uint64{},
		set:             set,
		snapshotBuilder: newBuilder(set),
	}
	c.snapshot.Store(emptySnapshot())
	return c
}

// Snapshot returns the configuration in force.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// IsWatching reports whether this router watches the platform and its last call
// succeeded. Heartbeats announce it to the peers.
func (c *Controller) IsWatching() bool { return c.watching.Load() }

// Receive queues a message from a peer. It does not block: if the inbox is full, the
// message is dropped and counted, and a later pull fetches the changes it carried.
func (c *Controller) Receive(from ids.Instance, msg *configv1.Message) {
	select {
	case c.inbox <- peerMessage{from, msg}:
	default:
		c.opts.Scope.Counter("config_dropped").Inc(1)
	}
}

// SetPeerRevision records the revision that a peer's heartbeat announced. It may be
// lower than the previous one, if the peer has restarted.
func (c *Controller) SetPeerRevision(from ids.Instance, revision uint64) {
	c.mu.Lock()
	c.peerRevisions[from] = revision
	c.mu.Unlock()
	if revision <= c.Snapshot().Revision {
		return
	}
	select {
	case c.reconcileNow <- struct{}{}:
	default:
	}
}

// Run processes messages, platform results and reconciliations until ctx ends. It
// returns the error of ctx.
func (c *Controller) Run(ctx context.Context) error {
	c.startedAt = time.Now()
	c.startDelay = rand.N(listJitter)
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-c.inbox:
			c.handleMessage(in)
		case res := <-c.results:
			res.reply <- c.handleResult(res)
		case <-c.reconcileNow:
			c.reconcile(ctx, &wg, time.Now())
		case <-ticker.C:
			c.reconcile(ctx, &wg, time.Now())
		}
	}
}

// reconcile compares the actual state of the controller with the desired state and
// corrects the difference.
func (c *Controller) reconcile(ctx context.Context, wg *conc.WaitGroup, now time.Time) {
	peers := c.opts.LivePeers()
	c.prunePeerRevisions(peers)
	c.reconcileWatch(ctx, wg, peers, now)
	c.reconcilePull(peers, now)
	c.reconcileLastValid(peers, now)
	c.reconcileStartup(peers, now)
	c.reconcileRevision(peers)
	c.reconcileHealth(peers)
}

// prunePeerRevisions deletes the revisions of peers that are no longer live, because
// they may return after a restart, without their configuration.
func (c *Controller) prunePeerRevisions(peers []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.peerRevisions {
		if !slices.ContainsFunc(peers, func(m Member) bool { return m.Instance == id }) {
			delete(c.peerRevisions, id)
		}
	}
}

func (c *Controller) peerRevision(id ids.Instance) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerRevisions[id]
}

// handleMessage processes a message from a peer.
func (c *Controller) handleMessage(in peerMessage) {
	prev := c.set.Revision()
	wasInitialized := c.set.IsInitialized()
	var res config.Result
	switch b := in.msg.GetBody().(type) {
	case *configv1.Message_Push:
		c.countMessage("push")
		res = c.applyPush(in.from, b.Push)
	case *configv1.Message_Pull:
		c.countMessage("pull")
		if response := c.set.AnswerPull(b.Pull, maxMessageBytes); response != nil {
			c.opts.Send(in.from, response)
		}
		return
	case *configv1.Message_Page:
		c.countMessage("page")
		res = c.applyPage(in.from, b.Page)
	default:
		c.countMessage("unknown")
		return
	}
	c.propagate(res, prev, wasInitialized, in.from)
}

func (c *Controller) countMessage(kind string) {
	c.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter("config_received").Inc(1)
}

// handleResult applies the result of a call to the platform and returns the state
// from which the watcher continues.
func (c *Controller) handleResult(res callResult) watchState {
	c.recordCallResult(res.err)
	if res.err != nil {
		canWatch := c.set.IsInitialized() && !errors.Is(res.err, platform.ErrCompacted)
		return watchState{since: c.set.CompleteRevision(), canWatch: canWatch}
	}
	prev, wasInitialized := c.set.Revision(), c.set.IsInitialized()
	var out config.Result
	if res.lists != nil {
		out = c.set.ApplyList(res.lists)
	} else {
		out = c.set.ApplyWatch(res.since, res.revision, res.events)
	}
	c.propagate(out, prev, wasInitialized, c.opts.Self)
	c.setStale(out.Stale)
	return watchState{since: c.set.CompleteRevision(), canWatch: c.set.IsInitialized(), stale: out.Stale}
}

// propagate relays and publishes the changes of an input. prev and wasInitialized are
// the revision of the set and whether it was initialized before the input.
func (c *Controller) propagate(res config.Result, prev uint64, wasInitialized bool, source ids.Instance) {
	if wasInitialized && c.set.Revision() > prev {
		c.relay(prev, source)
	}
	if len(res.Changed) == 0 && c.set.Revision() == prev && c.set.IsInitialized() == wasInitialized {
		return
	}
	c.set.TrimTombstones(maxTombstones)
	c.publish(res.Changed)
}

func (c *Controller) publish(changed []config.Key) {
	last := c.Snapshot()
	next := c.snapshotBuilder.build(last, changed)
	next.Initialized = next.Initialized && c.caughtUp
	next.PlatformUp = c.health.up
	if c.stale {
		next.Problems = append(next.Problems, Problem{Message: "the platform answers with an older state than the one in force; it is ignored"})
	}
	c.snapshot.Store(next)
	c.report(last, next)
	c.opts.OnChange(next)
}

func (c *Controller) report(last, next *Snapshot) {
	c.opts.Scope.Gauge("config_revision").Update(float64(next.Revision))
	c.opts.Scope.Gauge("config_objects").Update(float64(c.set.Len()))
	c.opts.Scope.Gauge("config_problems").Update(float64(len(next.Problems)))
	if next.Initialized != last.Initialized {
		c.opts.Logger.WithField("revision", next.Revision).Info("configuration in force")
	}
	if len(next.Problems) != len(last.Problems) {
		c.opts.Logger.WithField("problems", len(next.Problems)).Warn("configuration problems changed")
	}
}
