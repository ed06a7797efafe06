package node

import (
	"context"
	"io"
	"net"
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
	"github.com/umberhill/umberhill/internal/core/catchup"
	"github.com/umberhill/umberhill/internal/core/stopplan"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/duty"
	"github.com/umberhill/umberhill/internal/edge"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/linkload"
	"github.com/umberhill/umberhill/internal/obs"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// memoryLimitShare is the fraction of the process's memory limit that is set as
	// Go's soft memory limit: above it, garbage is collected more often instead of
	// letting the heap grow.
	memoryLimitShare = 0.6
	// bodyShare is the fraction of the memory limit that callers' request bodies may
	// use. A body is held in memory once, and a second time while it is sent.
	bodyShare = 0.2
	// responseShare is the fraction of the memory limit that targets' responses may use
	// beyond the first bytes of each. Their bodies are held in memory once.
	responseShare = 0.15
	// maxTargetCrashes is the number of targets that a request may crash before it is
	// quarantined, and quarantineDuration how long it is then refused.
	maxTargetCrashes   = 3
	quarantineDuration = 5 * time.Minute
	// exitReserve is the part of the grace period that is reserved for the exit of
	// the process.
	exitReserve = 400 * time.Millisecond
)

// Settings are the settings of a node.
type Settings struct {
	Instance ids.Instance
	Domain   ids.Domain
	// Regions maps failure domains to regions. The region of other domains is unknown.
	Regions map[ids.Domain]string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are the IPs and
	// ports to listen on. PeerAddress and MetricsAddress may be empty.
	CallerAddress, ReadyAddress, PeerAddress, MetricsAddress string
	// MemoryMB is the memory limit of the process in MiB, 0 for none.
	MemoryMB int
	// MaxFDs is the number of file descriptors that the process may have open, 0 for
	// no limit.
	MaxFDs int
	// FirstStart is set if the whole system starts for the first time, so that nothing has
	// run before.
	FirstStart bool
	// Capacity is the process's share of processors.
	Capacity float64
	// LinkBitsPerSecond is the bandwidth of the router's network link, 0 if unknown.
	LinkBitsPerSecond float64
	// ConfigDelay bounds the time from a change of the configuration until the router
	// applies it; callers may go by it earlier.
	ConfigDelay time.Duration
	// DrainTimeout bounds how long a draining target may still receive requests.
	DrainTimeout time.Duration
	// CheckInInterval is the interval at which targets write their entries, 0 if unknown. An entry
	// lapses after three without a write.
	CheckInInterval time.Duration
	// EvacuationDelay bounds the time from the evacuation of a failure domain until its
	// targets get no more requests. If it is 0, there are no evacuations.
	EvacuationDelay time.Duration
	// StopLead is how long a stopping router still accepts new connections, so that
	// the load balancer detects that it is not ready before they are refused.
	StopLead time.Duration
	// GracePeriod is the time from the start of a graceful stop until the process is
	// killed.
	GracePeriod time.Duration
	// RetryRatio and RetryExtra limit the fleet's retries, see edge.Options.
	RetryRatio, RetryExtra float64
	// ShareWindow is the window over which fair shares are enforced.
	ShareWindow time.Duration
	// ColdBound bounds the requests to a cold target in any one second.
	ColdBound targetlimit.Bound
}

// Node is one router.
type Node struct {
	settings      Settings
	incarnation   ids.Incarnation
	createdAt     time.Time
	logger        *logrus.Entry
	scope         tally.Scope
	metrics       http.Handler
	metricsCloser io.Closer

	scheduler *edge.Scheduler
	pool      *upstream.Pool
	server    *edge.Server
	log       *requestLog
	fleet     *fleet
	// callerConns limits the callers' connections.
	callerConns *connlimit.Limiter

	mu          sync.Mutex
	gracePeriod time.Duration
	config      *routing.Config
	// callerTimeouts are those in force.
	callerTimeouts connlimit.Timeouts
	targets        *routing.Targets
	// targetsHeld is set while the scheduler lacks the targets since the evacuations are
	// not known.
	targetsHeld bool

	quarantine    *quarantine.Controller
	streamOrigins *streamOrigins
	releaseRecord ReleaseRecord
	loadShedder   edge.LoadShedder
	collector     collector
	directory     *Directory
	evacuations   *Evacuations
	coldTargets   *coldTargets
	// configState and targetsState are the state of the store that routers pull from each
	// other.
	configState, targetsState *syncedState
	// spread is this router's place, in [0, 1), among those that do the same at the same time.
	spread float64
	// refreshes are the reads of the store, which requests may wait for.
	refreshes *freshCalls

	draining atomic.Bool
	// duties run for the duration of Run.
	duties []duty.Duty
	// background runs the listeners' servers, which Run closes.
	background conc.WaitGroup
	servers    []*http.Server
}

