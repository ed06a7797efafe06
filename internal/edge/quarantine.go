package edge

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/umberhill/umberhill/internal/core/admit"
	core "github.com/umberhill/umberhill/internal/core/quarantine"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/upstream"
)

// isQuarantined reports whether requests with the fingerprint of this one are known
// to crash the targets that run them.
func (e *exchange) isQuarantined() bool {
	q := e.server.opts.Quarantine
	if q == nil {
		return false
	}
	e.fingerprint = quarantine.Fingerprint(e.workspace, ids.Pool(e.r.Method+" "+requestURI(e.r)), e.body)
	return !q.Admit(e.fingerprint).Run
}

// hasQuarantinedPart reports whether a part of the request's prompt is known to crash the
// targets that begin an answer on it.
func (e *exchange) hasQuarantinedPart() bool {
	q := e.server.opts.Quarantine
	return q != nil && len(e.meta.SharedParts) > 0 && !q.AdmitParts(e.meta.SharedParts)
}

const (
	// crashCheckDelay is the delay of checks after which a crash that was under way is over. A
	// target takes longer to be back.
	crashCheckDelay = 100 * time.Millisecond
	// optionalChecksPerSecond and optionalCheckBurst bound the optional checks, since many callers
	// may leave at once and each check may take a connection from a sound target.
	optionalChecksPerSecond = 5
	optionalCheckBurst      = 10
)

// crashChecks counts the checks whether targets have crashed, by their results.
type crashChecks struct {
	gone, alive, skipped tally.Counter
	optional             *rate.Limiter
}

func newCrashChecks(scope tally.Scope) crashChecks {
	counter := func(result string) tally.Counter {
		c := scope.Tagged(map[string]string{"result": result}).Counter("crash_checks")
		c.Inc(0)
		return c
	}
	return crashChecks{
		gone: counter("gone"), alive: counter("alive"), skipped: counter("skipped"),
		optional: rate.NewLimiter(optionalChecksPerSecond, optionalCheckBurst),
	}
}

// reportBegun reports to the quarantine that complete events of an answer have arrived. A part of
// the first one does not show that the target survives the request.
func (a *attempt) reportBegun(events []byte) {
	q := a.server.opts.Quarantine
	if q == nil || a.hasBegun || len(events) == 0 {
		return
	}
	a.hasBegun = true
	q.Began(uint64(a.verdict.ID))
}

// reportOutcome reports the outcome of an attempt to the quarantine. If the target may have
// crashed, it first checks in the background whether the target is still there, so that the
// caller does not wait for the check.
func (a *attempt) reportOutcome(outcome attemptOutcome) {
	q := a.server.opts.Quarantine
	if q == nil {
		return
	}
	id, result := uint64(a.verdict.ID), quarantine.Canceled
	if outcome == outcomeDelivered {
		result = quarantine.OK
	}
	checks, check := &a.server.crashChecks, a.responseEnd().CrashCheck()
	if check.Due && check.Optional && !checks.optional.Allow() {
		checks.skipped.Inc(1)
		check.Due = false
	}
	if !check.Due {
		q.Finish(id, result)
		return
	}
	pool, target := a.server.opts.Pool, endpoint(a.verdict.Target)
	go func() {
		isAlive := false
		if check.Delayed {
			time.Sleep(crashCheckDelay)
			isAlive = pool.HasOpenIdle(target)
		}
		if isAlive || !pool.IsConnectionRefused(context.Background(), target) {
			checks.alive.Inc(1)
			q.Finish(id, result)
			return
		}
		checks.gone.Inc(1)
		q.Finish(id, quarantine.Crashed)
	}()
}

// responseEnd returns how the attempt ended at its target.
func (a *attempt) responseEnd() core.AttemptEnd {
	end := core.AttemptEnd{
		Sent: a.conn != nil, NotRun: a.end.NotRun, Whole: a.isWhole,
		EndsWithConn: a.resp != nil && upstream.EndsWithConn(a.resp),
		Failed:       a.end.Result == admit.Failed || a.end.Result == admit.Unreachable,
	}
	// A connection that the pool has again may be in use by another request.
	if end.Sent && (!end.Whole || end.EndsWithConn) {
		end.ConnEnded = a.conn.HasEnded()
	}
	return end
}
