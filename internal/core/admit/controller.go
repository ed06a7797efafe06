package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// Untuned first values; patience made no difference in the replay
// (docs/design/ADMISSION.md).
const (
	// patience is the part of a request's time after which it is refused if it
	// still waits, so that the caller has time to come back.
	patience = 0.25
	// retryFirst and retryLast bound the Retry-After of a refusal.
	retryFirst = 300 * time.Millisecond
	retryLast  = 4 * time.Second
	// retrySpread spreads the returns of callers that were refused together.
	retrySpread = 0.5
	// noTargetRetry is the Retry-After where a service has no usable target:
	// about the time of a target's restart.
	noTargetRetry = time.Second
	// startShare is the part of the objective that must be left for a request
	// to be taken into the queue.
	startShare = 0.9
	// maxScan bounds the requests at the head of a queue for which a target is
	// looked for at a time.
	maxScan = 24
	// maxQueue bounds the requests that wait for one service.
	maxQueue = 2000
)

// Options of a Controller.
type Options struct {
	// Domain of this router.
	Domain ids.Domain
	// Window over which fair shares are kept.
	Window time.Duration
	// Seed of the spread of Retry-After.
	Seed uint64
}

// Controller is the state machine of one router. It is not safe for concurrent use.
type Controller struct {
	opts     Options
	random   *rand.Rand
	window   *share.Window
	services map[string]*service
	targets  map[ids.Target]*target
	flights  map[ID]*flight
	// changes are those of what is believed of targets, until taken.
	changes []HealthChange
	// throughput of all engines in tokens a second, 0 where not known.
	throughput float64
}

// New returns an empty controller.
func New(o Options) *Controller {
	return &Controller{
		opts:     o,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		window:   share.New(o.Window),
		services: make(map[string]*service),
		targets:  make(map[ids.Target]*target),
		flights:  make(map[ID]*flight),
	}
}

// SetConfig takes a configuration into account.
func (ac *Controller) SetConfig(c *routing.Config) {
	ac.throughput = c.Limits.TokensPerSecond
	for name, conf := range c.Services {
		ac.service(name).conf = conf
	}
	ac.setPriors()
}

// SetTargets replaces the known targets. A later run of a target starts with
// nothing of what was known of the earlier one.
func (ac *Controller) SetTargets(all []routing.Target) {
	for _, s := range ac.services {
		s.targets = nil
	}
	seen := make(map[ids.Target]bool, len(all))
	for _, t := range all {
		seen[t.ID] = true
		known := ac.targets[t.ID]
		if known == nil || !known.SameRun(t) {
			known = newTarget(t)
			ac.targets[t.ID] = known
		}
		known.Target = t
		s := ac.service(t.Service)
		s.targets = append(s.targets, known)
	}
	for id := range ac.targets {
		if !seen[id] {
			delete(ac.targets, id)
		}
	}
	for _, s := range ac.services {
		slices.SortFunc(s.targets, func(a, b *target) int { return compare(a.ID, b.ID) })
	}
	ac.setPriors()
}

func compare(a, b ids.Target) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// setPriors derives the reading rate expected of an engine until it is learned.
func (ac *Controller) setPriors() {
	engines := 0
	for _, s := range ac.services {
		if s.engine() {
			engines += len(s.targets)
		}
	}
	for _, s := range ac.services {
		if s.latency != nil || (s.engine() && engines == 0) {
			continue
		}
		prior := 0.0
		if s.engine() {
			prior = ac.throughput / float64(engines) / 1000
		}
		s.latency = newLatencyModel(prior)
	}
}

func (ac *Controller) service(name string) *service {
	s := ac.services[name]
	if s == nil {
		s = &service{name: name, backlog: make(map[ids.Instance]peerBacklog), refused: make(map[refusalKind]refusal)}
		ac.services[name] = s
	}
	return s
}

// Submit decides on a request: it goes to a target, waits, or is refused.
func (ac *Controller) Submit(now time.Time, r Request) Verdict {
	s := ac.services[r.Service]
	if s == nil || s.latency == nil {
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.spread(noTargetRetry)}
	}
	s.noteObjective(now, r.Objective)
	if s.engine() {
		ac.window.Ask(now, r.Workspace, r.tokens())
	}
	rank := ac.rank(now, s, &r)
	if v, refused := ac.refuseAsBefore(now, s, &r, rank); refused {
		return v
	}
	if rank == share.Excess {
		return ac.submitExcess(now, s, &r)
	}
	c, found := s.choose(now, &r, ac.opts.Domain, rank)
	if !found {
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.spread(noTargetRetry)}
	}
	wait := time.Duration(float64(s.queueWait(now)) * s.queue.partAhead(r.Priority))
	c.inputs.QueueWait = wait
	if c.room && !s.queue.hasBefore(rank, r.Priority) {
		return ac.send(now, s, &r, c)
	}
	return ac.enqueue(now, s, &r, c, wait)
}

// submitExcess decides on a request of a workspace that has had its share: it
// goes to any target that has room, and never waits.
func (ac *Controller) submitExcess(now time.Time, s *service, r *Request) Verdict {
	c, found := s.chooseWithRoom(now, r, ac.opts.Domain)
	switch {
	case !found:
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.spread(noTargetRetry)}
	case c.room && s.queue.len() == 0:
		return ac.send(now, s, r, c)
	}
	s.remember(now, r, share.Excess, 0)
	return ac.refuse(now, r, c.inputs)
}

func (ac *Controller) rank(now time.Time, s *service, r *Request) share.Rank {
	if !s.engine() {
		return share.Guaranteed
	}
	return ac.window.Rank(now, r.Workspace, r.tokens(), ac.throughput)
}

func (ac *Controller) spread(d time.Duration) time.Duration {
	d = min(max(d, retryFirst), retryLast)
	return d + time.Duration(ac.random.Float64()*retrySpread*float64(d))
}