// New returns a node that is not yet running. Run starts it.
func New(s Settings, headers edge.HeaderCodec, logger *logrus.Logger) *Node {
	now := time.Now()
	n := &Node{settings: s, incarnation: ids.Incarnation(now.UnixNano()), createdAt: now, targets: routing.NewTargets(nil), gracePeriod: s.GracePeriod, refreshes: newFreshCalls(listReadInterval)}
	n.logger = logger.WithFields(logrus.Fields{"instance": s.Instance, "domain": s.Domain})
	n.scope, n.metrics, n.metricsCloser = obs.NewScope(nil)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryMB<<20)))
	}
	n.collector = newCollector(s.MemoryMB > 0)
	n.scope.Gauge("gc_percent").Update(float64(n.collector.percent))
	n.scheduler = edge.NewScheduler(admit.Options{
		Domain:       s.Domain,
		ShareWindow:  s.ShareWindow,
		DrainTimeout: s.DrainTimeout,
		Seed:         uint64(n.incarnation),
	}, n.logHealth)
	link := linkload.New(s.LinkBitsPerSecond)
	n.loadShedder.SetLinkMeter(link)
	n.pool = upstream.NewPool(upstream.Options{
		LinkMeter:      link,
		DialTimeout:    dialTimeout,
		IdleTimeout:    idleTimeout,
		TCPUserTimeout: unackedTimeout,
		MaxIdleConns:   n.maxIdle,
	})
	n.log = newRequestLog(n.logger)
	n.callerConns = connlimit.New(int(callerFDShare*float64(s.MaxFDs)), n.recordCallerClose)
	n.callerConns.SetLinkMeter(link)
	n.callerTimeouts = n.newCallerTimeouts(routing.Limits{})
	for _, reason := range connlimit.Reasons {
		n.callerConnsClosed(reason).Inc(0)
	}
	n.configState, n.targetsState = newSyncedState(n, methodConfig), newSyncedState(n, methodTargets)
	n.spread = catchup.SpreadOf(s.Instance)
	n.directory = newDirectory(n)
	n.targetsState.onRead = n.directory.recordComplete
	n.evacuations = newEvacuations(n)
	n.coldTargets = newColdTargets(n)
	n.streamOrigins = newStreamOrigins(n)
	n.quarantine = quarantine.New(quarantine.Options{
		Self:           s.Instance,
		Incarnation:    n.incarnation,
		Broadcast:      n.sendQuarantine,
		Send:           n.sendQuarantineTo,
		Duration:       quarantineDuration,
		DeathThreshold: maxTargetCrashes,
		Logger:         n.logger,
		Scope:          n.scope,
	})
	n.server = edge.New(edge.Options{
		Headers:               headers,
		Scheduler:             n.scheduler,
		Pool:                  n.pool,
		Log:                   n.log,
		Quarantine:            n.quarantine,
		StreamOrigins:         n.streamOrigins,
		LoadShedder:           &n.loadShedder,
		IsNearConnLimit:       n.callerConns.IsAboveLimit,
		ConnCloseShare:        n.callerConns.CloseShare,
		MaxTotalBodyBytes:     int64(bodyShare * float64(s.MemoryMB<<20)),
		MaxTotalResponseBytes: int64(responseShare * float64(s.MemoryMB<<20)),
		Scope:                 n.scope,
		RetryRatio:            s.RetryRatio,
		RetryExtra:            s.RetryExtra,
	})
	n.callerConns.SetScreen(screen{n})
	return n
}

