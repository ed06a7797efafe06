package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// For the value of queueTimeShare, to which the results are not sensitive, see
// docs/design/ADMISSION.md.
const (
	// queueTimeShare is the fraction of a request's time until its deadline after which
	// it is refused if it still waits and is past its objective, so that the caller has
	// time to retry.
	queueTimeShare = 0.25
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal, before
	// jitter.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// retryJitterShare is the jitter of Retry-After as a fraction of its value. It
	// spreads the retries of callers that were refused together.
	retryJitterShare = 0.5
	// noTargetRetryAfter is the Retry-After if a service has no usable target: about
	// the time that a target takes to restart.
	noTargetRetryAfter = time.Second
	// latestStartShare is the fraction of the objective within which the response must be
	// expected to start for a request to be queued.
	latestStartShare = 0.9
	// maxScanned bounds the requests at the head of a queue for which one poll looks
	// for a target.
	maxScanned = 24
	// maxQueueLength bounds the requests that wait for one service.
	maxQueueLength = 2000
)

// Options configures a Controller.
type Options struct {
	// Domain is the failure domain of this router.
	Domain ids.Domain
	// ShareWindow is the time over which fair shares are computed, see share.New.
	ShareWindow time.Duration
	// DrainTimeout is how long a target may get requests after it said that it leaves.
	DrainTimeout time.Duration
	// Seed is the seed of the jitter of Retry-After, and of the engines that the router
	// prefers in a large fleet. It differs between routers.
	Seed uint64
}

// Controller is the admission state machine of one router. It is not safe for
// concurrent use.
type Controller struct {
	opts     Options
	random   *rand.Rand
	window   *share.Window
	services map[string]*service
	targets  map[ids.Target]*target
	byRun    map[targetlimit.Run]*target
	attempts map[ID]*attempt
	// evacuated are the failure domains that the operator has evacuated.
	evacuated map[ids.Domain]bool
	// routers are the other routers on the fleet's list.
	routers []ids.Instance
	// isListed is set once a list had targets.
	isListed bool
	// statements holds those of the runs that have made any.
	statements map[run]*statements
	// healthChanges are the changes of target health since the last TakeHealthChanges.
	healthChanges []HealthChange
	// throughput is that of all engines in tokens per second, 0 if not configured.
	throughput float64
}

// New returns a controller without services and targets.
func New(o Options) *Controller {
	return &Controller{
		opts:       o,
		random:     rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		window:     share.New(o.ShareWindow),
		services:   make(map[string]*service),
		targets:    make(map[ids.Target]*target),
		attempts:   make(map[ID]*attempt),
		statements: make(map[run]*statements),
	}
}

// SetConfig applies a routing configuration.
func (ac *Controller) SetConfig(c *routing.Config) {
	ac.throughput = c.Limits.TokensPerSecond
	for name, conf := range c.Services {
		ac.service(name).conf = conf
	}
	ac.initLatencyModels()
	for _, t := range ac.targets {
		ac.service(t.Service).updateCold(t)
	}
}

// SetTargets replaces the list of targets. A new run of a target starts without the
// state of the earlier run; what a run has said of itself holds whatever the list says.
func (ac *Controller) SetTargets(all []routing.Target) {
	for _, s := range ac.services {
		s.targets = nil
	}
	seen := make(map[ids.Target]bool, len(all))
	for _, t := range all {
		seen[t.ID] = true
		current := ac.targets[t.ID]
		if current == nil || !current.IsSameRun(t) {
			current = newTarget(t)
			if ac.isListed {
				current.listedAt = t.ReadAt
			}
			if stated := ac.statements[run{t.ID, t.StartTimeMS}]; stated != nil {
				current.stated = stated
			}
			ac.targets[t.ID] = current
			if t.StartTimeMS == 0 {
				ac.service(t.Service).limits.Forget(current.run)
			}
		}
		current.Target, current.isEvacuated = t, ac.evacuated[t.Domain]
		s := ac.service(t.Service)
		current.limits = s.limits
		s.updateCold(current)
		s.targets = append(s.targets, current)
	}
	ac.byRun = make(map[targetlimit.Run]*target, len(all))
	for id, t := range ac.targets {
		if !seen[id] {
			delete(ac.targets, id)
			continue
		}
		ac.byRun[t.run] = t
	}
	ac.isListed = ac.isListed || len(all) > 0
	for _, s := range ac.services {
		s.subset.leased = slices.DeleteFunc(s.subset.leased, func(t *target) bool { return ac.targets[t.ID] != t || ac.services[t.Service] != s })
		slices.SortFunc(s.targets, func(a, b *target) int { return compareIDs(a.ID, b.ID) })
		s.subset.set(s.targets, ac.opts.Seed, ac.opts.Domain)
		s.draw.set(s.targets)
	}
	ac.initLatencyModels()
}

func compareIDs(a, b ids.Target) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// initLatencyModels creates the missing latency models. The prior for an engine's
// prefill rate is an even share of the configured throughput.
func (ac *Controller) initLatencyModels() {
	engines := 0
	for _, s := range ac.services {
		if s.isEngine() {
			engines += len(s.targets)
		}
	}
	for _, s := range ac.services {
		if s.latency != nil || (s.isEngine() && engines == 0) {
			continue
		}
		prior := 0.0
		if s.isEngine() {
			prior = ac.throughput / float64(engines) / 1000
		}
		s.latency = newLatencyModel(prior)
	}
}

