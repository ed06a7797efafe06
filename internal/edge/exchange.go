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
	// maxRefusedSends bounds how often a request goes to another target after
	// one that could not be reached or said that it did not run it.
	maxRefusedSends = 3
	// rejectedRetry is the Retry-After after targets rejected a request.
	rejectedRetry = 400 * time.Millisecond
)

// exchange is the state of one caller's request.
type exchange struct {
	server *Server
	w      http.ResponseWriter
	r      *http.Request
	meta   Meta
	entry  Entry

	arrived   time.Time
	deadline  time.Time
	route     *routing.Route
	service   string
	conf      *routing.Service
	workspace ids.Workspace
	body      []byte
	// reserved are the bytes held for the body.
	reserved int64
	// fingerprint is the same for all tries of a caller's request.
	fingerprint uint64

	// exclude are targets that failed this request, ran how many may have begun
	// to run it, and refused how many did not take it.
	exclude []ids.Target
	ran     int
	refused int
	// rejectedByTarget is set where the last attempt reached a target.
	rejectedByTarget bool
	// left is set where the caller was found to have left.
	left bool
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
	// notRun: the target did not run the request.
	notRun
	// unknown: the target may have run it, and there is no whole answer.
	unknown
	// failedWhole: the target answered with a failure of its own.
	failedWhole
	// over: the caller left or its time is up.
	over
)

var endingNames = map[ending]string{
	delivered: "delivered", notRun: "not_run", unknown: "unknown", failedWhole: "failed", over: "over",
}

// repeatable tells whether the request may run again.
func (e *exchange) repeatable() bool {
	return e.route.Kind == routing.Idempotent || e.resumable()
}

func (e *exchange) resumable() bool {
	return e.route.Kind == routing.Stream && e.route.Resumable
}

// carry brings the request to a target, and to further ones as far as allowed.
func (e *exchange) carry() {
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
			e.timeUp()
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
		Service:   e.service,
		Workspace: e.workspace,
		Parts:     e.meta.Parts,
		Prompt:    e.meta.Prompt,
		Output:    e.meta.Output,
		Arrived:   e.arrived,
		Deadline:  e.deadline,
		Objective: e.route.Objective,
		Exclude:   e.exclude,
	}
}

// settled tells whether the request has come to its end; where it has not,
// another target is to be tried.
func (e *exchange) settled(end ending) bool {
	switch end {
	case delivered:
		return true
	case over:
		e.timeUp()
		return true
	case notRun:
		e.refused++
		// A send that reached a target counts as a repeat of the request there.
		if e.refused <= maxRefusedSends && (!e.rejectedByTarget || e.server.budget(e.service).Take()) {
			return false
		}
		e.giveUp("target_refused")
		return true
	case unknown, failedWhole:
		e.ran++
		if e.repeatable() && e.ran < max(1, e.route.MaxAttempts) && e.server.budget(e.service).Take() {
			return false
		}
		e.giveUp("target_failed")
		return true
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

// timeUp ends a request whose caller left or whose time has passed.
func (e *exchange) timeUp() {
	if e.left || e.r.Context().Err() != nil {
		e.entry.Outcome = "left"
		e.server.counts.left.Inc(1)
		return
	}
	switch {
	case e.stream.started:
		e.cut("timeout")
	case e.held != nil:
		e.deliver(e.held)
	default:
		e.refuse(&refusal{status: http.StatusGatewayTimeout, reason: "timeout"})
	}
}

// cut breaks the caller's connection, so that what was sent of the answer can't
// be taken for the whole.
func (e *exchange) cut(reason string) {
	e.entry.Outcome, e.entry.Reason = "cut", reason
	e.server.counts.failed.Inc(1)
	panic(http.ErrAbortHandler)
}

// finish writes the request's line.
func (e *exchange) finish() {
	e.server.bodies.give(e.reserved)
	e.entry.Took = time.Since(e.arrived)
	e.entry.Events = e.stream.events
	if e.entry.Outcome == "served" {
		e.server.counts.served.Inc(1)
	}
	e.server.counts.whole.Record(e.entry.Took)
	e.server.opts.Log.Request(e.entry)
}

func endpoint(t routing.Target) upstream.Endpoint {
	return upstream.Endpoint{Target: t.ID, Born: t.Born, Address: t.Address}
}
