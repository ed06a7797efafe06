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
	// maxPasses bounds how often a step goes round dispatching, returning and
	// asking, where owner and holder are the same router.
	maxPasses = 8
	// treeDegree of the ordered trees.
	treeDegree = 16
)

// Scheduler is one router's scheduler. It is not safe for concurrent use.
type Scheduler struct {
	cfg Settings
	now time.Time
	out []Action

	routers map[ids.Instance]Router
	names   []ids.Instance
	live    *rendezvous.Set

	book  *account.Table
	home  *account.Home
	gates map[ids.Workspace]*gate
	quota *limit.Home
	// parked gates hold up requests.
	parked []*gate

	shares     map[ids.Workspace]Share
	limited    map[uint64]Share // by the hash of the workspace
	targets    []Target
	known      map[ids.Target]bool
	pools      map[ids.Pool]*pool
	poolNames  []ids.Pool
	capacities map[string]*capacity
	groups     map[uint32]*group
	groupIDs   []uint32
	ours       []*group // used or owned by this router
	members    map[ids.Target]*member
	session    uint32

	requests  map[RequestID]*request
	deadlines *btree.BTreeG[*request]
	fifo      *account.Account

	peers     map[ids.Instance]*peer
	pending   []*peer // with a message put together
	quotas    []*peer // with a quota for the next round
	budget    budget
	nextRound time.Time
	nextEvict time.Time
	born      time.Time
	draining  bool

	dirtyPools  []*pool
	dirtyGroups []*group
	pushed      []*request
	drained     []*request
}

// New returns a scheduler that knows no routers, targets or workspaces.
func New(cfg Settings) *Scheduler {
	if cfg.ReportInterval <= 0 {
		cfg.ReportInterval = DefaultReportInterval
	}
	if cfg.Tolerance <= 0 {
		cfg.Tolerance = DefaultTolerance
	}
	if cfg.Mode == "" {
		cfg.Mode = ModeFleet
	}
	return &Scheduler{
		cfg:        cfg,
		routers:    map[ids.Instance]Router{},
		live:       rendezvous.New(nil),
		book:       account.NewTable(),
		home:       account.NewHome(),
		gates:      map[ids.Workspace]*gate{},
		quota:      limit.NewHome(),
		shares:     map[ids.Workspace]Share{},
		limited:    map[uint64]Share{},
		pools:      map[ids.Pool]*pool{},
		capacities: map[string]*capacity{},
		groups:     map[uint32]*group{},
		members:    map[ids.Target]*member{},
		requests:   map[RequestID]*request{},
		deadlines:  btree.NewG(treeDegree, deadlineLess),
		fifo:       &account.Account{Weight: 1},
		peers:      map[ids.Instance]*peer{},
	}
}

// Step takes in one event and returns what is to be done, in order.
func (s *Scheduler) Step(now time.Time, ev Event) []Action {
	s.now, s.out = now, nil
	if s.born.IsZero() {
		s.born = now
	}
	s.handle(ev)
	s.settle()
	s.send()
	return s.out
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
		s.load(e)
	case Drain:
		s.drain()
	}
}

// settle brings dispatch, returns and asks to rest after an event.
func (s *Scheduler) settle() {
	for range maxPasses {
		if len(s.dirtyPools) == 0 && len(s.dirtyGroups) == 0 {
			break
		}
		s.dispatchDirty()
		s.backlog()
		s.exchangeDirty()
	}
}

// fleet tells whether targets are shared over the fleet.
func (s *Scheduler) fleet() bool { return s.cfg.Mode == ModeFleet }

func (s *Scheduler) emit(a Action) { s.out = append(s.out, a) }

func (s *Scheduler) markPool(p *pool) {
	if !p.dirty {
		p.dirty = true
		s.dirtyPools = append(s.dirtyPools, p)
	}
}

func (s *Scheduler) markGroup(g *group) {
	if !g.dirty {
		g.dirty = true
		s.dirtyGroups = append(s.dirtyGroups, g)
	}
	for _, p := range g.pools {
		s.markPool(p)
	}
}

// request is a request that waits or runs.
type request struct {
	Request
	entry   *queue.Entry
	line    *account.Account // orders the queue
	payer   *account.Account // pays
	pool    *pool
	arrived time.Time

	member  *member // nil while waiting
	started time.Time
	charged float64
	spent   float64
}

func deadlineLess(a, b *request) bool {
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ID < b.ID
}
