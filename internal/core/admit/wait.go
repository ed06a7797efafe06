package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// enqueue puts a request into the queue, or refuses it where it can't be in time.
func (ac *Controller) enqueue(now time.Time, s *service, r *Request, c candidate, wait time.Duration) Verdict {
	starts := now.Add(max(wait, c.wait) + c.inputs.Predicted)
	latest := r.Arrived.Add(time.Duration(startShare * float64(r.Objective)))
	if starts.After(latest) || s.queue.len() >= maxQueue {
		s.remember(now, r, c.inputs.Rank, wait)
		return ac.refuse(now, r, c.inputs)
	}
	s.queue.add(&entry{req: r, rank: c.inputs.Rank, refuseAt: refuseTime(r)})
	return Verdict{ID: r.ID, Waiting: true, Inputs: c.inputs}
}

// refuseTime is when a request that still waits is refused.
func refuseTime(r *Request) time.Time {
	return r.Arrived.Add(max(r.Objective, time.Duration(patience*float64(r.Deadline.Sub(r.Arrived)))))
}

// Withdraw takes a request out of the queue and tells whether it was there.
func (ac *Controller) Withdraw(id ID) bool {
	for _, s := range ac.services {
		if s.queue.remove(id) {
			return true
		}
	}
	return false
}

// Poll decides on the requests in the queue, as far as they can be decided.
func (ac *Controller) Poll(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range ac.services {
		if s.queue.len() > 0 {
			out = ac.pollService(now, s, out)
		}
	}
	return out
}

func (ac *Controller) pollService(now time.Time, s *service, out []Verdict) []Verdict {
	s.queue.order(now, func(r *Request) share.Rank { return ac.rank(now, s, r) })
	kept := s.queue.waiting[:0]
	waiting := s.queue.waiting
	for i, e := range waiting {
		v, decided := ac.decide(now, s, e, i < maxScan)
		if decided {
			out = append(out, v)
			continue
		}
		kept = append(kept, e)
	}
	clear(waiting[len(kept):])
	s.queue.waiting = kept
	return out
}

// decide looks for a target for a waiting request, or only at its time.
func (ac *Controller) decide(now time.Time, s *service, e *entry, scan bool) (Verdict, bool) {
	if !scan && now.Before(e.refuseAt) {
		return Verdict{}, false
	}
	c, found := s.choose(now, e.req, ac.opts.Domain, e.rank)
	if found && c.room {
		return ac.send(now, s, e.req, c), true
	}
	if now.Before(e.refuseAt) {
		return Verdict{}, false
	}
	v := Verdict{ID: e.req.ID, Refused: Expired, RetryAfter: ac.spread(s.queueWait(now)), Inputs: c.inputs}
	if !found {
		v.Refused = NoTarget
	}
	return v, true
}
