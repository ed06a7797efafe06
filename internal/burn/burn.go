// Package burn measures how well workspaces' service-level objectives are met and
// how fast their error budgets burn. Each router records its own observations
// in bounded memory; the snapshots of all routers are merged into one report.
package burn

import (
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// Fault is the class of cause for which a request misses an objective.
type Fault string

// The classes of faults.
const (
	// FaultNone means that no fault occurred.
	FaultNone Fault = ""
	// FaultTarget means that the target failed, stalled or was slow.
	FaultTarget Fault = "target"
	// FaultQueue means that no capacity became free in time.
	FaultQueue Fault = "queue"
	// FaultDeadline means that the caller's deadline passed.
	FaultDeadline Fault = "deadline"
	// FaultRouter means that the router failed, stopped or was full.
	FaultRouter Fault = "router"
	// FaultPlatform means that a claim could not be written to the object service.
	FaultPlatform Fault = "platform"
	// FaultQuarantine means that the request crashed targets.
	FaultQuarantine Fault = "quarantine"
	// FaultLimit means that the workspace's own limits refused the request. It burns
	// no budget and is not counted.
	FaultLimit Fault = "limit"
	// FaultCaller means that the request was invalid or its caller disconnected. It
	// burns no budget and is not counted.
	FaultCaller Fault = "caller"
)

// countedFaults are the faults that burn error budgets, in the order of Tally.Faults.
var countedFaults = [...]Fault{FaultTarget, FaultQueue, FaultDeadline, FaultRouter, FaultPlatform, FaultQuarantine}

const numFaults = len(countedFaults)

// counterIndex returns the fault's index in countedFaults. An unknown fault counts as
// FaultRouter.
func (f Fault) counterIndex() int {
	for i, c := range countedFaults {
		if c == f {
			return i
		}
	}
	return FaultRouter.counterIndex()
}

// IsCounted reports whether observations with the fault count towards objectives.
func (f Fault) IsCounted() bool { return f != FaultLimit && f != FaultCaller }

// Objective names a service-level objective.
type Objective string

// The objectives of a contract.
const (
	Availability Objective = "availability"
	QueueTime    Objective = "queue_time"
	FirstToken   Objective = "first_token"
)

var objectives = [...]Objective{Availability, QueueTime, FirstToken}

const numObjectives = len(objectives)

// Observation is one request that has ended.
type Observation struct {
	Workspace ids.Workspace
	// OK is set if the caller received the whole response.
	OK bool
	// Fault is the class of fault of a request that is not OK, or that was late.
	Fault Fault
	// QueueTime is the wait before dispatch; it is negative if the request was
	// never dispatched.
	QueueTime time.Duration
	// FirstToken is the time to the first byte of the response; it is zero or less
	// if none was received.
	FirstToken time.Duration
	// At is when the request ended.
	At time.Time
}

// Sample is the state of a router, or the merged state of several, at a time. It is a
// point of the report's plots.
type Sample struct {
	// At is the time in Unix seconds, rounded down to a multiple of SampleSeconds
	// when it is recorded.
	At int64 `json:"at"`
	// Gap is the greatest difference in virtual service between backlogged
	// workspaces at the router, in service units divided by weight.
	Gap float64 `json:"gap"`
	// Utilisation is the used share of the targets' concurrency, 0 to 1.
	Utilisation float64 `json:"utilisation"`
	// ControlBytes is the traffic sent on the peer links, in bytes per second and router.
	ControlBytes float64 `json:"control_bytes"`
	// Routers is the number of routers merged into the sample.
	Routers int `json:"routers"`
}

// verdict holds the evaluation of an observation by the index in objectives: whether the
// objective counts it, whether it misses the objective, and its fault.
type verdict struct {
	isCounted [numObjectives]bool
	isMissed  [numObjectives]bool
	fault     [numObjectives]Fault
}

func evaluate(o Observation, slo *api.Objectives) verdict {
	var v verdict
	if slo == nil || !o.Fault.IsCounted() {
		return v
	}
	if slo.Availability > 0 {
		v.isCounted[0] = true
		v.isMissed[0] = !o.OK
		v.fault[0] = faultOrRouter(o.Fault)
	}
	if slo.QueueTime != nil {
		v.isCounted[1] = o.QueueTime >= 0 || o.isQueueTimeout()
		v.isMissed[1] = o.QueueTime > latencyBound(slo.QueueTime) || o.isQueueTimeout()
		v.fault[1] = queueTimeFault(o)
	}
	// A request without a response has no first token; only availability counts it.
	if slo.FirstToken != nil && o.FirstToken > 0 {
		v.isCounted[2] = true
		v.isMissed[2] = o.FirstToken > latencyBound(slo.FirstToken)
		v.fault[2] = firstTokenFault(o)
	}
	return v
}

// isQueueTimeout reports whether the request waited in the queue until it failed, without
// being dispatched.
func (o Observation) isQueueTimeout() bool {
	return o.QueueTime < 0 && (o.Fault == FaultQueue || o.Fault == FaultDeadline)
}

func latencyBound(l *api.Latency) time.Duration {
	return time.Duration(l.Milliseconds) * time.Millisecond
}

func faultOrRouter(f Fault) Fault {
	if f == FaultNone {
		return FaultRouter
	}
	return f
}

// queueTimeFault returns FaultQueue if the request's fault is FaultNone or FaultDeadline,
// since a lack of capacity then caused the late dispatch, else the request's fault.
func queueTimeFault(o Observation) Fault {
	if o.Fault != FaultNone && o.Fault != FaultDeadline {
		return o.Fault
	}
	return FaultQueue
}

// firstTokenFault returns the request's fault if it has one. Else it returns FaultQueue if
// the request spent more than half of the time to the first token in the queue, and
// FaultTarget if not.
func firstTokenFault(o Observation) Fault {
	switch {
	case o.Fault != FaultNone:
		return o.Fault
	case o.QueueTime > o.FirstToken/2:
		return FaultQueue
	default:
		return FaultTarget
	}
}