// screen refuses requests early while the node does not stop: its responses then ask all callers to
// close their connections.
type screen struct{ *Node }

// Enabled implements connlimit.Screen.
func (s screen) Enabled() bool { return s.server.Enabled() && !s.draining.Load() }

// Screen implements connlimit.Screen.
func (s screen) Screen(request []byte, mustClose bool) (response []byte, closes bool) {
	return s.server.Screen(request, mustClose)
}

// Logger returns the node's logger.
func (n *Node) Logger() *logrus.Entry { return n.logger }

// Reload applies the settings that may change while the node runs: the retry budget
// and the grace period. Changes to names and addresses need a restart.
func (n *Node) Reload(s Settings) {
	n.mu.Lock()
	n.gracePeriod = s.GracePeriod
	n.mu.Unlock()
	n.server.SetRetryBudget(s.RetryRatio, s.RetryExtra)
	old := n.settings
	if s.Instance != old.Instance || s.Domain != old.Domain || s.CallerAddress != old.CallerAddress || s.ReadyAddress != old.ReadyAddress || s.PeerAddress != old.PeerAddress {
		n.logger.Warn("names or addresses in the settings have changed; restart the router to apply them")
	}
}

// Scope returns the node's metrics scope.
func (n *Node) Scope() tally.Scope { return n.scope }

// SetConfig applies a configuration if its version is newer than the current one,
// and reports whether it was. source names the origin of the configuration in the
// log.
func (n *Node) SetConfig(c *routing.Config, source string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.config != nil && c.Version <= n.config.Version {
		return false
	}
	n.config = c
	n.callerTimeouts = n.newCallerTimeouts(c.Limits)
	n.scheduler.SetConfig(c)
	n.server.SetConfig(c)
	change := n.configState.recordHeld(c.Version)
	n.logger.WithFields(logrus.Fields{
		"version": c.Version, "routes": len(c.Routes), "services": len(c.Services), "source": source,
		"known_ms": change.KnownFor.Milliseconds(), "max_delay_ms": change.MaxDelay.Milliseconds(),
	}).Info("configuration in force")
	return true
}

// Config returns the current configuration, or nil if there is none.
func (n *Node) Config() *routing.Config {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config
}

// Directory returns the controller of the list of targets.
func (n *Node) Directory() *Directory { return n.directory }

// Quarantine returns the controller that refuses requests which crash targets.
func (n *Node) Quarantine() *quarantine.Controller { return n.quarantine }

// Evacuations returns the controller of the set of evacuated failure domains.
func (n *Node) Evacuations() *Evacuations { return n.evacuations }

// setTargets applies a list of targets. Until the evacuations are known they get no
// requests: one might go to an evacuated domain.
func (n *Node) setTargets(all []routing.Target, update targetsUpdate) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := range all {
		all[i].Region = n.settings.Regions[all[i].Domain]
	}
	old := n.targets
	n.targets = routing.NewTargets(all)
	switch {
	case !n.evacuations.isAwaited.Load():
		n.targetsHeld = false
		n.scheduler.SetTargets(all)
	case !n.targetsHeld:
		n.targetsHeld = true
		time.AfterFunc(n.evacuations.startWait(), n.evacuations.stopWaiting)
	}
	n.streamOrigins.setTargets(all)
	n.logTargets(old, update)
}

// releaseTargets lets the targets get requests that awaited the evacuations.
func (n *Node) releaseTargets() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.targetsHeld {
		n.targetsHeld = false
		n.scheduler.SetTargets(n.targets.All())
	}
}

func (n *Node) logTargets(old *routing.Targets, u targetsUpdate) {
	origin := logrus.Fields{"source": u.source, "max_delay_ms": u.age.Milliseconds()}
	for _, t := range n.targets.All() {
		previous, known := old.Get(t.ID)
		if !known || !previous.HasSameContent(t) {
			n.logger.WithFields(origin).WithFields(logrus.Fields{
				"target": t.ID, "service": t.Service, "address": t.Address, "leaving": t.Draining, "born": t.StartTimeMS,
				"target_version": t.SoftwareVersion,
			}).Info("target listed")
		}
	}
	for _, t := range old.All() {
		if _, listed := n.targets.Get(t.ID); !listed {
			drop := u.news.Drops[t.ID]
			n.logger.WithFields(origin).WithFields(logrus.Fields{
				"target": t.ID, "service": t.Service, "cause": drop.Cause, "missing_ms": drop.MissingFor.Milliseconds(),
			}).Info("target gone")
		}
	}
}

