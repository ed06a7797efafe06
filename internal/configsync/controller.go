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

// Bounds of the controller.
const (
	// inboxSize bounds the messages that wait for the controller.
	inboxSize = 1024
	// maxMessageBytes is about how large a message to a peer becomes.
	maxMessageBytes = 128 << 10
	// maxTombstones are kept for peers that fell behind.
	maxTombstones = 4096
	// reconcileEvery is the interval of the level-triggered checks.
	reconcileEvery = 200 * time.Millisecond
)

// DefaultWatchers is how many routers of a failure domain watch the platform.
const DefaultWatchers = 2

// Options of a Controller.
type Options struct {
	Self   ids.Instance
	Domain ids.Domain
	// Platform is the object service. Required.
	Platform *platform.Client
	// Watchers is how many routers of a failure domain watch the platform.
	// Default DefaultWatchers.
	Watchers int
	// Send sends a message to a peer; it must not block, and may drop.
	Send func(to ids.Instance, msg *configv1.Message)
	// Live returns the other routers that can be reached.
	Live func() []Member
	// Changed is called with each new snapshot, from one goroutine; it must not
	// block. None where nil.
	Changed func(*Snapshot)
	// Logger gets a line for each change of state. Default the standard logger.
	Logger *logrus.Entry
	// Scope counts; none where nil.
	Scope tally.Scope
}

// Controller keeps the configuration in force.
type Controller struct {
	opts     Options
	snapshot atomic.Pointer[Snapshot]
	watching atomic.Bool
	inbox    chan incoming
	results  chan result
	kick     chan struct{}

	mu sync.Mutex
	// announced are the revisions that peers hold, by heartbeat or push.
	announced map[ids.Instance]uint64

	// The rest belongs to the goroutine of Run.
	set       *config.Set
	build     *builder
	started   time.Time
	startWait time.Duration
	// watch stops the watcher; nil while there is none.
	watch  context.CancelFunc
	pulls  pulls
	names  namePulls
	health health
	stale  bool
	// caughtUp is set once the start is over.
	caughtUp bool
}

// incoming is a message from a peer.
type incoming struct {
	from ids.Instance
	msg  *configv1.Message
}

// New returns a controller; Run starts it.
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
	if o.Changed == nil {
		o.Changed = func(*Snapshot) {}
	}
	set := config.New(parse)
	c := &Controller{
		opts:      o,
		inbox:     make(chan incoming, inboxSize),
		results:   make(chan result),
		kick:      make(chan struct{}, 1),
		announced: map[ids.Instance]uint64{},
		set:       set,
		build:     newBuilder(set),
	}
	c.snapshot.Store(empty())
	return c
}

// Snapshot returns the configuration in force.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Watching tells whether this router's own watch of the platform works; for
// heartbeats.
func (c *Controller) Watching() bool { return c.watching.Load() }

// Receive takes a message from a peer. It does not block: a message over the
// bound of the inbox is dropped and counted, and made up for by a pull.
func (c *Controller) Receive(from ids.Instance, msg *configv1.Message) {
	select {
	case c.inbox <- incoming{from, msg}:
	default:
		c.opts.Scope.Counter("config_dropped").Inc(1)
	}
}

// PeerRevision takes the revision that a peer's heartbeat names. It may be lower
// than the last one: the peer has restarted then.
func (c *Controller) PeerRevision(from ids.Instance, revision uint64) {
	c.mu.Lock()
	c.announced[from] = revision
	c.mu.Unlock()
	if revision <= c.Snapshot().Revision {
		return
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run works until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	c.started = time.Now()
	c.startWait = rand.N(listJitter)
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	ticker := time.NewTicker(reconcileEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-c.inbox:
			c.handle(in)
		case res := <-c.results:
			res.taken <- c.takeResult(res)
		case <-c.kick:
			c.reconcile(ctx, &wg, time.Now())
		case <-ticker.C:
			c.reconcile(ctx, &wg, time.Now())
		}
	}
}

