package edge

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Log takes what is decided on requests. It must not block.
type Log interface {
	// Decision is told when it is made.
	Decision(Decision)
	// Request is told at the end of each request.
	Request(RequestRecord)
}

// Decision is one decision on a request under way.
type Decision struct {
	Request   string
	Workspace ids.Workspace
	// Step is "queued", "placed" or "refused".
	Step string
	// Attempt counts from 1.
	Attempt int
	// Target, where placed.
	Target ids.Target
	// Reason, where refused.
	Reason admit.Reason
	// Waited is the time in the queue.
	Waited time.Duration
	Inputs admit.Inputs
}

func (e *exchange) queued(v admit.Verdict) {
	e.server.opts.Log.Decision(e.decision("queued", v))
}

func (e *exchange) decided(v admit.Verdict, waited time.Duration) {
	step := "placed"
	if v.Refused != "" {
		step = "refused"
	}
	d := e.decision(step, v)
	d.Waited = waited
	e.server.counts.waited.Record(waited)
	e.server.opts.Log.Decision(d)
}

func (e *exchange) decision(step string, v admit.Verdict) Decision {
	return Decision{
		Request:   e.meta.ID,
		Workspace: e.workspace,
		Step:      step,
		Attempt:   len(e.record.Attempts) + 1,
		Target:    v.Target.ID,
		Reason:    v.Refused,
		Inputs:    v.Inputs,
	}
}

// RequestRecord is what the log says of a request at its end.
type RequestRecord struct {
	ID        string
	Arrived   time.Time
	Version   uint64
	Route     string
	Workspace ids.Workspace
	// Status of the answer, 0 where the caller left or got none.
	Status int
	// Outcome is "served", "refused", "failed", "cut" or "left".
	Outcome string
	// Reason of an outcome other than "served".
	Reason   string
	Attempts []AttemptRecord
	// First is the time to the first byte of the answer.
	First time.Duration
	Took  time.Duration
	// Events of a stream that were passed on.
	Events int
	// RetryAfter of a refusal.
	RetryAfter time.Duration
}

// AttemptRecord is what the log says of one try at a target.
type AttemptRecord struct {
	Target ids.Target
	Inputs admit.Inputs
	// Waited is the time in the queue.
	Waited time.Duration
	// First is the time from the sending to the first event or the answer.
	First time.Duration
	Took  time.Duration
	End   string
	Error string
}