// logHealth logs that a target is ejected or restored.
func (n *Node) logHealth(change admit.HealthChange) {
	state := "target ejected"
	if change.Reachable {
		state = "target restored"
	}
	n.logger.WithFields(logrus.Fields{"target": change.Target, "fail_rate": change.FailureRate}).Info(state)
}

// isReady reports whether the node can serve new connections.
func (n *Node) isReady() bool {
	if n.loadShedder.ShouldDivert() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.draining.Load() && n.config != nil && n.targets.Len() > 0 && !n.targetsHeld
}

// AddDuty adds a controller that runs while the node runs. It must be called before
// Run.
func (n *Node) AddDuty(d duty.Duty) { n.duties = append(n.duties, d) }

func (n *Node) addOwnDuties() {
	n.AddDuty(duty.Loop("scheduler", n.scheduler.Run))
	n.AddDuty(duty.Loop("request log", n.log.run))
	n.AddDuty(duty.Loop("load log", n.logLoad))
	n.AddDuty(duty.Loop("targets", n.directory.run))
	n.AddDuty(duty.Loop("cold targets", n.coldTargets.run))
	n.AddDuty(duty.Loop("idle connections", n.closeIdleConns))
	n.AddDuty(duty.Loop("reading the store again", n.refresh))
	n.AddDuty(duty.Duty{Name: "pressure", Run: n.loadShedder.Run, Optional: true})
	n.AddDuty(duty.Duty{Name: "quarantine", Run: n.quarantine.Run})
	n.AddDuty(duty.Loop("garbage collection", n.paceCollector))
	if f := n.fleet; f != nil {
		n.AddDuty(duty.Duty{Name: "peer links", Run: f.mesh.Run})
		n.AddDuty(duty.Loop("reports", f.report))
		n.AddDuty(duty.Loop("pulls of the configuration", n.configState.catchUp))
		n.AddDuty(duty.Loop("pulls of the targets", n.targetsState.catchUp))
	}
}

// Run serves until ctx ends, then stops gracefully: the node reports that it is not
// ready, accepts new connections for StopLead so that the load balancer detects
// this, and lets running requests finish within the grace period. Run returns an
// error if a listener cannot be opened or a duty fails, because the router cannot
// run without them.
func (n *Node) Run(ctx context.Context) error {
	defer n.metricsCloser.Close()
	callers, err := n.openListeners()
	if err != nil {
		return err
	}
	n.addOwnDuties()
	duties := duty.Start(n.logger, n.duties)
	n.logger.WithFields(logrus.Fields{
		"callers": n.settings.CallerAddress, "peer": n.settings.PeerAddress, "metrics": n.settings.MetricsAddress,
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
	duties.Stop()
	n.background.Wait()
	n.logger.Info("router stopped")
	n.log.flush()
	return err
}

// stop lets running requests finish, and those that arrive on open connections and can end
// before the process does. http.Server.Shutdown would drop a request that it reads after it has begun.
func (n *Node) stop(callers net.Listener) {
	begin := time.Now()
	n.draining.Store(true)
	n.mu.Lock()
	grace := n.gracePeriod
	n.mu.Unlock()
	limit := max(grace-exitReserve, n.settings.StopLead)
	deadline := time.After(limit)
	plan := stopplan.New(begin, n.settings.StopLead, limit)
	n.server.Stop(plan)
	n.logger.WithFields(logrus.Fields{
		"last_start_ms": plan.LastStart.Sub(begin).Milliseconds(), "end_ms": plan.End.Sub(begin).Milliseconds(),
	}).Info("router stopping")
	time.Sleep(n.settings.StopLead)
	_ = callers.Close()
	select {
	case <-n.callerConns.Drain():
	case <-deadline:
		n.logger.Warn("callers' server did not shut down within the grace period; running requests are aborted")
	}
}
