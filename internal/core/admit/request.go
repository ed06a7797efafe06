package admit

import (
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// ID names one attempt of a request at this router.
type ID uint64

// Part is a piece of a prompt.
type Part struct {
	// Key is a hash over the model and the prompt up to the end of this part, as
	// an engine's prefix cache uses it.
	Key uint64
	// Tokens of this part alone.
	Tokens int
}

// Request is one attempt that needs a target.
type Request struct {
	ID        ID
	Service   string
	Workspace ids.Workspace
	// Priority is the urgency: of requests whose workspaces stand alike to their fair
	// share, those with a lower number go first.
	Priority int
	// Parts of the prompt; the last belongs to this request or its session.
	Parts []Part
	// Prompt and Output are the tokens read and the most tokens generated.
	Prompt, Output int
	// Arrived is when the caller's request came in.
	Arrived time.Time
	// Deadline after which nobody waits for the answer.
	Deadline time.Time
	// Objective is the time after Arrived within which the answer is on time.
	Objective time.Duration
	// Exclude are targets that must not get the request.
	Exclude []ids.Target
}

// tokens is the request's size in the unit of fair shares.
func (r *Request) tokens() float64 { return float64(r.Prompt) + 2*float64(r.Output) }

// onTime is when the answer must begin to be on time.
func (r *Request) onTime() time.Time { return r.Arrived.Add(r.Objective) }

// Reason says why a request is refused.
type Reason string

// The reasons.
const (
	// NoTarget: the service has no target that can be used.
	NoTarget Reason = "no_target"
	// Saturated: the request could not start in time.
	Saturated Reason = "saturated"
	// OverShare: the targets are busy and the workspace has had its share.
	OverShare Reason = "over_share"
	// Expired: the request has waited for as long as it may.
	Expired Reason = "expired"
)

// Verdict is the decision on a request.
type Verdict struct {
	ID ID
	// Waiting is set while the request is in the queue; the others are empty.
	Waiting bool
	// Target to which it goes; its ID is empty where the request is refused.
	Target routing.Target
	// FetchFrom is the engine from whose cache the target takes shared parts of the
	// prompt that it lacks; its ID is empty for none.
	FetchFrom routing.Target
	// Refused and RetryAfter are set where it is refused.
	Refused    Reason
	RetryAfter time.Duration
	// Inputs of the decision, for logs.
	Inputs Inputs
}

// Inputs are the beliefs that a verdict rests on.
type Inputs struct {
	// Running and Pending are the requests and the tokens not yet read that the
	// target was believed to hold, Uncached the tokens it must read, Fetched those it
	// takes from another engine's cache.
	Running, Pending, Uncached, Fetched int
	// Predicted is the expected time to the first event from the sending on.
	Predicted time.Duration
	// Rank of the workspace by its fair share.
	Rank share.Rank
	// QueueWait is the expected time in the queue.
	QueueWait time.Duration
}

// Result says how an attempt at a target ended.
type Result int

// The results.
const (
	// Served: the target answered in full.
	Served Result = iota
	// Left: the caller went away or the router gave up; nothing is learned.
	Left
	// Rejected: the target said that it did not run the request.
	Rejected
	// Replaced: another target has the address.
	Replaced
	// Failed: the target failed the request.
	Failed
	// Unreachable: no connection came about, or an established one broke
	// before any answer.
	Unreachable
)

// HealthChange is a change of what is believed of a target.
type HealthChange struct {
	Target ids.Target
	// Reachable is false once connections to it fail: it is then left alone for
	// a while and tried by one request at a time.
	Reachable bool
	// FailRate is the share of its requests that failed lately.
	FailRate float64
}

// Load is what one router has at a target, for reports to peers.
type Load struct {
	Target ids.Target
	// Running counts the requests there.
	Running int
	// Pending are tokens that were sent there and not yet read.
	Pending int
	// Memory are the tokens of those requests.
	Memory int
	// Cached are keys of shared parts that the router sent there lately.
	Cached []uint64
}

// Backlog is what waits in a router's queue for a service.
type Backlog struct {
	Service string
	// Requests and Tokens that wait.
	Requests, Tokens int
}
