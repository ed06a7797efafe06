package sched

import (
	"time"

	"github.com/google/btree"

	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/limit"
	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/core/rendezvous"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// maxConvergePasses bounds the passes of one step over dispatching, returning
	// permits and requesting permits. A pass can trigger another one where the
	// owner and the holder of a group are the same router.
	maxConvergePasses = 8
	// btreeDegree is the degree of the B-trees.
	btreeDegree = 16
)

// Scheduler is the scheduler of one router. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	now      time.Time
	actions  []Action

	routers     map[ids.Instance]Router
	routerNames []ids.Instance
	liveRouters *rendezvous.Set

	accounts    *account.Table
	accountHome *account.Home
	limiters    map[ids.Workspace]*workspaceLimiter
	limitHome   *limit.Home
	// parkedLimiters lists the limiters that have parked flows.
	parkedLimiters []*workspaceLimiter

	shares          map[ids.Workspace]Share
	limitedShares   map[uint64]Share // by hash of the workspace name
	targets         []Target
	previousTargets map[ids.Target]bool // of the last SetTargets event; nil before the first
	pools           map[ids.Pool]*pool
	poolNames       []ids.Pool
	capacities      map[string]*capacity
	groups          map[uint32]*group
	groupIDs        []uint32
	activeGroups    []*group // see updateActiveGroups
	members         map[ids.Target]*member
	lastSession     uint32

	requests    map[RequestID]*request
	deadlines   *btree.BTreeG[*request]
	fifoAccount *account.Account

	peers        map[ids.Instance]*peer
	pendingPeers []*peer // with an outgoing message
	quotaPeers   []*peer // with a nextQuota
	byteBudget   byteBudget
	nextRound    time.Time
	nextEvict    time.Time
	startedAt    time.Time
	draining     bool

	// Pools and groups to be examined by converge.
	dirtyPools  []*pool
	dirtyGroups []*group
	// Requests whose accounts may have become backlogged, or may no longer be.
	maybeBacklogged []*request
	maybeIdle       []*request
}

// New returns a scheduler without routers, targets or workspaces. An unset
// ReportInterval, Tolerance or Mode gets its default.
func New(settings Settings) *Scheduler {
	if settings.ReportInterval <= 0 {
		settings.ReportInterval = DefaultReportInterval
	}
	if settings.Tolerance <= 0 {
		settings.Tolerance = DefaultTolerance
	}
	if settings.Mode == "" {
		settings.Mode = ModeFleet
	}
	return &Scheduler{
		settings:      settings,
		routers:       map[ids.Instance]Router{},
		liveRouters:   rendezvous.New(nil),
		accounts:      account.NewTable(),
		accountHome:   account.NewHome(),
		limiters:      map[ids.Workspace]*workspaceLimiter{},
		limitHome:     limit.NewHome(),
		shares:        map[ids.Workspace]Share{},
		limitedShares: map[uint64]Share{},
		pools:         map[ids.Pool]*pool{},
		capacities:    map[string]*capacity{},
		groups:        map[uint32]*group{},
		members:       map[ids.Target]*member{},
		requests:      map[RequestID]*request{},
		deadlines:     btree.NewG(btreeDegree, deadlineLess),
		fifoAccount:   &account.Account{Weight: 1},
		peers:         map[ids.Instance]*peer{},
	}
}

// Step processes one event that happened at the given time and returns the
// resulting actions in the order in which they must be performed.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	s.now, s.actions = now, nil
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.handle(ev)
	s.converge()
	s.send()
	return s.actions
}

func (s *Scheduler) handle(ev Event) {
	switch e := ev.(type) {
	case Submit:
		s.submit(e.Request)
	case Cancel:
		s.cancel(e.ID)
	case Progress:
		s.progress(e)
	case Finish:
		s.finish(e)
	case Receive:
		s.receive(e.From, e.Msg)
	case Tick:
		s.tick()
	case SetRouters:
		s.setRouters(e.Routers)
	case SetTargets:
		s.setTargets(e.Targets)
	case PatchShares:
		s.patchShares(e)
	case SetShares:
		s.setShares(e.Shares)
	case Load:
		s.observeLoad(e)
	case Drain:
		s.drain()
	}
}

// converge repeats dispatching and the exchange of permits after an event until
// no pool or group is dirty, for at most maxConvergePasses passes.
func (s *Scheduler) converge() {
	for range maxConvergePasses {
		if len(s.dirtyPools) == 0 && len(s.dirtyGroups) == 0 {
			break
		}
		s.dispatchDirtyPools()
		s.updateBacklogs()
		s.exchangeDirtyGroups()
	}
}

// isFleetMode reports whether targets are shared over the fleet.
func (s *Scheduler) isFleetMode() bool { return s.settings.Mode == ModeFleet }

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

func (s *Scheduler) markPoolDirty(p *pool) {
	if !p.dirty {
		p.dirty = true
		s.dirtyPools = append(s.dirtyPools, p)
	}
}

// markGroupDirty marks a group and its pools dirty.
func (s *Scheduler) markGroupDirty(g *group) {
	if !g.dirty {
		g.dirty = true
		s.dirtyGroups = append(s.dirtyGroups, g)
	}
	for _, p := range g.pools {
		s.markPoolDirty(p)
	}
}

// request is a waiting or running request.
type request struct {
	Request
	entry        *queue.Entry
	queueAccount *account.Account // whose flow holds the request while it waits
	payer        *account.Account // charged for the service
	pool         *pool
	arrivedAt    time.Time

	member       *member // nil while waiting
	startedAt    time.Time
	chargedUnits float64 // charged to the payer
	spentUnits   float64 // counted against the contract's allowance
}

func deadlineLess(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}
