package edge

import (
	"context"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// maxRefusedSends, untuned, bounds how often a request goes to another target after
	// one that could not be reached or said that it did not run it.
	maxRefusedSends = 3
	// rejectedRetry, untuned, is the Retry-After after targets rejected a request.
	rejectedRetry = 400 * time.Millisecond
)

// exchange is the state of one caller's request.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   Meta
	record RequestRecord

	arrived   time.Time
	deadline  time.Time
	route     *routing.Route
	service   string
	conf      *routing.Service
	workspace ids.Workspace
	priority  int
	body      []byte
	// reserved are the bytes held for the body.
	reserved int64
	// fingerprint is the same for all tries of a caller's request.
	fingerprint uint64

	// exclude are the targets tried so far; ran of them may have begun to run the
	// request, refused of them did not.
	exclude []ids.Target
	ran     int
	refused int
	// held is a target's own failure, passed on if no further try is better.
	held *answer
	// stream is set once events were passed on.
	stream streamState
}

// ending is how one attempt ended.
type ending int

// The endings of an attempt.
const (
	// delivered: the caller has its answer.
	delivered ending = iota
	// notSent: no byte of the request reached a target.
	notSent
	// rejected: the target says that it did not run the request.
	rejected
	// unknown: the target may have run it, and there is no whole answer.
	unknown
	// failedWhole: the target answered with a failure of its own.
	failedWhole
	// expired: the request's time is up.
	expired
	// callerLeft: the caller has closed its connection.
	callerLeft
)

var endingNames = map[ending]string{
	delivered: "delivered", notSent: "not_sent", rejected: "rejected", unknown: "unknown",
	failedWhole: "failed", expired: "expired", callerLeft: "caller_left",
}

// unfinished tells whether another target may be tried after an ending.
func (e ending) unfinished() bool {
	switch e {
	case notSent, rejected, unknown, failedWhole:
		return true
	default:
		return false
	}
}

// repeatable tells whether the request may run again.
func (e *exchange) repeatable() bool {
	return e.route.Kind == routing.Idempotent || e.resumable()
}

func (e *exchange) resumable() bool {
	return e.route.Kind == routing.Stream && e.route.Resumable
}

// interruption tells why a request was broken off.
func (e *exchange) interruption() ending {
	if e.r.Context().Err() != nil {
		return callerLeft
	}
	return expired
}

// serve brings the request to a target, and to further ones as far as allowed.
func (e *exchange) serve() {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.deadline)
	defer cancel()
	if e.quarantined() {
		// It would crash one more target; there is no use in coming back.
		e.refuse(&refusal{status: http.StatusBadGateway, reason: "quarantined"})
		return
	}
	e.server.budget(e.service).First()
	for {
		asked := time.Now()
		v, decided := e.server.opts.Scheduler.Acquire(ctx, e.request(), e.queued)
		if !decided {
			e.settled(e.interruption())
			return
		}
		e.decided(v, time.Since(asked))
		if v.Refused != "" {
			e.refuseVerdict(v)
			return
		}
		end := e.attempt(ctx, v, time.Since(asked))
		if e.settled(end) {
			return
		}
		e.server.counts.retried.Inc(1)
	}
}

func (e *exchange) request() admit.Request {
	return admit.Request{
		Service:      e.service,
		Workspace:    e.workspace,
		Priority:     e.priority,
		Parts:        e.meta.Parts,
		PromptTokens: e.meta.Prompt,
		OutputTokens: e.meta.Output,
		Arrived:      e.arrived,
		Deadline:     e.deadline,
		Objective:    e.route.Objective,
		Exclude:      e.exclude,
	}
}

// settled tells whether the request has come to its end; where it has not,
// another target is to be tried.
func (e *exchange) settled(end ending) bool {
	switch end {
	case expired:
		e.timeUp()
	case callerLeft:
		e.leave()
	case notSent, rejected:
		e.refused++
		// What reached a target counts there as a repeat of the request.
		if e.refused <= maxRefusedSends && (end == notSent || e.server.budget(e.service).Take()) {
			return false
		}
		e.giveUp("target_refused")
	case unknown, failedWhole:
		e.ran++
		if e.repeatable() && e.ran < max(1, e.route.MaxAttempts) && e.server.budget(e.service).Take() {
			return false
		}
		e.giveUp("target_failed")
	case delivered:
	}
	return true
}

// giveUp ends a request for which no further target is tried.
func (e *exchange) giveUp(reason string) {
	switch {
	case e.stream.started:
		e.cut(reason)
	case e.held != nil:
		e.deliver(e.held)
	case e.ran > 0:
		e.refuse(&refusal{status: http.StatusBadGateway, reason: reason})
	default:
		e.refuse(&refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: rejectedRetry})
	}
}

// refuseVerdict ends a request that the scheduler refused.
func (e *exchange) refuseVerdict(v admit.Verdict) {
	if e.ran > 0 || e.stream.started {
		e.giveUp(string(v.Refused))
		return
	}
	e.refuse(&refusal{
		status:     http.StatusServiceUnavailable,
		reason:     string(v.Refused),
		retryAfter: v.RetryAfter,
	})
}

// timeUp ends a request whose time has passed.
func (e *exchange) timeUp() {
	switch {
	case e.stream.started:
		e.cut("timeout")
	case e.held != nil:
		e.deliver(e.held)
	default:
		e.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	}
}

// leave ends a request whose caller has left. One that closed only its sending
// side may still read: a stream that was begun must not look whole.
func (e *exchange) leave() {
	e.record.Outcome = "left"
	e.server.counts.left.Inc(1)
	if e.stream.started {
		panic(http.ErrAbortHandler)
	}
}

// cut breaks the caller's connection, so that what was sent of the answer can't
// be taken for the whole.
func (e *exchange) cut(reason string) {
	e.record.Outcome, e.record.Reason = "cut", reason
	e.server.counts.failed.Inc(1)
	panic(http.ErrAbortHandler)
}

// finish writes the request's record.
func (e *exchange) finish() {
	e.server.bodies.give(e.reserved)
	e.record.Took = time.Since(e.arrived)
	e.record.Events = e.stream.events
	if e.record.Outcome == "served" {
		e.server.counts.served.Inc(1)
	}
	e.server.counts.whole.Record(e.record.Took)
	e.server.opts.Log.Request(e.record)
}

func endpoint(t routing.Target) upstream.Endpoint {
	return upstream.Endpoint{Target: t.ID, Born: t.Born, Address: t.Address}
}
