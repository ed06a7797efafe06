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
	// defaultQueueLength of a workspace without a contract.
	defaultQueueLength = 1024
	// defaultWeight of a workspace without a contract.
	defaultWeight = 1
	// noTargetRetry is when to come back if a pool has no target.
	noTargetRetry = 5 * time.Second
	// drainRetry is when to come back, to another router, after a shutdown.
	drainRetry = time.Second
	// minRetry is the least time after which to come back.
	minRetry = 100 * time.Millisecond
	// fullPause is how long a target that refused a request is left alone.
	fullPause = 200 * time.Millisecond
	// hopeless is how many times longer than its deadline a request's expected
	// wait must be for the request to be refused at once.
	hopeless = 2
)

func (s *Scheduler) submit(r Request) {
	if _, ok := s.requests[r.ID]; ok {
		return
	}
	if s.draining {
		s.refuse(r.ID, outcome.CodeShuttingDown, drainRetry)
		return
	}
	p := s.pools[r.Pool]
	if p == nil || !p.live {
		s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetry)
		return
	}
	req := &request{Request: r, pool: p, arrived: s.now}
	if len(r.Exclude) > 0 && !hasTarget(req) {
		s.refuse(r.ID, outcome.CodeNoTarget, noTargetRetry)
		return
	}
	req.payer, req.line = s.accounts(r.Workspace, p)
	if s.refuseQueued(req) {
		return
	}
	if g := s.gate(r.Workspace); g != nil {
		if no := g.Admit(s.now); no != nil {
			s.refuse(r.ID, no.Code, no.RetryAfter)
			return
		}
	}
	s.enqueue(req)
}

// hasTarget tells whether any target of the pool will do for a request.
func hasTarget(r *request) bool {
	for _, g := range r.pool.groups {
		for i, m := range g.member {
			if !g.Members[i].Leaving && !excluded(r, m.id) {
				return true
			}
		}
	}
	return false
}

// accounts returns the account that pays for a request and the one by which
// it is ordered.
func (s *Scheduler) accounts(w ids.Workspace, p *pool) (payer, line *account.Account) {
	weight := s.share(w).Weight
	payer = s.book.GetOrCreate(s.now, account.KeyOf(w, p.capacity.name, weight), w, weight)
	if s.cfg.Mode == ModeFIFO {
		return payer, s.fifo
	}
	return payer, payer
}

