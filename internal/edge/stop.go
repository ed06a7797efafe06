package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/umberhill/umberhill/internal/core/stopplan"
)

// stopRetryAfter is the Retry-After of a request that a stopping router refuses. Another router
// can take it at once; the time only spreads the retries.
const stopRetryAfter = 50 * time.Millisecond

// stopState is what is known of the router's stop.
type stopState struct {
	// plan is nil until the stop begins.
	plan atomic.Pointer[stopplan.Plan]
	// lastStart is done when the plan's LastStart has passed, end when its End has.
	lastStart, end       context.Context
	setLastStart, setEnd context.CancelFunc
}

func newStopState() *stopState {
	s := &stopState{}
	s.lastStart, s.setLastStart = context.WithCancel(context.Background()) //nolint:gosec // Stop calls it
	s.end, s.setEnd = context.WithCancel(context.Background())             //nolint:gosec // Stop calls it
	return s
}

// Stop makes the server end its requests by a plan: those that may not start any more are
// refused as not run, and those that are unfinished at its end get a response of the router.
func (s *Server) Stop(p stopplan.Plan) {
	s.stop.plan.Store(&p)
	time.AfterFunc(time.Until(p.LastStart), s.stop.setLastStart)
	time.AfterFunc(time.Until(p.End), s.stop.setEnd)
}

// mayStart reports whether an attempt may start for the request if the router is stopping.
func (e *exchange) mayStart() bool {
	p := e.server.stop.plan.Load()
	return p == nil || p.MayStart(time.Now(), e.deadline)
}

// whenTooLate calls f once the request may not start any more. stop ends that.
func (e *exchange) whenTooLate(f func()) (stop func() bool) {
	return context.AfterFunc(e.server.stop.lastStart, func() {
		if !e.mayStart() {
			f()
		}
	})
}

func newStopRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: stopRetryAfter, closesConn: true}
}

// endForStop ends a request that the router can't finish before its process ends.
func (e *exchange) endForStop() {
	if e.successor != nil {
		// It may have begun to run the request.
		e.ranAttempts++
	}
	if e.ranAttempts > 0 || e.stream.started {
		e.fail("stopping")
		return
	}
	e.refuse(newStopRefusal())
}
