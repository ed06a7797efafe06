// Package sched is a router's scheduler: a deterministic state machine that
// decides which waiting request goes to which target. It has no I/O, no clock
// and no goroutines. Events go in with the time at which they happened, and
// actions come out.
package sched

import (
	"time"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

// RequestID names one attempt of a request at this router.
type RequestID uint64

// Request is one attempt that waits for a target.
type Request struct {
	// ID is unique among the attempts of this incarnation.
	ID RequestID
	// Workspace that pays for the service.
	Workspace ids.Workspace
	// Pool of the targets that can serve it.
	Pool ids.Pool
	// Class of the request.
	Class api.Class
	// Hint is the caller's rough cost in service units; zero for none.
	Hint float64
	// Deadline after which the caller no longer waits; zero for none.
	Deadline time.Time
	// Prefix is the hash of the prompt's head for cache affinity; zero for none.
	Prefix uint64
	// Exclude are targets that must not get the request.
	Exclude []ids.Target
	// Solo is set for a suspect: it must be the only request at its target.
	Solo bool
}

// Event is something that happened to the router.
type Event interface{ isEvent() }

// Submit adds a request to the queues.
type Submit struct{ Request Request }

// Cancel withdraws a request that has not been dispatched; it has no effect on
// a dispatched one, whose end is told by Finish.
type Cancel struct{ ID RequestID }

// Progress tells the service units that a dispatched request has used so far.
type Progress struct {
	ID    RequestID
	Units float64
}

// Finish tells that a dispatched request has left its target.
type Finish struct {
	ID RequestID
	// Units used in all.
	Units float64
	// Failed is set where the target failed, as opposed to the caller leaving.
	Failed bool
	// Refused is set where the target said that it is full.
	Refused bool
}

// Receive brings a message from another router.
type Receive struct {
	From ids.Instance
	Msg  *schedv1.Message
}

// Tick lets time pass; it comes every TickInterval or sooner.
type Tick struct{}

// SetRouters replaces the set of live routers, this one among them.
type SetRouters struct{ Routers []Router }

// Router is a live router.
type Router struct {
	Instance ids.Instance
	Domain   ids.Domain
}

// SetTargets replaces the set of targets.
type SetTargets struct{ Targets []Target }

// Target is a back end as the scheduler sees it.
type Target struct {
	ID     ids.Target
	Domain ids.Domain
	Pools  []ids.Pool
	// Concurrency is the most requests that the target runs at a time.
	Concurrency int
	// Leaving targets get no new work.
	Leaving bool
}

// SetShares replaces the limits and weights of all workspaces.
type SetShares struct{ Shares []Share }

// PatchShares changes the limits and weights of some workspaces.
type PatchShares struct {
	// Put adds or replaces shares.
	Put []Share
	// Removed workspaces have none any more.
	Removed []ids.Workspace
}

// Share is what the scheduler needs of a contract.
type Share struct {
	Workspace ids.Workspace
	Weight    float64
	Limits    api.Limits
}

// Load is a target's lagging report about itself.
type Load struct {
	Target  ids.Target
	Running int
	Waiting int
}

// Drain tells that the router is stopping: permits go back as they fall free
// and all waiting requests are refused.
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

// Action is something that the router must do.
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
	// RetryAfter is when trying again makes sense.
	RetryAfter time.Duration
}

// Send sends a message to another router; it may be lost.
type Send struct {
	To  ids.Instance
	Msg *schedv1.Message
}

func (Dispatch) isAction() {}
func (Refuse) isAction()   {}
func (Send) isAction()     {}

// Settings of the scheduler.
type Settings struct {
	// Self is this router's instance.
	Self ids.Instance
	// Incarnation of this run.
	Incarnation ids.Incarnation
	// Domain is this router's failure domain.
	Domain ids.Domain
	// ReportInterval between two reports to the accounts' homes.
	ReportInterval time.Duration
	// Tolerance in normalized service units within which a permit is reused.
	Tolerance float64
	// Seed of the scheduler's random numbers.
	Seed uint64
	// Mode is how requests are ordered and targets shared. Default ModeFleet.
	Mode Mode
}

// Mode selects between the fleet's fair shares and the baselines, which exist
// for comparison only.
type Mode string

// The modes.
const (
	// ModeFleet shares targets over the whole fleet.
	ModeFleet Mode = "fleet"
	// ModeLocal has each router's own fair queue before an even share of each
	// target, and no exchange.
	ModeLocal Mode = "local"
	// ModeFIFO sends requests in the order of arrival, up to the targets' whole
	// concurrency from each router, and no exchange.
	ModeFIFO Mode = "fifo"
)

// The defaults of Settings.
const (
	DefaultReportInterval = 500 * time.Millisecond
	DefaultTolerance      = 256
)

// TickInterval is the longest time between two Tick events.
const TickInterval = 20 * time.Millisecond
