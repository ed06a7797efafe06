package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/core/targetlimit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// pollInterval is the interval at which the queue is polled while requests wait. It
// is also polled after each event that frees capacity.
const pollInterval = 10 * time.Millisecond

// minPollInterval is the shortest time between two polls of the queue, so that a
// burst of events does not cause a poll for each event.
const minPollInterval = 2 * time.Millisecond

// pollPauseFactor is the shortest pause after a poll, as a multiple of the time that
// the poll took. Polls thus take at most about a sixteenth of a processor. On a small
// instance with many targets they would otherwise use a large part of it.
const pollPauseFactor = 15

// Scheduler serializes access to the admission controller and delivers its verdicts
// to the requests in the queue. It is safe for concurrent use.
type Scheduler struct {
	// hasLimits is set while a target has a limit or is cold.
	hasLimits atomic.Bool

	mu        sync.Mutex
	admission *admit.Controller
	lastID    admit.ID
	waiting   map[admit.ID]chan admit.Verdict
	wake      chan struct{}
	// nextPoll is the earliest time of the next poll.
	nextPoll time.Time
	// onHealthChange is called for each change of a target's health, with mu held.
	onHealthChange func(admit.HealthChange)
}

// NewScheduler returns a scheduler. The caller must start Run. The scheduler calls
// onHealthChange, which must not block, for each change of a target's health.
func NewScheduler(o admit.Options, onHealthChange func(admit.HealthChange)) *Scheduler {
	return &Scheduler{
		onHealthChange: onHealthChange,
		admission:      admit.New(o),
		waiting:        make(map[admit.ID]chan admit.Verdict),
		wake:           make(chan struct{}, 1),
	}
}

// Run polls the queue while requests wait, until ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			timer.Reset(pollInterval)
		case <-timer.C:
			s.update(func(time.Time) {})
		}
	}
}

// update applies a change to the admission controller, reports changes of health,
// and polls the queue unless the last poll was too recent.
func (s *Scheduler) update(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now)
	s.hasLimits.Store(s.admission.HasLimits(now))
	for _, health := range s.admission.TakeHealthChanges() {
		s.onHealthChange(health)
	}
	if len(s.waiting) == 0 {
		return
	}
	if now.Before(s.nextPoll) {
		s.wakeRun()
		return
	}
	for _, v := range s.admission.Poll(now) {
		s.deliverVerdict(v)
	}
	done := time.Now()
	s.nextPoll = done.Add(max(minPollInterval, pollPauseFactor*done.Sub(now)))
	if len(s.waiting) > 0 {
		s.wakeRun()
	}
}

func (s *Scheduler) wakeRun() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Scheduler) deliverVerdict(v admit.Verdict) {
	if ch := s.waiting[v.ID]; ch != nil {
		delete(s.waiting, v.ID)
		ch <- v
	}
}

// Acquire returns the verdict on a request. If the request has to wait in the queue,
// Acquire calls queued first. It returns false if ctx is done before the verdict.
// Each verdict with a target must be followed by one call of AttemptEnded.
func (s *Scheduler) Acquire(ctx context.Context, r admit.Request, queued func(admit.Verdict)) (admit.Verdict, bool) {
	s.mu.Lock()
	s.lastID++
	r.ID = s.lastID
	v := s.admission.Submit(time.Now(), r)
	if !v.Waiting {
		s.mu.Unlock()
		return v, true
	}
	ch := make(chan admit.Verdict, 1)
	s.waiting[r.ID] = ch
	s.wakeRun()
	s.mu.Unlock()
	queued(v)
	select {
	case v = <-ch:
		return v, true
	case <-ctx.Done():
		return s.cancel(r.ID, ch)
	}
}

// TryAcquire returns the verdict on a request that a target can take at once, and false if
// none can. The request is neither queued nor counted as refused.
func (s *Scheduler) TryAcquire(r admit.Request) (admit.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	r.ID = s.lastID
	return s.admission.TrySubmit(time.Now(), r)
}

