package admit

import (
	"time"
)

// send records that a request is sent to the candidate's target and returns the
// verdict.
func (ac *Controller) send(now time.Time, s *service, r *Request, c candidate) Verdict {
	t := c.target
	ac.attempts[r.ID] = &attempt{candidate: c, req: r, sentAt: now, isUnaccepted: t.stated.turnAway.recordSent(), sentCold: s.limits.IsCold(now, t.run)}
	v := Verdict{ID: r.ID, Target: t.Target, Inputs: c.inputs}
	if c.source != nil {
		c.source.sendingTokens += c.inputs.FetchedTokens
		v.FetchFrom = c.source.Target
	}
	t.running++
	s.throttle.recordSent()
	t.pendingTokens += c.inputs.UncachedTokens
	t.memoryTokens += r.PromptTokens + r.OutputTokens
	t.health.recordSent(r.ID)
	s.limits.RecordSent(now, t.run)
	if s.isEngine() {
		ac.window.RecordStarted(now, r.Workspace, r.weightedTokens())
		t.cache.recordPrompt(now, now.Add(c.inputs.PredictedLatency), r.Parts)
	}
	return v
}

// ResponseStarted records that the response to a request has started. At an engine this
// means that its prompt has been prefilled. Those of cold targets are no observations of
// their speed, nor are those that this router was late to see.
func (ac *Controller) ResponseStarted(now time.Time, id ID, seenLate bool) {
	a := ac.attempts[id]
	if a == nil || a.responseStarted {
		return
	}
	a.markResponseStarted()
	a.endTurnAway(true)
	s := ac.services[a.req.Service]
	if s != nil && s.isEngine() && !a.sentCold && !seenLate {
		s.observeFirstEvent(now, a)
	}
}

// markResponseStarted removes the prompt from the tokens that are pending or being
// transferred.
func (a *attempt) markResponseStarted() {
	if a.responseStarted {
		return
	}
	a.responseStarted = true
	a.target.pendingTokens -= a.inputs.UncachedTokens
	if a.source != nil {
		a.source.sendingTokens -= a.inputs.FetchedTokens
	}
}

// AttemptEnded records that a request is no longer at its target. If it did not run, its
// workspace is no longer charged for it.
func (ac *Controller) AttemptEnded(now time.Time, id ID, end End) {
	a := ac.attempts[id]
	if a == nil {
		return
	}
	delete(ac.attempts, id)
	a.endTurnAway(end.Result == Served)
	t := a.target
	t.running--
	t.memoryTokens -= a.req.PromptTokens + a.req.OutputTokens
	a.markResponseStarted()
	failuresBefore := t.health.failures
	t.health.recordResult(now, id, end.Result)
	if (failuresBefore == 0) != (t.health.failures == 0) {
		ac.healthChanges = append(ac.healthChanges, HealthChange{Target: t.ID, Reachable: t.health.failures == 0, FailureRate: t.health.recentFailureRate(now)})
	}
	if end.Refused {
		ac.recordRefused(now, t)
	}
	s := ac.services[a.req.Service]
	if s == nil {
		return
	}
	if end.NotRun && s.isEngine() {
		ac.window.ReturnStarted(now, a.sentAt, a.req.Workspace, a.req.weightedTokens())
	}
	if end.Result == Served && !a.sentCold && !end.SeenLate {
		took := now.Sub(a.sentAt)
		if s.isEngine() {
			s.observeStream(now, t, end)
		} else {
			t.observeSlowness(now, took, s.latency.meanDuration())
		}
		s.latency.observeDuration(took)
	}
}

// TakeHealthChanges returns the changes of target health since the last call.
func (ac *Controller) TakeHealthChanges() []HealthChange {
	changes := ac.healthChanges
	ac.healthChanges = nil
	return changes
}
