package sched

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/account"
	"github.com/umberhill/umberhill/internal/core/queue"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const (
	// defaultQueueLength is the maximum number of waiting requests of a workspace
	// in a pool unless its contract sets one.
	defaultQueueLength = 1024
	// defaultWeight is the weight of a workspace unless its contract sets one.
	defaultWeight = 1
	// noTargetRetryAfter is the retry delay if no target can serve the request.
	noTargetRetryAfter = 5 * time.Second
	// drainRetryAfter is the delay for a retry at another router during shutdown.
	drainRetryAfter = time.Second
	// minRetryAfter is the least retry delay.
	minRetryAfter = 100 * time.Millisecond
	// fullTargetBackoff is how long a target that rejected a request because it was
	// full gets no further requests.
	fullTargetBackoff = 200 * time.Millisecond
	// maxWaitPerDeadline is the greatest ratio of a request's expected wait to the
	// time left until its deadline; above it the request is refused at once.
	maxWaitPerDeadline = 2
)

func (s *Scheduler) submit(r Request) {
	if _, ok := s.requests[r.ID]; ok {
		return
	}
	if s.draining {
		s.refuse(r.ID, outcome.CodeShuttingDown, drainRetryAfter)
		return
	}
	p := s.pools[r.Pool]
	if p == nil || !p.hasLiveTarget {
		s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetryAfter)
		return
	}
	req := &request{Request: r, pool: p, arrivedAt: s.now}
	if len(r.Exclude) > 0 && !hasEligibleTarget(req) {
		s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetryAfter)
		return
	}
	req.payer, req.queueAccount = s.accountsOf(r.Workspace, p)
	if s.refuseIfFullOrLate(req) {
		return
	}
	if l := s.limiterOf(r.Workspace); l != nil {
		if refusal := l.Admit(s.now); refusal != nil {
			s.refuse(r.ID, refusal.Code, refusal.RetryAfter)
			return
		}
	}
	s.enqueue(req)
}

// hasEligibleTarget reports whether the pool has a target that is neither
// draining nor excluded by the request.
func hasEligibleTarget(r *request) bool {
	for _, g := range r.pool.groups {
		for i, m := range g.members {
			if !g.Members[i].Draining && !isExcluded(r, m.id) {
				return true
			}
		}
	}
	return false
}

// accountsOf returns the account charged for a request of the workspace and the
// account whose flow holds the request while it waits. They differ in ModeFIFO
// only, where all requests are in one flow.
func (s *Scheduler) accountsOf(w ids.Workspace, p *pool) (payer, queueAccount *account.Account) {
	weight := s.shareOf(w).Weight
	payer = s.accounts.GetOrCreate(s.now, account.KeyOf(w, p.capacity.name, weight), w, weight)
	if s.settings.Mode == ModeFIFO {
		return payer, s.fifoAccount
	}
	return payer, payer
}

// shareOf returns the share of a workspace with defaults filled in.
func (s *Scheduler) shareOf(w ids.Workspace) Share {
	sh, ok := s.shares[w]
	if !ok {
		sh.Workspace = w
	}
	if sh.Weight <= 0 {
		sh.Weight = defaultWeight
	}
	if sh.Limits.QueueLength <= 0 {
		sh.Limits.QueueLength = defaultQueueLength
	}
	return sh
}

// refuseIfFullOrLate refuses a request if its flow is full or if it is not
// expected to start before its deadline. It returns whether it refused.
func (s *Scheduler) refuseIfFullOrLate(r *request) bool {
	queued := s.flowLength(r)
	expectedWait := r.pool.dispatchRate.expectedWait(s.now, queued)
	if queued >= s.shareOf(r.Workspace).Limits.QueueLength {
		s.refuse(r.ID, outcome.CodeQueueFull, max(minRetryAfter, expectedWait))
		return true
	}
	if r.Deadline.IsZero() {
		return false
	}
	untilDeadline := r.Deadline.Sub(s.now)
	if untilDeadline <= 0 || (queued > 0 && expectedWait > maxWaitPerDeadline*untilDeadline) {
		s.refuse(r.ID, outcome.CodeDeadline, max(minRetryAfter, expectedWait))
		return true
	}
	return false
}

// flowLength returns how many requests wait in the flow of a request.
func (s *Scheduler) flowLength(r *request) int {
	flow := r.pool.queue.Flow(r.queueAccount.Key)
	if flow == nil {
		return 0
	}
	return flow.Len()
}

func (s *Scheduler) enqueue(r *request) {
	s.requests[r.ID] = r
	if !r.Deadline.IsZero() {
		s.deadlines.ReplaceOrInsert(r)
	}
	s.push(r)
	s.maybeBacklogged = append(s.maybeBacklogged, r)
}

// push adds a request to its pool's queue, or to its pool's solo requests.
func (s *Scheduler) push(r *request) {
	s.markPoolDirty(r.pool)
	if r.pool.waitingSince.IsZero() {
		r.pool.waitingSince = s.now
	}
	if r.Solo {
		r.pool.soloRequests = append(r.pool.soloRequests, r)
		return
	}
	r.entry = &queue.Entry{
		ID: uint64(r.ID), ArrivedAt: r.arrivedAt, Value: r,
		Deferrable: r.Class == api.ClassDeferrable && s.settings.Mode != ModeFIFO,
	}
	r.pool.queue.Push(r.queueAccount, r.entry)
	s.parkIfLimited(r)
}

