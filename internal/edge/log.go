package edge

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Log records the decisions on requests and their ends. It must not block.
type Log interface {
	// Decision records a decision when it is made.
	Decision(Decision)
	// Request records a request when it ends.
	Request(RequestRecord)
	// Statement records that a target said something new of itself.
	Statement(StatementRecord)
}

// Decision is one decision of the scheduler on a request.
type Decision struct {
	Request   string
	Workspace ids.Workspace
	// Step is "queued", "placed" or "refused".
	Step string
	// Attempt is the number of the attempt, from 1.
	Attempt int
	// Target and TargetVersion, the version of its software, are set if Step is "placed".
	Target        ids.Target
	TargetVersion string
	// ResumedID is that of the caller's header. LastEventID is the id of the event after
	// which the target resumes the stream, empty for a stream from its start.
	ResumedID, LastEventID string
	// Reason is set if Step is "refused".
	Reason admit.Reason
	// Waited is the time in the queue.
	Waited time.Duration
	// Inputs are the values on which the decision is based.
	Inputs admit.Inputs
}

func (e *exchange) logQueued(v admit.Verdict) {
	e.server.opts.Log.Decision(e.newDecision("queued", v))
}

func (e *exchange) logDecision(v admit.Verdict, waited time.Duration) {
	step := "placed"
	if v.Refused != "" {
		step = "refused"
	}
	d := e.newDecision(step, v)
	d.Waited = waited
	e.server.counts.queueWait.Record(waited)
	e.server.opts.Log.Decision(d)
}

func (e *exchange) newDecision(step string, v admit.Verdict) Decision {
	return Decision{
		Request:   e.meta.ID,
		Workspace: e.workspace,
		Step:      step,
		Attempt:   e.attempts + 1,
		Target:    v.Target.ID,
		Reason:    v.Refused,
		Inputs:    v.Inputs,

		TargetVersion: v.Target.SoftwareVersion,
		ResumedID:     e.meta.ResumedID,
		LastEventID:   e.lastEventID(),
	}
}

// RequestRecord is the log record of a request that has ended.
type RequestRecord struct {
	ID            string
	ArrivedAt     time.Time
	ConfigVersion uint64
	Route         string
	Workspace     ids.Workspace
	// Status is the HTTP status of the response, 0 if the caller closed its
	// connection or got no response.
	Status int
	// Outcome is "served", "refused", "failed", "cut" if the router closed the
	// connection without a complete response, or "left" if the caller closed it or
	// its sending side.
	Outcome string
	// Reason explains an outcome other than "served".
	Reason   string
	Attempts []AttemptRecord
	// ResumedID and LastEventID are those of the caller's header.
	ResumedID, LastEventID string
	// OriginVersion is the software version at which the resumed stream began, as
	// OriginEvidence tells; empty if unknown.
	OriginVersion  string
	OriginEvidence Evidence
	// TimeToFirstByte is the time from the arrival to the first byte of the
	// response.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	// Events counts the events with an id that were sent to the caller.
	Events int
	// RetryAfter is that of a refusal, 0 for none.
	RetryAfter time.Duration
}

// AttemptRecord is the log record of one attempt at a target.
type AttemptRecord struct {
	Target ids.Target
	// TargetVersion is the version of the target's software, empty if unknown.
	TargetVersion string
	Inputs        admit.Inputs
	// Waited is the time in the queue.
	Waited time.Duration
	// TimeToFirstByte is the time from the start of the attempt to the first event,
	// or to the complete response if it is not a stream.
	TimeToFirstByte time.Duration
	Duration        time.Duration
	// Outcome is one of the values of attemptOutcomeNames.
	Outcome string
	// NotRun is set if the target certainly did not run the request.
	NotRun bool
	// Silence is how long the target had sent nothing when the router ended the attempt
	// for that reason, 0 if the attempt ended otherwise.
	Silence time.Duration
	// ExtraResponses counts the responses of other requests that were skipped.
	ExtraResponses int
	// Status is the HTTP status of the target's response, 0 for none.
	Status int
	// FirstEventID and LastEventID are those of the events with an id that were accepted from
	// the target, empty for none.
	FirstEventID, LastEventID string
	Error                     string
}
