package edge

import (
	"context"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/upstream"
)

// failoverTimeout bounds how long a silent target keeps a stream that another target has
// received and not yet responded to, and thereby how long both may work on it.
const failoverTimeout = 250 * time.Millisecond

// limitSilence bounds the wait for the target's next bytes: by the request's deadline, and,
// if another target can take over, by the time after which the target counts as hung, 0
// for none.
func (a *attempt) limitSilence(ctx context.Context, silence time.Duration) {
	a.ctx = ctx
	a.conn.SetReadLimits(upstream.ReadLimits{
		Deadline: a.deadline, Silence: silence,
		OnSilence: func() bool { return !a.failOver() },
		// Bytes that make no event do not show that a stream goes on.
		OnlyMarked: a.isRelayingStream,
	})
}

// failOver sends the request to another target that has room and reports whether that one
// takes over. Until then the attempt goes on, since a silent target may still continue.
func (a *attempt) failOver() bool {
	if a.ranAttempts+1 >= max(1, a.route.MaxAttempts) || a.rejectedAttempts >= maxRejectedAttempts {
		return false
	}
	if !a.isRepeatable() || a.hasQuarantinedPart() || !a.mayStart() {
		return false
	}
	r := a.admitRequest()
	r.Exclude = append(slices.Clone(r.Exclude), a.verdict.Target.ID)
	v, started := a.server.opts.Scheduler.TryAcquire(r)
	if !started {
		return false
	}
	if !a.server.budget(a.service).Take() {
		a.server.opts.Scheduler.AttemptEnded(v.ID, admit.End{Result: admit.Canceled, NotRun: true})
		return false
	}
	a.logDecision(v, 0)
	next := a.newAttempt(v, 0)
	outcome, err := next.tryTakeOver(a.ctx)
	if outcome == outcomeSent {
		a.successor = next
		return true
	}
	defer next.release()
	switch next.finish(a.ctx, outcome, err) {
	case outcomeUnknown, outcomeTargetError:
		a.ranAttempts++
	default:
		a.rejectedAttempts++
	}
	return false
}

// tryTakeOver sends a request whose present target is silent. Its outcome is outcomeSent
// unless the target rejects the request, fails or responds with another kind of response
// within failoverTimeout.
func (a *attempt) tryTakeOver(ctx context.Context) (attemptOutcome, error) {
	if outcome, err := a.send(ctx); outcome != outcomeSent {
		return outcome, err
	}
	err := a.conn.AwaitResponse(time.Now().Add(failoverTimeout))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return outcomeSent, nil
	}
	a.conn.SetReadLimits(upstream.ReadLimits{Deadline: a.deadline})
	meta, err := a.receiveOwn()
	if err != nil {
		a.stopAbort()
		return outcomeUnknown, err
	}
	success := a.resp.StatusCode/100 == 2
	isStream := success && meta.Signed && isEventStream(a.resp)
	if isStream && a.stream.checkHead(a.resp.StatusCode, true, true) == nil {
		return outcomeSent, nil
	}
	a.stopAbort()
	a.conn.Close()
	if success || !meta.NotRun {
		a.end.Result = admit.Failed
		if a.turnedAway {
			a.end.Result = admit.Rejected
		}
		return outcomeTargetError, errors.Newf("target answered status %d to a failover", a.resp.StatusCode)
	}
	a.end = admit.End{Result: admit.Rejected, NotRun: true}
	if meta.Replaced {
		a.end.Result = admit.Replaced
	}
	return outcomeRejected, errors.Newf("target answered status %d without running the request", a.resp.StatusCode)
}

// dropSuccessor ends an attempt that was to take over and is not needed any more.
func (e *exchange) dropSuccessor() {
	next := e.successor
	if next == nil {
		return
	}
	e.successor = nil
	next.stopAbort()
	next.conn.Close()
	next.record.Outcome = attemptOutcomeNames[outcomeCanceled]
	next.reportOutcome(outcomeCanceled)
	next.release()
}
