// Package sched is a router's scheduler: a deterministic state machine that
// decides which waiting request goes to which target. It answers contention for
// the targets: workspaces share them over all routers by weighted fair
// queueing, within the limits of their contracts.
//
// Routers share state through homes and owners, which are routers selected by
// rendezvous hashing. The home of an account adds up the service of a workspace at
// all routers; the home of a limit adds up the use that counts against it. The
// owner of a group of targets grants permits for them to the holders, the routers
// that send requests to the group. A hold is the message in which a holder reports
// its permits and demand; a lease is the owner's response. All of this state is
// exchanged in rounds, every ReportInterval; between rounds only holds and leases
// are sent.
//
// The package has no I/O, no clock and no goroutines. Scheduler.Step takes each
// event with the time at which it happened and returns the resulting actions.
//
// Invariants: a request is dispatched at most once, and only with a free permit
// for its target.
package sched

import (
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// RequestID identifies one attempt of a request at this router.
type RequestID uint64

// Request is one attempt to be dispatched to a target.
type Request struct {
	// ID is unique among the attempts of this incarnation.
	ID RequestID
	// Workspace is charged for the service.
	Workspace ids.Workspace
	// Pool contains the targets that can serve the request.
	Pool ids.Pool
	// Class is the execution class of the request, such as deferrable.
	Class api.Class
	// Hint is the caller's estimate of the cost in service units; zero for none.
	Hint float64
	// Deadline is when the caller stops waiting; zero for none.
	Deadline time.Time
	// Prefix is the hash of the prompt's prefix, used for cache affinity; zero for
	// none.
	Prefix uint64
	// Exclude lists the targets to which the request must not be sent.
	Exclude []ids.Target
	// Solo is set for a solo request: it is suspected of crashing its targets and
	// must be the only request at its target.
	Solo bool
}

// Event is an input of the scheduler.
type Event interface{ isEvent() }

// Submit adds a request to the queues.
type Submit struct{ Request Request }

// Cancel cancels a request that has not been dispatched. It has no effect on
// a dispatched request, which ends with Finish.
type Cancel struct{ ID RequestID }

// Progress reports the service units that a dispatched request has used so far.
type Progress struct {
	ID    RequestID
	Units float64
}

// Finish reports that a dispatched request has ended at its target.
type Finish struct {
	ID RequestID
	// Units is the total number of service units used.
	Units float64
	// Failed is set if the target failed; it is not set if the caller
	// disconnected.
	Failed bool
	// Rejected is set if the target rejected the request because it is full.
	Rejected bool
}

// Receive delivers a message from another router.
type Receive struct {
	From ids.Instance
	Msg  *schedv1.Message
}

// Tick lets the scheduler act on the passage of time. It must be sent at least
// every TickInterval.
type Tick struct{}

// SetRouters replaces the set of live routers, which includes this router.
type SetRouters struct{ Routers []Router }

// Router is a live router.
type Router struct {
	Instance ids.Instance
	Domain   ids.Domain
}

// SetTargets replaces the set of targets.
type SetTargets struct{ Targets []Target }

// Target describes a back end to the scheduler.
type Target struct {
	ID     ids.Target
	Domain ids.Domain
	Pools  []ids.Pool
	// Concurrency is the maximum number of requests that the target runs at a time.
	Concurrency int
	// Draining is set for a target that gets no new requests.
	Draining bool
}

// SetShares replaces the limits and weights of all workspaces.
type SetShares struct{ Shares []Share }

// PatchShares changes the limits and weights of some workspaces.
type PatchShares struct {
	// Put lists the shares to be added or replaced.
	Put []Share
	// Removed lists the workspaces whose shares are deleted.
	Removed []ids.Workspace
}

// Share is the part of a workspace's contract that the scheduler uses.
type Share struct {
	Workspace ids.Workspace
	Weight    float64
	Limits    api.Limits
}

// Load is a target's report about its own running and waiting requests, which
// lags behind its present state.
type Load struct {
	Target  ids.Target
	Running int
	Waiting int
}

// Drain starts the shutdown of the router: all waiting requests are refused, and
// permits are returned as they become free.
type Drain struct{}

func (Submit) isEvent()      {}
func (Cancel) isEvent()      {}
func (Progress) isEvent()    {}
func (Finish) isEvent()      {}
func (Receive) isEvent()     {}
func (Tick) isEvent()        {}
func (SetRouters) isEvent()  {}
func (SetTargets) isEvent()  {}
func (SetShares) isEvent()   {}
func (PatchShares) isEvent() {}
func (Load) isEvent()        {}
func (Drain) isEvent()       {}

// Action is an output of the scheduler that the router must perform.
type Action interface{ isAction() }

// Dispatch sends a request to a target now.
type Dispatch struct {
	ID     RequestID
	Target ids.Target
}

// Refuse ends a waiting request that has not run.
type Refuse struct {
	ID   RequestID
	Code outcome.Code
	// RetryAfter is the delay after which a retry may succeed.
	RetryAfter time.Duration
}

// Send sends a message to another router. The message may be lost.
type Send struct {
	To  ids.Instance
	Msg *schedv1.Message
}

func (Dispatch) isAction() {}
func (Refuse) isAction()   {}
func (Send) isAction()     {}

// Settings configures a Scheduler.
type Settings struct {
	// Self is this router's instance.
	Self ids.Instance
	// Incarnation identifies this run of the router.
	Incarnation ids.Incarnation
	// Domain is this router's failure domain.
	Domain ids.Domain
	// ReportInterval is the time between two reports to the home routers of the
	// accounts. Default DefaultReportInterval.
	ReportInterval time.Duration
	// Tolerance is how far above the least virtual service a flow may be, in units
	// per weight, and still reuse a permit that was recalled. Default
	// DefaultTolerance.
	Tolerance float64
	// Seed varies the choice among equally loaded targets.
	Seed uint64
	// Mode selects how requests are ordered and targets are shared. Default
	// ModeFleet.
	Mode Mode
}

// Mode selects between fair sharing over the fleet and the baselines, which
// exist for comparison only.
type Mode string

// Modes of the scheduler.
const (
	// ModeFleet shares targets over the whole fleet.
	ModeFleet Mode = "fleet"
	// ModeLocal gives each router a fair queue of its own and an equal share of
	// each target's concurrency. Routers exchange no messages.
	ModeLocal Mode = "local"
	// ModeFIFO dispatches requests in the order of arrival. Each router uses the
	// full concurrency of each target. Routers exchange no messages.
	ModeFIFO Mode = "fifo"
)

// Defaults of Settings.
const (
	DefaultReportInterval = 500 * time.Millisecond
	DefaultTolerance      = 256 // units per weight
)

// TickInterval is the maximum time between two Tick events.
const TickInterval = 20 * time.Millisecond
