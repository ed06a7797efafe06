package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// maxRejectedAttempts limits how often a request is sent to another target after
	// a target that was unreachable or stated that it did not run the request.
	maxRejectedAttempts = 3
	// rejectedRetryAfter is the Retry-After of a request that targets rejected.
	rejectedRetryAfter = 400 * time.Millisecond
)

// exchange is the state of one caller's request.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   RequestMeta
	record RequestRecord

	arrivedAt     time.Time
	deadline      time.Time
	route         *routing.Route
	service       string
	serviceConfig *routing.Service
	// hasSeveralServices is set if the route has several services, or had others a short time ago.
	hasSeveralServices bool
	workspace          ids.Workspace
	priority           int
	// regions are those whose targets may get the request, nil for all.
	regions []string
	body    []byte
	// bodyRead is set once the whole body has been read.
	bodyRead bool
	// bodyHeld and responseHeld are the parts of the server's memory for bodies and for
	// responses that the request holds.
	bodyHeld, responseHeld holding
	// fingerprint identifies the request to the quarantine. It is the same when the
	// caller retries the request.
	fingerprint uint64

	// attempts counts the attempts begun, ranAttempts those in which the target may have
	// started to run the request, rejectedAttempts those in which it did not. exclude lists
	// the targets tried so far.
	attempts         int
	exclude          []ids.Target
	ranAttempts      int
	rejectedAttempts int
	// successor is the next attempt, which has been sent already, nil for none.
	successor *attempt
	// origin is where the stream of the response began, nil if there are no events yet and
	// it may begin at any target.
	origin *streams.Origin
	// targetError is the error response of a target. It is sent to the caller if no
	// later attempt succeeds.
	targetError *fullResponse
	// stream is the progress of a streamed response to the caller.
	stream streamState
	// responseComplete is set once a complete response was written to the caller.
	responseComplete bool
}

// attemptOutcome is the outcome of one attempt.
type attemptOutcome int

// The outcomes of an attempt.
const (
	// outcomeDelivered means that the response was sent to the caller.
	outcomeDelivered attemptOutcome = iota
	// outcomeNotSent means that no byte of the request was sent to a target.
	outcomeNotSent
	// outcomeRejected means that the target stated that it did not run the request.
	outcomeRejected
	// outcomeUnknown means that the target may have run the request, and that its
	// response is missing or incomplete.
	outcomeUnknown
	// outcomeTargetError means that the target responded with a server error.
	outcomeTargetError
	// outcomeExpired means that the request's deadline has passed.
	outcomeExpired
	// outcomeSent means that the request was sent to a target, whose response is awaited.
	outcomeSent
	// outcomeCanceled means that the caller has closed its connection.
	outcomeCanceled
	// outcomeNoMemory means that the router has no memory for the response.
	outcomeNoMemory
	// outcomeCallerStalled means that the caller did not read its stream.
	outcomeCallerStalled
	// outcomeStopped means that the router stops before the request can end.
	outcomeStopped
)

var attemptOutcomeNames = map[attemptOutcome]string{
	outcomeDelivered: "delivered", outcomeNotSent: "not_sent", outcomeRejected: "rejected", outcomeUnknown: "unknown",
	outcomeTargetError: "failed", outcomeExpired: "expired", outcomeCanceled: "caller_left",
	outcomeNoMemory: "no_memory", outcomeCallerStalled: "caller_stalled", outcomeStopped: "stopped",
}

// isRetryable reports whether another target may be tried after the outcome.
func (o attemptOutcome) isRetryable() bool {
	switch o {
	case outcomeNotSent, outcomeRejected, outcomeUnknown, outcomeTargetError:
		return true
	default:
		return false
	}
}

// isRepeatable reports whether the request, or what is left of its stream, may run once more.
// A second run of an idempotent request may differ from the first, so it is no continuation.
func (e *exchange) isRepeatable() bool {
	if e.stream.started {
		return e.isResumable() && e.stream.canContinue()
	}
	return e.route.Kind == routing.Idempotent || e.isResumable()
}