// RefuseEarly reports whether a request would be refused like the most recent ones
// of its workspace. It does not examine the targets.
func (s *Scheduler) RefuseEarly(r admit.Request, isOverloaded bool) (admit.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.RefuseEarly(time.Now(), r, isOverloaded)
}

// RefuseTurnedAway reports whether all targets of a request's service want no requests,
// and returns the verdict that refuses it.
func (s *Scheduler) RefuseTurnedAway(r admit.Request) (admit.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.RefuseTurnedAway(time.Now(), r)
}

// cancel removes a request from the queue, or releases its target unused if the
// verdict came first.
func (s *Scheduler) cancel(id admit.ID, ch chan admit.Verdict) (admit.Verdict, bool) {
	s.mu.Lock()
	delete(s.waiting, id)
	s.admission.Cancel(id)
	s.mu.Unlock()
	select {
	case v := <-ch:
		if v.Target.ID != "" {
			s.AttemptEnded(id, admit.End{Result: admit.Canceled, NotRun: true})
		}
	default:
	}
	return admit.Verdict{}, false
}

// ResponseStarted records that the response to a request has started, and whether this router was
// late to see that.
func (s *Scheduler) ResponseStarted(id admit.ID, seenLate bool) {
	s.update(func(now time.Time) { s.admission.ResponseStarted(now, id, seenLate) })
}

// AttemptEnded records that a request no longer occupies its target.
func (s *Scheduler) AttemptEnded(id admit.ID, end admit.End) {
	s.update(func(now time.Time) { s.admission.AttemptEnded(now, id, end) })
}

// RecordStatement records what a target said of itself in the response to a request,
// and returns what was new in it.
func (s *Scheduler) RecordStatement(id admit.ID, st admit.Statement) admit.Statement {
	var news admit.Statement
	s.update(func(now time.Time) { news = s.admission.RecordStatement(now, id, st) })
	return news
}

// HasLimits reports whether a target is cold or has a limit. A response that names no limit may
// end an earlier one.
func (s *Scheduler) HasLimits() bool { return s.hasLimits.Load() }

// Limits returns the state of the targets' limits.
func (s *Scheduler) Limits() []admit.LimitStatus {
	if !s.HasLimits() {
		return nil
	}
	var all []admit.LimitStatus
	s.update(func(now time.Time) { all = s.admission.Limits(now) })
	return all
}

// ColdTargets returns the targets that are cold, and this router's demand for their services.
func (s *Scheduler) ColdTargets() (targets []admit.ColdTarget, demand map[string]float64) {
	if !s.HasLimits() {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return s.admission.ColdTargets(now), s.admission.ColdDemand(now)
}

// UnusedLeases returns the cold runs of which this router has a lease that it does not use.
func (s *Scheduler) UnusedLeases() []targetlimit.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.UnusedLeases(time.Now())
}

// ApplyLeases applies leases of cold targets that were granted to this router.
func (s *Scheduler) ApplyLeases(leases []admit.Lease) {
	s.update(func(now time.Time) { s.admission.ApplyLeases(now, leases) })
}

// SetConfig replaces the configuration.
func (s *Scheduler) SetConfig(c *routing.Config) {
	s.update(func(time.Time) { s.admission.SetConfig(c) })
}

// SetTargets replaces the set of targets.
func (s *Scheduler) SetTargets(all []routing.Target) {
	s.update(func(time.Time) { s.admission.SetTargets(all) })
}

// SetEvacuated replaces the set of evacuated failure domains. The targets of those whose
// evacuation has ended may have restarted.
func (s *Scheduler) SetEvacuated(domains, ended []ids.Domain) {
	s.update(func(now time.Time) {
		s.admission.SetEvacuated(now, domains)
		for _, d := range ended {
			s.admission.MarkDomainCold(now, d)
		}
	})
}

