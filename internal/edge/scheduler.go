package edge

import (
	"context"
	"sync"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// pollInterval, untuned, is how often the queue is looked at while requests wait, besides
// after each event that makes room.
const pollInterval = 10 * time.Millisecond

// pollGap, untuned, is the least time between two looks at the queue, so that events in
// quick succession do not cost a look each.
const pollGap = 2 * time.Millisecond

// pollDuty, about a sixteenth of the processor at most, is how many times as long as a look at the queue the pause after it
// is at least: on a small instance with many targets looks cost a good part of
// the processor.
const pollDuty = 15

// Scheduler guards the state machine of admission and wakes those who wait.
type Scheduler struct {
	mu        sync.Mutex
	admission *admit.Controller
	lastID    admit.ID
	waiting   map[admit.ID]chan admit.Verdict
	wake      chan struct{}
	// nextPoll is when the queue may be looked at again.
	nextPoll time.Time
	// onHealth takes changes of targets' health; it must not block.
	onHealth func(admit.HealthChange)
}

// NewScheduler returns a scheduler whose Run must be started. It tells onHealth,
// which must not block, what changes in the health of targets.
func NewScheduler(o admit.Options, onHealth func(admit.HealthChange)) *Scheduler {
	return &Scheduler{
		onHealth:  onHealth,
		admission: admit.New(o),
		waiting:   make(map[admit.ID]chan admit.Verdict),
		wake:      make(chan struct{}, 1),
	}
}

// Run looks at the queue while requests wait, until ctx ends.
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
			s.do(func(time.Time) {})
		}
	}
}

// do changes the state and carries out the verdicts that follow.
func (s *Scheduler) do(change func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	change(now)
	for _, n := range s.admission.TakeHealthChanges() {
		s.onHealth(n)
	}
	if len(s.waiting) == 0 {
		return
	}
	if now.Before(s.nextPoll) {
		s.poke()
		return
	}
	for _, v := range s.admission.Poll(now) {
		s.decide(v)
	}
	done := time.Now()
	s.nextPoll = done.Add(max(pollGap, pollDuty*done.Sub(now)))
	if len(s.waiting) > 0 {
		s.poke()
	}
}

func (s *Scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Scheduler) decide(v admit.Verdict) {
	if ch := s.waiting[v.ID]; ch != nil {
		delete(s.waiting, v.ID)
		ch <- v
	}
}

// Acquire returns the verdict on a request, after a wait in the queue where it
// must, which queued is told of. It reports false where ctx ended first. Each
// verdict with a target must be followed by one Ended.
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
	s.poke()
	s.mu.Unlock()
	queued(v)
	select {
	case v = <-ch:
		return v, true
	case <-ctx.Done():
		return s.leave(r.ID, ch)
	}
}

// RefuseEarly tells whether a request would be refused as those of its workspace
// just were, without a look at the targets.
func (s *Scheduler) RefuseEarly(r admit.Request) (admit.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.RefuseEarly(time.Now(), r)
}

// leave takes a request out of the queue, or gives its target back unused.
func (s *Scheduler) leave(id admit.ID, ch chan admit.Verdict) (admit.Verdict, bool) {
	s.mu.Lock()
	delete(s.waiting, id)
	s.admission.Withdraw(id)
	s.mu.Unlock()
	select {
	case v := <-ch:
		if v.Target.ID != "" {
			s.Ended(id, admit.Abandoned)
		}
	default:
	}
	return admit.Verdict{}, false
}

// Began tells that a request's answer began.
func (s *Scheduler) Began(id admit.ID) {
	s.do(func(now time.Time) { s.admission.AnswerStarted(now, id) })
}

// Ended tells that a request has left its target.
func (s *Scheduler) Ended(id admit.ID, result admit.Result) {
	s.do(func(now time.Time) { s.admission.AttemptEnded(now, id, result) })
}

// SetConfig puts a configuration in force.
func (s *Scheduler) SetConfig(c *routing.Config) {
	s.do(func(time.Time) { s.admission.SetConfig(c) })
}

// SetTargets puts a set of targets in force.
func (s *Scheduler) SetTargets(all []routing.Target) {
	s.do(func(time.Time) { s.admission.SetTargets(all) })
}

// Report takes a peer's state.
func (s *Scheduler) Report(peer ids.Instance, loads []admit.Load, backlogs []admit.Backlog, use map[ids.Workspace]share.Usage) {
	s.do(func(now time.Time) { s.admission.ApplyPeerReport(now, peer, loads, backlogs, use) })
}

// ReportTotal takes the sum of the fleet, this router's state included.
func (s *Scheduler) ReportTotal(loads []admit.Load, backlogs []admit.Backlog, use map[ids.Workspace]share.Usage) {
	s.do(func(now time.Time) { s.admission.ApplyFleetReport(now, loads, backlogs, use) })
}

// Own returns this router's state for reports to peers.
func (s *Scheduler) Own() ([]admit.Load, []admit.Backlog, map[ids.Workspace]share.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admission.LocalReport(time.Now())
}