func (s *Scheduler) share(w ids.Workspace) Share {
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

// refuseQueued refuses a request whose line is full or that can't start before
// its deadline.
func (s *Scheduler) refuseQueued(r *request) bool {
	waiting := s.waitingOf(r)
	wait := r.pool.started.wait(s.now, waiting)
	if waiting >= s.share(r.Workspace).Limits.QueueLength {
		s.refuse(r.ID, outcome.CodeQueueFull, max(minRetry, wait))
		return true
	}
	if r.Deadline.IsZero() {
		return false
	}
	left := r.Deadline.Sub(s.now)
	if left <= 0 || (waiting > 0 && wait > hopeless*left) {
		s.refuse(r.ID, outcome.CodeDeadline, max(minRetry, wait))
		return true
	}
	return false
}

// waitingOf returns how many requests wait in the line of a request.
func (s *Scheduler) waitingOf(r *request) int {
	l := r.pool.queue.Line(r.line.Key)
	if l == nil {
		return 0
	}
	return l.Len()
}

func (s *Scheduler) enqueue(r *request) {
	s.requests[r.ID] = r
	if !r.Deadline.IsZero() {
		s.deadlines.ReplaceOrInsert(r)
	}
	s.push(r)
	s.pushed = append(s.pushed, r)
}

func (s *Scheduler) push(r *request) {
	s.markPool(r.pool)
	if r.pool.hungry.IsZero() {
		r.pool.hungry = s.now
	}
	if r.Solo {
		r.pool.solo = append(r.pool.solo, r)
		return
	}
	r.entry = &queue.Entry{
		ID: uint64(r.ID), Arrived: r.arrived, Value: r,
		Deferrable: r.Class == api.ClassDeferrable && s.cfg.Mode != ModeFIFO,
	}
	r.pool.queue.Push(r.line, r.entry)
	s.parkIfLimited(r)
}

// remove takes a waiting request out of its queue.
func (s *Scheduler) remove(r *request) {
	s.markPool(r.pool)
	if !r.Deadline.IsZero() {
		s.deadlines.Delete(r)
	}
	if !r.Solo {
		r.pool.queue.Remove(r.entry)
		s.drained = append(s.drained, r)
		return
	}
	for i, x := range r.pool.solo {
		if x == r {
			r.pool.solo = append(r.pool.solo[:i:i], r.pool.solo[i+1:]...)
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

// drop ends a waiting request.
func (s *Scheduler) drop(r *request) {
	s.remove(r)
	delete(s.requests, r.ID)
	if g := s.gates[r.Workspace]; g != nil {
		g.End(false)
	}
}

func (s *Scheduler) refuse(id RequestID, code outcome.Code, retry time.Duration) {
	s.emit(Refuse{ID: id, Code: code, RetryAfter: retry})
}

func (s *Scheduler) dropAll(code outcome.Code, retry time.Duration, which func(*request) bool) {
	for _, r := range s.waiting() {
		if which(r) {
			s.drop(r)
			s.refuse(r.ID, code, retry)
		}
	}
}

// expire refuses the waiting requests whose deadline has passed.
func (s *Scheduler) expire() {
	for {
		r, ok := s.deadlines.Min()
		if !ok || r.Deadline.After(s.now) {
			return
		}
		wait := r.pool.started.wait(s.now, s.waitingOf(r))
		s.drop(r)
		s.refuse(r.ID, outcome.CodeDeadline, max(minRetry, wait))
	}
}

// charge moves a request's charge to the given units.
func (s *Scheduler) charge(r *request, units float64) {
	r.payer.Charge(units - r.charged)
	r.pool.capacity.charged += units - r.charged
	r.charged = units
	s.book.MarkActive(s.now, r.payer)
	s.reorder(r.payer, r.pool.capacity)
}

func (s *Scheduler) reorder(a *account.Account, c *capacity) {
	if s.cfg.Mode == ModeFIFO {
		return
	}
	for _, p := range c.pools {
		p.queue.Reorder(a)
	}
}

// spend counts units against the contract's allowance.
func (s *Scheduler) spend(r *request, units float64) {
	if units <= r.spent {
		return
	}
	if g := s.gates[r.Workspace]; g != nil {
		g.Spend(s.now, units-r.spent)
	}
	r.spent = units
}

func (s *Scheduler) progress(e Progress) {
	r := s.requests[e.ID]
	if r == nil || r.member == nil {
		return
	}
	s.spend(r, e.Units)
	if e.Units > r.charged {
		s.charge(r, e.Units)
	}
}

func (s *Scheduler) finish(e Finish) {
	r := s.requests[e.ID]
	if r == nil || r.member == nil {
		return
	}
	delete(s.requests, r.ID)
	units := math.Max(e.Units, r.spent)
	s.spend(r, units)
	s.charge(r, units)
	r.pool.capacity.running--
	r.pool.capacity.charged -= units
	s.freeMember(r)
	s.judge(r, e)
	if !e.Failed && !e.Refused && units > 0 {
		r.payer.Observe(r.Class, units)
		r.pool.capacity.costs.Add(units, s.now.Sub(r.started).Seconds())
	}
	if g := s.gates[r.Workspace]; g != nil {
		g.End(true)
		s.unpark(g)
	}
}

func (s *Scheduler) freeMember(r *request) {
	m := r.member
	m.group.holder.Done(s.now, m.index)
	if m.solo == r {
		m.solo = nil
	}
	s.markGroup(m.group)
}

// judge updates what is known of the target's health.
func (s *Scheduler) judge(r *request, e Finish) {
	m := r.member
	switch {
	case e.Refused:
		m.health.Abandon()
		m.full = s.now
		m.group.holder.RecordRefusal(m.index)
		m.group.returned = true
	case e.Failed:
		m.health.Fail(s.now)
	default:
		m.health.OK()
	}
}