func (ac *Controller) service(name string) *service {
	s := ac.services[name]
	if s == nil {
		s = &service{
			name: name, peerBacklogs: make(map[ids.Instance]peerBacklog), recentRefusals: make(map[refusalKind]refusal),
			random: ac.random, throttle: newThrottle(), limits: targetlimit.New(ac.random),
			lastResortTime: time.Duration(lastResortShare * float64(ac.opts.DrainTimeout)),
		}
		s.limits.SetRouters(ac.routers)
		ac.services[name] = s
	}
	return s
}

// Submit decides on a request: it is sent to a target, queued, or refused.
func (ac *Controller) Submit(now time.Time, r Request) Verdict {
	s := ac.services[r.Service]
	if s == nil || s.latency == nil {
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: ac.jitteredRetryAfter(noTargetRetryAfter)}
	}
	s.shortestObjective.record(now, r.Objective)
	s.shortestGapObjective.record(now, r.GapObjective)
	if s.isEngine() {
		ac.window.RecordRequested(now, r.Workspace, r.weightedTokens())
	}
	rank := ac.rank(now, s, &r)
	s.limits.RecordRequest(now, demandOf(rank))
	if !s.isEngine() {
		// A second attempt after a target was full has no credit of its own: with it, targets
		// would get more attempts the fuller they are.
		if len(r.Exclude) == 0 {
			s.throttle.recordArrival()
		}
		v := ac.decide(now, s, &r, rank)
		s.limits.SetWaiting(s.queue.len())
		return v
	}
	standing := ac.window.Standing(now, r.Workspace)
	v := ac.decide(now, s, &r, rank)
	s.limits.SetWaiting(s.queue.len())
	v.Inputs.recordBasis(&r, standing)
	return v
}

// TrySubmit sends a request to a target that has room, and reports whether there is one.
// Otherwise nothing changes: the request is neither queued nor counted as refused.
func (ac *Controller) TrySubmit(now time.Time, r Request) (Verdict, bool) {
	s := ac.services[r.Service]
	if s == nil || s.latency == nil {
		return Verdict{}, false
	}
	rank := ac.rank(now, s, &r)
	standing := ac.window.Standing(now, r.Workspace)
	c, found := s.choose(now, &r, ac.opts.Domain, rank)
	if !found || !c.hasRoom || s.queue.hasAhead(rank, r.Priority) {
		return Verdict{}, false
	}
	v := ac.send(now, s, &r, c)
	if s.isEngine() {
		v.Inputs.recordBasis(&r, standing)
	}
	return v, true
}

// decide decides on a request of a workspace with the given rank.
func (ac *Controller) decide(now time.Time, s *service, r *Request, rank share.Rank) Verdict {
	if v, refused := ac.refuseRepeated(now, s, r, rank, refusalTTL); refused {
		return v
	}
	if rank == share.Excess {
		return ac.submitExcess(now, s, r)
	}
	c, found := s.choose(now, r, ac.opts.Domain, rank)
	if !found {
		return ac.refuseWithoutTarget(now, s, r)
	}
	wait := time.Duration(float64(s.expectedQueueWait(now)) * s.queue.shareAhead(rank, r.Priority))
	c.inputs.QueueWait = wait
	if c.hasRoom && !s.queue.hasAhead(rank, r.Priority) {
		return ac.send(now, s, r, c)
	}
	if !s.isEngine() && s.isViewOld && !c.inputs.Limited {
		// The queue would not become shorter: the share of requests that are sent is for new
		// ones as much as for those that wait.
		return ac.refuse(now, r, c.inputs)
	}
	return ac.enqueue(now, s, r, c, wait)
}

// submitExcess decides on a request of a workspace beyond its fair share: it is sent if
// a target has room and no request waits in this router's queue. It is never queued.
func (ac *Controller) submitExcess(now time.Time, s *service, r *Request) Verdict {
	c, found := s.chooseWithRoom(now, r, ac.opts.Domain)
	switch {
	case !found:
		return ac.refuseWithoutTarget(now, s, r)
	case c.hasRoom && s.queue.len() == 0:
		return ac.send(now, s, r, c)
	}
	s.recordRefusal(now, r, share.Excess, 0)
	return ac.refuse(now, r, c.inputs)
}

func (ac *Controller) rank(now time.Time, s *service, r *Request) share.Rank {
	if !s.isEngine() {
		return share.Guaranteed
	}
	return ac.window.Rank(now, r.Workspace, r.weightedTokens(), ac.throughput)
}

// recordBasis adds to a verdict's inputs what the workspace's rank is based on.
func (in *Inputs) recordBasis(r *Request, st share.Standing) {
	in.Standing, in.ChargedTokens = st, int(r.weightedTokens())
}

// jitteredRetryAfter bounds d and adds jitter.
func (ac *Controller) jitteredRetryAfter(d time.Duration) time.Duration {
	return ac.withJitter(min(max(d, minRetryAfter), maxRetryAfter))
}

// withJitter adds jitter to a Retry-After.
func (ac *Controller) withJitter(d time.Duration) time.Duration {
	return d + time.Duration(ac.random.Float64()*retryJitterShare*float64(d))
}
