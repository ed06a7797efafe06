// Package burn measures how workspaces' service-level objectives are met and
// how fast their error budgets burn. Each router records its own observations
// in bounded memory; snapshots of all routers merge into one report.
package burn

import (
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// Fault says what kept a request from meeting an objective.
type Fault string

// The classes of faults.
const (
	// FaultNone: nothing went wrong.
	FaultNone Fault = ""
	// FaultTarget: the target failed, stalled or was slow.
	FaultTarget Fault = "target"
	// FaultQueue: no capacity was free in time.
	FaultQueue Fault = "queue"
	// FaultDeadline: the caller's deadline passed.
	FaultDeadline Fault = "deadline"
	// FaultRouter: the router failed, stopped or was full.
	FaultRouter Fault = "router"
	// FaultPlatform: the object service kept a claim from being made.
	FaultPlatform Fault = "platform"
	// FaultQuarantine: the request crashed targets.
	FaultQuarantine Fault = "quarantine"
	// FaultLimit: the workspace's own limits refused the request. It burns no
	// budget and is not counted.
	FaultLimit Fault = "limit"
	// FaultCaller: the request was bad or its caller left. It burns no budget
	// and is not counted.
	FaultCaller Fault = "caller"
)

// counted are the faults that burn budgets, in the order of the counters.
var counted = [...]Fault{FaultTarget, FaultQueue, FaultDeadline, FaultRouter, FaultPlatform, FaultQuarantine}

const nFaults = len(counted)

// index returns the fault's counter. An unknown fault is the router's.
func (f Fault) index() int {
	for i, c := range counted {
		if c == f {
			return i
		}
	}
	return FaultRouter.index()
}

// Counts tells whether an observation with the fault says anything about an
// objective.
func (f Fault) Counts() bool { return f != FaultLimit && f != FaultCaller }

// Objective names a service-level objective.
type Objective string

// The objectives of a contract.
const (
	Availability Objective = "availability"
	QueueTime    Objective = "queue_time"
	FirstToken   Objective = "first_token"
)

var objectives = [...]Objective{Availability, QueueTime, FirstToken}

const nObjectives = len(objectives)

// Observation is one request that has ended.
type Observation struct {
	Workspace ids.Workspace
	// OK is set where the caller got the whole answer.
	OK bool
	// Fault of a request that is not OK, or that was late.
	Fault Fault
	// QueueTime is the wait before dispatch; negative where the request was
	// never dispatched.
	QueueTime time.Duration
	// FirstToken is the time to the first byte of the answer; zero or less
	// where none came.
	FirstToken time.Duration
	// At is when the request ended.
	At time.Time
}

// Sample is the state of a router at a time, for the plots.
type Sample struct {
	// At in Unix seconds, a multiple of SampleSeconds after recording.
	At int64 `json:"at"`
	// Gap is the greatest difference in virtual service between backlogged
	// workspaces that the router knows, in service units by weight.
	Gap float64 `json:"gap"`
	// Utilisation of the targets' concurrency, 0 to 1.
	Utilisation float64 `json:"utilisation"`
	// ControlBytes sent on the links, in bytes a second for each router.
	ControlBytes float64 `json:"control_bytes"`
	// Routers that the sample sums up.
	Routers int `json:"routers"`
}

// verdict tells which objectives an observation misses and why.
type verdict struct {
	counts [nObjectives]bool
	missed [nObjectives]bool
	fault  [nObjectives]Fault
}

func judge(o Observation, slo *api.Objectives) verdict {
	var v verdict
	if slo == nil || !o.Fault.Counts() {
		return v
	}
	if slo.Availability > 0 {
		v.counts[0] = true
		v.missed[0] = !o.OK
		v.fault[0] = orRouter(o.Fault)
	}
	if slo.QueueTime != nil {
		v.counts[1] = o.QueueTime >= 0 || o.gaveUpWaiting()
		v.missed[1] = o.QueueTime > bound(slo.QueueTime) || o.gaveUpWaiting()
		v.fault[1] = lateInQueue(o)
	}
	// A request without an answer has no first token; availability counts it.
	if slo.FirstToken != nil && o.FirstToken > 0 {
		v.counts[2] = true
		v.missed[2] = o.FirstToken > bound(slo.FirstToken)
		v.fault[2] = lateFirstToken(o)
	}
	return v
}

// gaveUpWaiting tells that the request waited and was never dispatched.
func (o Observation) gaveUpWaiting() bool {
	return o.QueueTime < 0 && (o.Fault == FaultQueue || o.Fault == FaultDeadline)
}

func bound(l *api.Latency) time.Duration { return time.Duration(l.Milliseconds) * time.Millisecond }

func orRouter(f Fault) Fault {
	if f == FaultNone {
		return FaultRouter
	}
	return f
}

// lateInQueue blames the fault that the request met, or the lack of capacity.
func lateInQueue(o Observation) Fault {
	if o.Fault != FaultNone && o.Fault != FaultDeadline {
		return o.Fault
	}
	return FaultQueue
}

// lateFirstToken blames the queue where most of the time passed there.
func lateFirstToken(o Observation) Fault {
	switch {
	case o.Fault != FaultNone:
		return o.Fault
	case o.QueueTime > o.FirstToken/2:
		return FaultQueue
	default:
		return FaultTarget
	}
}