func (e *exchange) isResumable() bool {
	return e.route.Kind == routing.Stream && e.route.Resumable
}

// interruptedOutcome returns the outcome of a request whose context, which has its deadline
// and ends with the router's requests, has ended.
func (e *exchange) interruptedOutcome(ctx context.Context) attemptOutcome {
	switch {
	case e.r.Context().Err() != nil:
		return outcomeCanceled
	case errors.Is(ctx.Err(), context.Canceled):
		return outcomeStopped
	default:
		return outcomeExpired
	}
}

// serve sends the request to a target, and to further targets as far as retries
// are allowed.
func (e *exchange) serve() {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	defer context.AfterFunc(e.server.stop.end, cancel)()
	if e.isQuarantined() {
		e.refuseQuarantined()
		return
	}
	e.server.budget(e.service).RecordFirstAttempt()
	defer e.dropSuccessor()
	for {
		a := e.successor
		e.successor = nil
		if a == nil {
			if a = e.acquire(ctx); a == nil {
				return
			}
		}
		outcome := e.attempt(ctx, a)
		if e.handleOutcome(outcome) {
			return
		}
		e.server.counts.retried.Inc(1)
	}
}

// acquire waits for a place at a target and returns an attempt there, or nil if it has ended the
// request.
func (e *exchange) acquire(ctx context.Context) *attempt {
	if !e.mayStart() {
		e.handleOutcome(outcomeStopped)
		return nil
	}
	if e.hasQuarantinedPart() {
		e.refuseQuarantined()
		return nil
	}
	submitted := time.Now()
	ctx, endWait := context.WithCancel(ctx)
	defer endWait()
	defer e.whenTooLate(endWait)()
	v, decided := e.server.opts.Scheduler.Acquire(ctx, e.admitRequest(), e.logQueued)
	if !decided {
		e.handleOutcome(e.interruptedOutcome(ctx))
		return nil
	}
	e.logDecision(v, time.Since(submitted))
	if v.Refused != "" {
		e.refuseByVerdict(v)
		return nil
	}
	waited := time.Since(submitted)
	if !e.mayStart() || ctx.Err() != nil {
		// The verdict came too late, as after a suspension of this process.
		endWait()
		e.giveBack(v)
		e.handleOutcome(e.interruptedOutcome(ctx))
		return nil
	}
	if e.hasQuarantinedPart() {
		// It was quarantined while the request waited.
		e.giveBack(v)
		e.refuseQuarantined()
		return nil
	}
	return e.newAttempt(v, waited)
}

// giveBack returns a place at a target that the request does not use.
func (e *exchange) giveBack(v admit.Verdict) {
	e.server.opts.Scheduler.AttemptEnded(v.ID, admit.End{Result: admit.Canceled, NotRun: true})
}

// refuseQuarantined ends a request that would crash another target. There is no Retry-After,
// since a retry by the caller would be refused too.
func (e *exchange) refuseQuarantined() {
	if e.stream.started {
		e.abort("quarantined")
		return
	}
	e.refuse(&refusal{status: http.StatusBadGateway, reason: "quarantined"})
}

func (e *exchange) admitRequest() admit.Request {
	r := admit.Request{
		Service:      e.service,
		Workspace:    e.workspace,
		Priority:     e.priority,
		Parts:        e.meta.Parts,
		PromptTokens: e.meta.PromptTokens,
		OutputTokens: e.meta.OutputTokens,
		ArrivedAt:    e.arrivedAt,
		Deadline:     e.deadline,
		Objective:    e.route.Objective,
		GapObjective: e.route.GapObjective,
		Exclude:      e.exclude,
		Regions:      e.regions,
	}
	if e.origin != nil {
		r.KeepsVersion, r.SoftwareVersion = true, e.origin.Version
	}
	return r
}

