package admit

import (
	"time"
)

func (ac *Controller) send(now time.Time, s *service, r *Request, c candidate) Verdict {
	t := c.target
	ac.flights[r.ID] = &flight{candidate: c, req: r, sent: now}
	v := Verdict{ID: r.ID, Target: t.Target, Inputs: c.inputs}
	if c.source != nil {
		c.source.sending += c.inputs.Fetched
		v.FetchFrom = c.source.Target
	}
	t.running++
	t.pending += c.inputs.Uncached
	t.memory += r.Prompt + r.Output
	t.health.sent(r.ID)
	if s.engine() {
		ac.window.Start(now, r.Workspace, r.tokens())
		t.cache.send(now, now.Add(c.inputs.Predicted), r.Parts)
	}
	return v
}

// Began tells that a request's answer began: at an engine, its prompt has been
// read.
func (ac *Controller) Began(now time.Time, id ID) {
	f := ac.flights[id]
	if f == nil || f.began {
		return
	}
	f.begin()
	s := ac.services[f.req.Service]
	if s == nil || !s.engine() || f.source != nil {
		return
	}
	took := now.Sub(f.sent)
	f.target.observeSlowness(now, took, s.latency.predict(f.ahead))
	s.latency.observe(f.ahead, took)
}

// begin takes the request's prompt off what is to be read and transferred.
func (f *flight) begin() {
	if f.began {
		return
	}
	f.began = true
	f.target.pending -= f.inputs.Uncached
	if f.source != nil {
		f.source.sending -= f.inputs.Fetched
	}
}

// Ended tells that a request has left its target.
func (ac *Controller) Ended(now time.Time, id ID, result Result) {
	f := ac.flights[id]
	if f == nil {
		return
	}
	delete(ac.flights, id)
	t := f.target
	t.running--
	t.memory -= f.req.Prompt + f.req.Output
	f.begin()
	was := t.health.failures
	t.health.result(now, id, result)
	if (was == 0) != (t.health.failures == 0) {
		ac.changes = append(ac.changes, HealthChange{Target: t.ID, Reachable: t.health.failures == 0, FailRate: t.health.rate(now)})
	}
	if s := ac.services[f.req.Service]; s != nil && result == Served {
		took := now.Sub(f.sent)
		if !s.engine() {
			t.observeSlowness(now, took, s.latency.duration())
		}
		s.latency.ended(took)
	}
}

// TakeHealthChanges returns the changes of what is believed of targets since the last
// call.
func (ac *Controller) TakeHealthChanges() []HealthChange {
	changes := ac.changes
	ac.changes = nil
	return changes
}
