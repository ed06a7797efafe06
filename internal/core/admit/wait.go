package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
)

// hold puts a request into the line, or refuses it where it can't be in time.
func (l *Line) hold(now time.Time, s *service, r *Request, c candidate, wait time.Duration) Verdict {
	v := Verdict{ID: r.ID, Inputs: c.inputs}
	starts := now.Add(max(wait, c.wait) + c.inputs.Predicted)
	latest := r.Arrived.Add(time.Duration(startShare * float64(r.Objective)))
	switch {
	case starts.After(latest), s.line.len() >= maxLine:
		v.Refused = Saturated
	default:
		v.Waiting = true
		s.line.add(&entry{req: r, rank: c.inputs.Rank, give: giveUp(r)})
		return v
	}
	s.saturated[r.Objective] = saturation{until: now.Add(fullLife), rank: c.inputs.Rank, back: wait}
	v.RetryAfter = l.spread(wait)
	return v
}

// giveUp is when a request that still waits is refused.
func giveUp(r *Request) time.Time {
	return r.Arrived.Add(max(r.Objective, time.Duration(patience*float64(r.Deadline.Sub(r.Arrived)))))
}

// Withdraw takes a request out of the line and tells whether it was there.
func (l *Line) Withdraw(id ID) bool {
	for _, s := range l.services {
		if s.line.remove(id) {
			return true
		}
	}
	return false
}

// Waiting returns the number of requests in the line.
func (l *Line) Waiting() int {
	n := 0
	for _, s := range l.services {
		n += s.line.len()
	}
	return n
}

// Poll decides on the requests in the line, as far as they can be decided.
func (l *Line) Poll(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range l.services {
		if s.line.len() > 0 {
			out = l.pollService(now, s, out)
		}
	}
	return out
}

func (l *Line) pollService(now time.Time, s *service, out []Verdict) []Verdict {
	s.line.order(now, func(r *Request) share.Rank { return l.rank(now, s, r) })
	kept := s.line.waiting[:0]
	waiting := s.line.waiting
	for i, e := range waiting {
		v, decided := l.decide(now, s, e, i < maxLooks)
		if decided {
			out = append(out, v)
			continue
		}
		kept = append(kept, e)
	}
	clear(waiting[len(kept):])
	s.line.waiting = kept
	return out
}

// decide looks for a target for a waiting request, or only at its time.
func (l *Line) decide(now time.Time, s *service, e *entry, look bool) (Verdict, bool) {
	if !look && now.Before(e.give) {
		return Verdict{}, false
	}
	c, found := s.choose(now, e.req, l.opts.Domain, e.rank)
	if found && c.room {
		return l.send(now, s, e.req, c), true
	}
	if now.Before(e.give) {
		return Verdict{}, false
	}
	v := Verdict{ID: e.req.ID, Refused: Expired, RetryAfter: l.spread(s.lineWait(now)), Inputs: c.inputs}
	if !found {
		v.Refused = NoTarget
	}
	return v, true
}
