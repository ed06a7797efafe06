package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// enqueue adds a request to the queue, or refuses it if its response cannot start in
// time.
func (ac *Controller) enqueue(now time.Time, s *service, r *Request, c candidate, wait time.Duration) Verdict {
	starts := now.Add(max(wait, c.wait) + c.inputs.PredictedLatency)
	latest := r.ArrivedAt.Add(time.Duration(latestStartShare * float64(r.Objective)))
	if starts.After(latest) || s.queue.len() >= maxQueueLength {
		s.recordRefusal(now, r, c.inputs.Rank, wait)
		return ac.refuse(now, r, c.inputs)
	}
	s.queue.add(&entry{req: r, rank: c.inputs.Rank, refuseAt: refuseTime(r)})
	return Verdict{ID: r.ID, Waiting: true, Inputs: c.inputs}
}

// refuseTime returns when a request that still waits is refused.
func refuseTime(r *Request) time.Time {
	return r.ArrivedAt.Add(max(r.Objective, time.Duration(queueTimeShare*float64(r.Deadline.Sub(r.ArrivedAt)))))
}

// Cancel removes a request from the queue and reports whether it was queued.
func (ac *Controller) Cancel(id ID) bool {
	for _, s := range ac.services {
		if s.queue.remove(id) {
			s.limits.SetWaiting(s.queue.len())
			return true
		}
	}
	return false
}

// Poll returns the verdicts on those queued requests that can be decided now.
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
	s.queue.sort(now, func(r *Request) share.Rank { return ac.rank(now, s, r) })
	acceptsFrom, hasTarget := s.acceptsFrom(now, nil)
	kept := s.queue.waiting[:0]
	waiting := s.queue.waiting
	for i, e := range waiting {
		isHopeless := !hasTarget || e.refuseAt.Before(acceptsFrom) || e.req.isRestricted() && !s.hasOpenTarget(e.req)
		v, decided := ac.decideQueued(now, s, e, i < maxScanned || isHopeless)
		if decided {
			out = append(out, v)
			continue
		}
		kept = append(kept, e)
	}
	clear(waiting[len(kept):])
	s.queue.waiting = kept
	s.limits.SetWaiting(len(kept))
	return out
}

// decideQueued decides on a queued request, if possible. Unless scan is set it looks
// for a target only once the request is due to be refused. A request that no target will
// accept is refused at once.
func (ac *Controller) decideQueued(now time.Time, s *service, e *entry, scan bool) (Verdict, bool) {
	if !scan && now.Before(e.refuseAt) {
		return Verdict{}, false
	}
	c, found := s.choose(now, e.req, ac.opts.Domain, e.rank)
	if s.isEngine() {
		c.inputs.recordBasis(e.req, ac.window.Standing(now, e.req.Workspace))
	}
	if found && c.hasRoom {
		return ac.send(now, s, e.req, c), true
	}
	if now.Before(e.refuseAt) && (found || s.mayAccept(now, e)) {
		return Verdict{}, false
	}
	v := Verdict{ID: e.req.ID, Refused: Expired, RetryAfter: ac.jitteredRetryAfter(s.expectedQueueWait(now))}
	if !found {
		v = ac.refuseWithoutTarget(now, s, e.req)
	}
	v.Inputs = c.inputs
	return v, true
}

// mayAccept reports whether a target may accept the request before it is due to be
// refused.
func (s *service) mayAccept(now time.Time, e *entry) bool {
	from, ok := s.acceptsFrom(now, e.req.Exclude)
	return ok && s.hasOpenTarget(e.req) && !e.refuseAt.Before(from)
}