// dequeue removes a waiting request from its pool's queue.
func (s *Scheduler) dequeue(r *request) {
	s.markPoolDirty(r.pool)
	if !r.Deadline.IsZero() {
		s.deadlines.Delete(r)
	}
	if !r.Solo {
		r.pool.queue.Remove(r.entry)
		s.maybeIdle = append(s.maybeIdle, r)
		return
	}
	for i, x := range r.pool.soloRequests {
		if x == r {
			r.pool.soloRequests = append(r.pool.soloRequests[:i:i], r.pool.soloRequests[i+1:]...)
			return
		}
	}
}

func (s *Scheduler) cancel(id RequestID) {
	r := s.requests[id]
	if r == nil || r.member != nil {
		return
	}
	s.drop(r)
}

// drop removes a waiting request that will not be dispatched.
func (s *Scheduler) drop(r *request) {
	s.dequeue(r)
	delete(s.requests, r.ID)
	if l := s.limiters[r.Workspace]; l != nil {
		l.End(false)
	}
}

func (s *Scheduler) refuse(id RequestID, code outcome.Code, retryAfter time.Duration) {
	s.emit(Refuse{ID: id, Code: code, RetryAfter: retryAfter})
}

func (s *Scheduler) refuseAllWaiting(code outcome.Code, retryAfter time.Duration, match func(*request) bool) {
	for _, r := range s.waitingRequests() {
		if match(r) {
			s.drop(r)
			s.refuse(r.ID, code, retryAfter)
		}
	}
}

// refuseExpired refuses the waiting requests whose deadline has passed.
func (s *Scheduler) refuseExpired() {
	for {
		r, ok := s.deadlines.Min()
		if !ok || r.Deadline.After(s.now) {
			return
		}
		expectedWait := r.pool.dispatchRate.expectedWait(s.now, s.flowLength(r))
		s.drop(r)
		s.refuse(r.ID, outcome.CodeDeadline, max(minRetryAfter, expectedWait))
	}
}

// setCharge changes what the payer is charged for a request to the given units.
func (s *Scheduler) setCharge(r *request, units float64) {
	r.payer.Charge(units - r.chargedUnits)
	r.pool.capacity.chargedUnits += units - r.chargedUnits
	r.chargedUnits = units
	s.accounts.MarkActive(s.now, r.payer)
	s.reorder(r.payer, r.pool.capacity)
}

// reorder updates the position of an account's flow in the pools of a capacity.
func (s *Scheduler) reorder(a *account.Account, c *capacity) {
	if s.settings.Mode == ModeFIFO {
		return
	}
	for _, p := range c.pools {
		p.queue.Reorder(a)
	}
}

// consumeAllowance counts the units that a request has used so far, less those
// counted before, against the contract's allowance.
func (s *Scheduler) consumeAllowance(r *request, units float64) {
	if units <= r.spentUnits {
		return
	}
	if l := s.limiters[r.Workspace]; l != nil {
		l.Spend(s.now, units-r.spentUnits)
	}
	r.spentUnits = units
}

func (s *Scheduler) progress(e Progress) {
	r := s.requests[e.ID]
	if r == nil || r.member == nil {
		return
	}
	s.consumeAllowance(r, e.Units)
	if e.Units > r.chargedUnits {
		s.setCharge(r, e.Units)
	}
}

func (s *Scheduler) finish(e Finish) {
	r := s.requests[e.ID]
	if r == nil || r.member == nil {
		return
	}
	delete(s.requests, r.ID)
	units := math.Max(e.Units, r.spentUnits)
	s.consumeAllowance(r, units)
	s.setCharge(r, units)
	r.pool.capacity.running--
	r.pool.capacity.chargedUnits -= units
	s.releasePermit(r)
	s.updateHealth(r, e)
	if !e.Failed && !e.Rejected && units > 0 {
		r.payer.Observe(r.Class, units)
		r.pool.capacity.costs.Add(units, s.now.Sub(r.startedAt).Seconds())
	}
	if l := s.limiters[r.Workspace]; l != nil {
		l.End(true)
		s.unpark(l)
	}
}

func (s *Scheduler) releasePermit(r *request) {
	m := r.member
	m.group.holder.Done(s.now, m.index)
	if m.soloRequest == r {
		m.soloRequest = nil
	}
	s.markGroupDirty(m.group)
}

// updateHealth updates the health of a request's target by how the request
// ended.
func (s *Scheduler) updateHealth(r *request, e Finish) {
	m := r.member
	switch {
	case e.Rejected:
		m.health.RecordCancellation()
		m.rejectedAt = s.now
		m.group.holder.RecordRejection(m.index)
		m.group.mustReport = true
	case e.Failed:
		m.health.RecordFailure(s.now)
	default:
		m.health.RecordSuccess()
	}
}