// handleOutcome ends the request if the outcome of an attempt is final, and reports
// whether it did. If not, another target must be tried.
func (e *exchange) handleOutcome(outcome attemptOutcome) bool {
	switch outcome {
	case outcomeExpired:
		e.expire()
	case outcomeStopped:
		e.endForStop()
	case outcomeCanceled:
		e.cancel()
	case outcomeNotSent, outcomeRejected:
		e.rejectedAttempts++
		if e.successor != nil {
			// It may run the request, so that a refusal would be false.
			return false
		}
		if !e.mayStart() {
			e.endForStop()
			return true
		}
		// Another attempt would be refused. It must not take from the retry budget.
		if v, refused := e.server.opts.Scheduler.RefuseTurnedAway(e.admitRequest()); refused {
			e.logDecision(v, 0)
			e.refuseByVerdict(v)
			return true
		}
		// An attempt that reached a target takes from the retry budget, because the
		// next attempt is then a repeat of the request at the service.
		if e.rejectedAttempts <= maxRejectedAttempts && (outcome == outcomeNotSent || e.server.budget(e.service).Take()) {
			return false
		}
		e.fail("target_refused")
	case outcomeUnknown, outcomeTargetError:
		e.ranAttempts++
		if e.successor != nil {
			return false
		}
		if !e.mayStart() {
			e.fail("stopping")
			return true
		}
		if e.isRepeatable() && !e.bodyHeld.hasYielded() && e.ranAttempts < max(1, e.route.MaxAttempts) && e.server.budget(e.service).Take() {
			return false
		}
		e.fail("target_failed")
	case outcomeNoMemory:
		e.ranAttempts++
		e.fail("responses_full")
	case outcomeCallerStalled:
		e.abort("caller_stalled")
	case outcomeDelivered:
	}
	return true
}

// fail ends a request for which no further target is tried.
func (e *exchange) fail(reason string) {
	switch {
	case e.stream.started:
		e.abort(reason)
	case e.targetError != nil:
		e.deliver(e.targetError)
	case e.ranAttempts > 0:
		e.refuse(&refusal{status: http.StatusBadGateway, reason: reason})
	default:
		e.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: rejectedRetryAfter})
	}
}

// refuseByVerdict ends a request that the scheduler refused.
func (e *exchange) refuseByVerdict(v admit.Verdict) {
	if e.ranAttempts > 0 || e.stream.started {
		e.fail(string(v.Refused))
		return
	}
	e.refuse(&refusal{
		status:     http.StatusServiceUnavailable,
		reason:     string(v.Refused),
		retryAfter: v.RetryAfter,
	})
}

// expire ends a request whose deadline has passed.
func (e *exchange) expire() {
	switch {
	case e.stream.started:
		e.abort("timeout")
	case e.targetError != nil:
		e.deliver(e.targetError)
	default:
		e.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	}
}

// cancel ends a request whose caller has closed its connection, or only its sending
// side. The response stays incomplete, so ServeHTTP closes the connection.
func (e *exchange) cancel() {
	e.record.Outcome, e.record.Reason = "left", "caller closed the connection"
	e.server.counts.canceled.Inc(1)
}

// abort ends a request within its response. The response stays incomplete, so
// ServeHTTP closes the connection, and the caller does not take a partial response
// for a complete one.
func (e *exchange) abort(reason string) {
	e.record.Outcome, e.record.Reason = "cut", reason
	e.server.counts.failed.Inc(1)
}

// finish releases the memory reserved for bodies and writes the request's record
// to the log and the metrics.
func (e *exchange) finish() {
	e.releaseBody()
	e.responseHeld.release(e.responseHeld.bytes)
	e.record.Duration = time.Since(e.arrivedAt)
	e.record.Events = e.stream.events
	if e.record.Outcome == "" {
		e.record.Outcome, e.record.Reason = "cut", "no_response"
		e.server.counts.failed.Inc(1)
	}
	if e.record.Outcome == "served" {
		e.server.counts.served.Inc(1)
	}
	e.server.counts.requestTime.Record(e.record.Duration)
	e.server.opts.Log.Request(e.record)
}

func endpoint(t routing.Target) upstream.Endpoint {
	return upstream.Endpoint{Target: t.ID, StartTimeMS: t.StartTimeMS, Address: t.Address}
}