// ApplyPeerReport applies the state of a peer.
func (s *Scheduler) ApplyPeerReport(peer ids.Instance, loads []admit.Load, backlogs []admit.Backlog, use map[ids.Workspace]share.Usage) {
	s.update(func(now time.Time) { s.admission.ApplyPeerReport(now, peer, loads, backlogs, use) })
}

// ApplyFleetReport applies the sum of all routers' states, including this router's.
func (s *Scheduler) ApplyFleetReport(loads []admit.Load, backlogs []admit.Backlog, use map[ids.Workspace]share.Usage) {
	s.update(func(now time.Time) { s.admission.ApplyFleetReport(now, loads, backlogs, use) })
}

// ApplyPeerLimits applies a peer's state of limits.
func (s *Scheduler) ApplyPeerLimits(peer ids.Instance, r admit.LimitReport) {
	s.update(func(now time.Time) { s.admission.ApplyPeerLimits(now, peer, r) })
}

// ApplyFleetLimits applies the state of limits of all routers, including this one.
func (s *Scheduler) ApplyFleetLimits(r admit.LimitReport) {
	s.update(func(now time.Time) { s.admission.ApplyFleetLimits(now, r) })
}

// LocalLimits returns this router's state of limits for reports.
func (s *Scheduler) LocalLimits() admit.LimitReport {
	if !s.HasLimits() {
		return admit.LimitReport{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.LocalLimits(time.Now())
}

// ApplyStatements applies what targets have said to other routers.
func (s *Scheduler) ApplyStatements(reports []admit.StatementReport) {
	if len(reports) > 0 {
		s.update(func(now time.Time) { s.admission.ApplyStatements(now, reports) })
	}
}

// LocalStatements returns what targets have said to this router.
func (s *Scheduler) LocalStatements() []admit.StatementReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.LocalStatements(time.Now())
}

// Speeds returns what is known of the speeds of targets.
func (s *Scheduler) Speeds() []admit.SpeedStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Speeds(time.Now())
}

// LocalSpeeds returns what this router has observed of the speeds of targets.
func (s *Scheduler) LocalSpeeds() admit.SpeedReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.LocalSpeeds(time.Now())
}

// ApplyPeerSpeeds adds what another router has observed of the speeds of targets.
func (s *Scheduler) ApplyPeerSpeeds(r admit.SpeedReport) {
	if !r.IsEmpty() {
		s.update(func(now time.Time) { s.admission.ApplyPeerSpeeds(now, r) })
	}
}

// ApplyFleetSpeeds applies what all routers have observed of the speeds of targets.
func (s *Scheduler) ApplyFleetSpeeds(r admit.SpeedReport) {
	if !r.IsEmpty() {
		s.update(func(now time.Time) { s.admission.ApplyFleetSpeeds(now, r) })
	}
}

// SetRouters replaces the fleet's list of routers, this one left out.
func (s *Scheduler) SetRouters(others []ids.Instance) {
	s.update(func(time.Time) { s.admission.SetRouters(others) })
}

// RecordLinkEnd records that the link to a router has ended.
func (s *Scheduler) RecordLinkEnd(peer ids.Instance) {
	s.update(func(now time.Time) { s.admission.RecordLinkEnd(now, peer) })
}

// Backlogs returns what waits for each engine service.
func (s *Scheduler) Backlogs() []admit.BacklogStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.Backlogs(time.Now())
}

// TakeEvenness returns how evenly the targets of each service were loaded since the last call.
func (s *Scheduler) TakeEvenness() []admit.Evenness {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.TakeEvenness(time.Now())
}

// LocalReport returns this router's state for reports to peers. refusedShare is the share of its
// requests that it refuses for its own load.
func (s *Scheduler) LocalReport(refusedShare float64) ([]admit.Load, []admit.Backlog, map[ids.Workspace]share.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.LocalReport(time.Now(), refusedShare)
}