// reconcile compares what runs with what should, and mends the difference.
func (c *Controller) reconcile(ctx context.Context, wg *conc.WaitGroup, now time.Time) {
	peers := c.opts.Live()
	c.forgetGone(peers)
	c.reconcileWatch(ctx, wg, peers, now)
	c.reconcilePull(peers, now)
	c.reconcileNames(peers, now)
	c.reconcileStart(peers, now)
	c.reconcileRevision(peers)
	c.reconcileHealth(peers)
}

// forgetGone drops what peers announced that are gone: they may come back
// without memory.
func (c *Controller) forgetGone(peers []Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.announced {
		if !slices.ContainsFunc(peers, func(m Member) bool { return m.Instance == id }) {
			delete(c.announced, id)
		}
	}
}

func (c *Controller) announcedBy(id ids.Instance) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.announced[id]
}

// handle takes in a message from a peer.
func (c *Controller) handle(in incoming) {
	prev := c.set.Revision()
	known := c.set.IsInitialized()
	var res config.Result
	switch b := in.msg.GetBody().(type) {
	case *configv1.Message_Push:
		c.count("push")
		res = c.takePush(in.from, b.Push)
	case *configv1.Message_Pull:
		c.count("pull")
		if answer := c.set.AnswerPull(b.Pull, maxMessageBytes); answer != nil {
			c.opts.Send(in.from, answer)
		}
		return
	case *configv1.Message_Page:
		c.count("page")
		res = c.takePage(in.from, b.Page)
	default:
		c.count("unknown")
		return
	}
	c.took(res, prev, known, in.from)
}

func (c *Controller) count(kind string) {
	c.opts.Scope.Tagged(map[string]string{"kind": kind}).Counter("config_received").Inc(1)
}

// takeResult takes in what a call to the platform brought.
func (c *Controller) takeResult(res result) verdict {
	c.platformAnswered(res.err)
	if res.err != nil {
		known := c.set.IsInitialized() && !errors.Is(res.err, platform.ErrCompacted)
		return verdict{since: c.set.CompleteRevision(), known: known}
	}
	prev, known := c.set.Revision(), c.set.IsInitialized()
	var out config.Result
	if res.lists != nil {
		out = c.set.ApplyList(res.lists)
	} else {
		out = c.set.ApplyWatch(res.since, res.revision, res.events)
	}
	c.took(out, prev, known, c.opts.Self)
	c.noteStale(out.Stale)
	return verdict{since: c.set.CompleteRevision(), known: c.set.IsInitialized(), stale: out.Stale}
}

// took relays and publishes what an input changed.
func (c *Controller) took(res config.Result, prev uint64, known bool, source ids.Instance) {
	if known && c.set.Revision() > prev {
		c.relay(prev, source)
	}
	if len(res.Changed) == 0 && c.set.Revision() == prev && c.set.IsInitialized() == known {
		return
	}
	c.set.TrimTombstones(maxTombstones)
	c.publish(res.Changed)
}

func (c *Controller) publish(changed []config.Key) {
	last := c.Snapshot()
	next := c.build.build(last, changed)
	next.Known = next.Known && c.caughtUp
	next.PlatformUp = c.health.up
	if c.stale {
		next.Problems = append(next.Problems, Problem{Message: "the platform answers with an older state than the one in force; it is ignored"})
	}
	c.snapshot.Store(next)
	c.report(last, next)
	c.opts.Changed(next)
}

func (c *Controller) report(last, next *Snapshot) {
	c.opts.Scope.Gauge("config_revision").Update(float64(next.Revision))
	c.opts.Scope.Gauge("config_objects").Update(float64(c.set.Len()))
	c.opts.Scope.Gauge("config_problems").Update(float64(len(next.Problems)))
	if next.Known != last.Known {
		c.opts.Logger.WithField("revision", next.Revision).Info("configuration in force")
	}
	if len(next.Problems) != len(last.Problems) {
		c.opts.Logger.WithField("problems", len(next.Problems)).Warn("configuration problems changed")
	}
}
