package admit

import (
	"time"
)

func (l *Line) send(now time.Time, s *service, r *Request, c candidate) Verdict {
	t := c.target
	f := &flight{req: r, target: t, sent: now, uncached: c.uncached, ahead: c.ahead}
	l.flights[r.ID] = f
	t.running++
	t.pending += f.uncached
	t.memory += r.Prompt + r.Output
	t.health.sent(r.ID)
	if s.engine() {
		l.window.Start(now, r.Workspace, r.tokens())
		t.cache.send(now, r.Parts)
	}
	return Verdict{ID: r.ID, Target: t.Target, Inputs: c.inputs}
}

// Began tells that a request's answer began: at an engine, its prompt has been
// read.
func (l *Line) Began(now time.Time, id ID) {
	f := l.flights[id]
	if f == nil || f.began {
		return
	}
	f.began, f.beganAt = true, now
	f.target.pending -= f.uncached
	s := l.services[f.req.Service]
	if s == nil || !s.engine() {
		return
	}
	took := now.Sub(f.sent)
	f.target.observeSlowness(now, took, s.fit.predict(f.ahead))
	s.fit.observe(f.ahead, took)
}

// Ended tells that a request has left its target.
func (l *Line) Ended(now time.Time, id ID, result Result) {
	f := l.flights[id]
	if f == nil {
		return
	}
	delete(l.flights, id)
	t := f.target
	t.running--
	t.memory -= f.req.Prompt + f.req.Output
	if !f.began {
		t.pending -= f.uncached
	}
	was := t.health.refusals
	t.health.result(now, id, result)
	if (was == 0) != (t.health.refusals == 0) {
		l.news = append(l.news, News{Target: t.ID, Reachable: t.health.refusals == 0, FailRate: t.health.rate(now)})
	}
	if s := l.services[f.req.Service]; s != nil && result == Served {
		took := now.Sub(f.sent)
		if !s.engine() {
			t.observeSlowness(now, took, s.fit.duration())
		}
		s.fit.ended(took)
	}
}

// TakeNews returns the changes of what is believed of targets since the last
// call.
func (l *Line) TakeNews() []News {
	news := l.news
	l.news = nil
	return news
}
