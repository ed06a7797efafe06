package node

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/connlimit"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/duty"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// heapShare is the part of the memory limit from which garbage is collected
	// more often rather than let the heap grow.
	heapShare = 0.6
	// bodyShare is the part of the memory limit that callers' bodies may take:
	// they are held once, and once more while they are sent.
	bodyShare = 0.2
	// gcPercent lets the heap grow more between collections than Go's default:
	// the live heap is small against the memory limit.
	gcPercent = 400
	// tolerated is the number of targets that a request may crash, and
	// quarantineTime how long it is refused then.
	tolerated      = 3
	quarantineTime = 5 * time.Minute
	// stopReserve is the part of the grace period kept for the end of the process.
	stopReserve = 400 * time.Millisecond
)

// Settings of a node.
type Settings struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Callers, Ready, Peer and Metrics are the IPs and ports to listen on. Peer
	// and Metrics may be empty.
	Callers, Ready, Peer, Metrics string
	// MemoryMB is the memory limit of the process, 0 for none.
	MemoryMB int
	// MaxFDs is the number of descriptors that the process may have open, 0 where
	// it is not bounded.
	MaxFDs int
	// Capacity is the share of processors that the process has.
	Capacity float64
	// DrainWithin bounds how long a leaving target may still get requests.
	DrainWithin time.Duration
	// StopLead is how long a stopping router still takes new connections, so that
	// the balancer has seen its readiness go off.
	StopLead time.Duration
	// Grace is the time from a planned stop until the process is killed.
	Grace time.Duration
	// RetryRatio and RetryExtra bound the fleet's retries in a window.
	RetryRatio, RetryExtra float64
	// ShareWindow is the window over which fair shares are kept.
	ShareWindow time.Duration
}

// Node is one router.
type Node struct {
	settings    Settings
	incarnation ids.Incarnation
	logger      *logrus.Entry
	scope       tally.Scope
	metrics     http.Handler
	metricsEnd  io.Closer

	scheduler *edge.Scheduler
	pool      *upstream.Pool
	server    *edge.Server
	log       *requestLog
	fleet     *fleet
	// callers are the callers' connections.
	callers *connlimit.Limit

	mu      sync.Mutex
	grace   time.Duration
	config  *routing.Config
	targets *routing.Targets

	suspects  *quarantine.Controller
	pressure  edge.LoadShedder
	directory *Directory
	// targetsAsOf is the store's revision at which the targets last changed.
	targetsAsOf atomic.Uint64

	fresh     freshness
	refresher Refresher

	draining atomic.Bool
	// duties run from Run's start to its end.
	duties []duty.Duty
	// background runs the listeners' servers, which Run closes.
	background conc.WaitGroup
	servers    []*http.Server
}

// New builds a node; Run starts it.
func New(s Settings, dialect edge.HeaderCodec, logger *logrus.Logger) *Node {
	now := time.Now()
	n := &Node{settings: s, incarnation: ids.Incarnation(now.UnixNano()), targets: routing.NewTargets(nil), grace: s.Grace}
	n.logger = logger.WithFields(logrus.Fields{"instance": s.Instance, "domain": s.Domain})
	n.scope, n.metrics, n.metricsEnd = obs.NewScope(nil)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(s.MemoryMB<<20)))
		debug.SetGCPercent(gcPercent)
	}
	n.scheduler = edge.NewScheduler(admit.Options{
		Domain:      s.Domain,
		ShareWindow: s.ShareWindow,
		Seed:        uint64(n.incarnation),
	}, n.logHealth)
	n.pool = upstream.NewPool(upstream.Options{
		DialTimeout: dialTimeout,
		Idle:        idleTimeout,
		Unacked:     unackedFor,
		MaxIdle:     n.maxIdle,
	})
	n.log = newRequestLog(n.logger)
	n.callers = connlimit.New(int(callerFDs * float64(s.MaxFDs)))
	n.directory = newDirectory(n)
	n.suspects = quarantine.New(quarantine.Options{
		Self:           s.Instance,
		Incarnation:    n.incarnation,
		Broadcast:      n.sendSuspects,
		Duration:       quarantineTime,
		DeathThreshold: tolerated,
		Logger:         n.logger,
		Scope:          n.scope,
	})
	n.server = edge.New(edge.Options{
		Headers:           dialect,
		Scheduler:         n.scheduler,
		Pool:              n.pool,
		Log:               n.log,
		Quarantine:        n.suspects,
		LoadShedder:       &n.pressure,
		IsNearConnLimit:   n.callers.Full,
		MaxTotalBodyBytes: int64(bodyShare * float64(s.MemoryMB<<20)),
		Scope:             n.scope,
		RetryRatio:        s.RetryRatio,
		RetryExtra:        s.RetryExtra,
	})
	return n
}

// Logger is the node's logger.
func (n *Node) Logger() *logrus.Entry { return n.logger }

// Reload takes the settings that may change while the node runs: the bounds of
// retries and of a planned stop. Names and addresses need a restart.
func (n *Node) Reload(s Settings) {
	n.mu.Lock()
	n.grace = s.Grace
	n.mu.Unlock()
	n.server.SetRetryBudget(s.RetryRatio, s.RetryExtra)
	old := n.settings
	if s.Instance != old.Instance || s.Domain != old.Domain || s.Callers != old.Callers || s.Ready != old.Ready || s.Peer != old.Peer {
		n.logger.Warn("the settings' names or addresses have changed; that needs a restart")
	}
}

// Scope is the node's metrics scope.
func (n *Node) Scope() tally.Scope { return n.scope }

// SetConfig puts a configuration in force if it is newer than the one held, and
// tells whether it was.
func (n *Node) SetConfig(c *routing.Config, source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config != nil && c.Version <= n.config.Version {
		return false
	}
	n.config = c
	n.scheduler.SetConfig(c)
	n.server.SetConfig(c)
	n.logger.WithFields(logrus.Fields{
		"version": c.Version, "routes": len(c.Routes), "services": len(c.Services), "source": source,
	}).Info("configuration in force")
	return true
}

// Config returns the configuration in force, or nil.
func (n *Node) Config() *routing.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}

// Directory returns the controller of the targets' list.
func (n *Node) Directory() *Directory { return n.directory }

// setTargets puts a list of targets in force.
func (n *Node) setTargets(all []routing.Target) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.targets
	n.targets = routing.NewTargets(all)
	n.scheduler.SetTargets(all)
	n.logTargets(old)
}

func (n *Node) logTargets(old *routing.Targets) {
	for _, t := range n.targets.All() {
		was, known := old.Get(t.ID)
		if !known || was != t {
			n.logger.WithFields(logrus.Fields{
				"target": t.ID, "service": t.Service, "address": t.Address, "leaving": t.Leaving, "born": t.Born,
			}).Info("target listed")
		}
	}
	for _, t := range old.All() {
		if _, still := n.targets.Get(t.ID); !still {
			n.logger.WithFields(logrus.Fields{"target": t.ID, "service": t.Service}).Info("target gone")
		}
	}
}

// logHealth notes that a target is ejected or restored.
func (n *Node) logHealth(change admit.HealthChange) {
	state := "target ejected"
	if change.Reachable {
		state = "target restored"
	}
	n.logger.WithFields(logrus.Fields{"target": change.Target, "fail_rate": change.FailureRate}).Info(state)
}

// ready tells whether the node can serve new connections.
func (n *Node) ready() bool {
	if n.pressure.ShouldDivert() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.draining.Load() && n.config != nil && n.targets.Len() > 0
}

// AddDuty adds a controller that runs while the node does; it must come before
// Run.
func (n *Node) AddDuty(d duty.Duty) { n.duties = append(n.duties, d) }

func (n *Node) addOwnDuties() {
	n.AddDuty(duty.Loop("scheduler", n.scheduler.Run))
	n.AddDuty(duty.Loop("request log", n.log.run))
	n.AddDuty(duty.Loop("targets", n.directory.run))
	n.AddDuty(duty.Loop("idle connections", n.sweep))
	n.AddDuty(duty.Loop("reading the store again", n.refresh))
	n.AddDuty(duty.Duty{Name: "pressure", Run: n.pressure.Run, Optional: true})
	n.AddDuty(duty.Duty{Name: "quarantine", Run: n.suspects.Run})
	if f := n.fleet; f != nil {
		n.AddDuty(duty.Duty{Name: "peer links", Run: f.mesh.Run})
		n.AddDuty(duty.Loop("reports", f.report))
		n.AddDuty(duty.Loop("pulls", f.pull))
	}
}

// Run serves until ctx ends, then stops as planned: readiness goes off, new
// connections are taken until the balancer has seen it, and running requests
// finish within the grace period. The error is that of a listener that could not
// be opened or of a duty that failed; the router can't go on without it.
func (n *Node) Run(ctx context.Context) error {
	defer n.metricsEnd.Close()
	callers, err := n.open()
	if err != nil {
		return err
	}
	n.addOwnDuties()
	duties := duty.Start(n.logger, n.duties)
	n.logger.WithFields(logrus.Fields{
		"callers": n.settings.Callers, "peer": n.settings.Peer, "metrics": n.settings.Metrics,
		"incarnation": uint64(n.incarnation),
	}).Info("router started")
	select {
	case <-ctx.Done():
		n.stop(callers)
	case err = <-duties.Failed():
		n.draining.Store(true)
	}
	for _, s := range n.servers {
		_ = s.Close()
	}
	duties.End()
	n.background.Wait()
	n.logger.Info("router stopped")
	n.log.flush()
	return err
}

func (n *Node) stop(server *http.Server) {
	n.logger.Info("router stopping")
	n.draining.Store(true)
	n.mu.Lock()
	grace := n.grace
	n.mu.Unlock()
	deadline := time.Now().Add(max(grace-stopReserve, n.settings.StopLead))
	time.Sleep(n.settings.StopLead)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.logger.WithError(err).Warn("requests were still running at the end of the grace period")
	}
}
