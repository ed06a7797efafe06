package admit

import (
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// ID identifies one attempt of a request at this router.
type ID uint64

// Part is a piece of a prompt.
type Part struct {
	// Key is a hash over the model and the prompt up to the end of this part, as an
	// engine's prefix cache uses it.
	Key uint64
	// Tokens is the length of this part alone.
	Tokens int
}

// Request is one attempt that needs a target.
type Request struct {
	ID        ID
	Service   string
	Workspace ids.Workspace
	// Priority is the urgency: among requests whose workspaces have the same rank,
	// lower numbers go first.
	Priority int
	// Parts are the parts of the prompt in order. The last one belongs to this request
	// or its session alone; the others are shared: other requests may begin with them.
	Parts []Part
	// PromptTokens are the tokens of the prompt, OutputTokens the maximum of generated
	// tokens.
	PromptTokens, OutputTokens int
	// ArrivedAt is when the router received the caller's request.
	ArrivedAt time.Time
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Objective is the latency objective: the time after ArrivedAt within which the
	// response must start to be on time.
	Objective time.Duration
	// GapObjective is the objective for the longest gap between two events of a stream, 0 for
	// none.
	GapObjective time.Duration
	// Exclude lists the targets that must not get the request.
	Exclude []ids.Target
	// KeepsVersion is set if only targets with the given SoftwareVersion may get the
	// request, which resumes a stream that began there.
	KeepsVersion    bool
	SoftwareVersion string
	// Regions are those whose targets may get the request, or send parts of its prompt; nil
	// for all.
	Regions []string
}

// accepts reports whether the request may be sent to a target as far as its software
// version and its region are concerned.
func (r *Request) accepts(t routing.Target) bool {
	return (!r.KeepsVersion || t.SoftwareVersion == r.SoftwareVersion) && r.allowsRegionOf(t)
}

// allowsRegionOf reports whether the request may use a target as far as its region is
// concerned. One of an unknown region is in none of the allowed ones.
func (r *Request) allowsRegionOf(t routing.Target) bool {
	return r.Regions == nil || t.Region != "" && slices.Contains(r.Regions, t.Region)
}

// weightedTokens is the request's size in the unit of fair shares: a generated token
// counts twice.
func (r *Request) weightedTokens() float64 {
	return float64(r.PromptTokens) + 2*float64(r.OutputTokens)
}

// dueAt returns the time by which the response must start to be on time.
func (r *Request) dueAt() time.Time { return r.ArrivedAt.Add(r.Objective) }

// Reason is why a request is refused.
type Reason string

// The reasons of a refusal.
const (
	// NoTarget means that the service has no usable target.
	NoTarget Reason = "no_target"
	// NoVersion means that the service has no target with the software version that the
	// request requires.
	NoVersion Reason = "no_version"
	// NoRegion means that no listed target is in a region that the request may use.
	NoRegion Reason = "region"
	// Evacuated means that the service's targets that the request may use are all in
	// evacuated failure domains.
	Evacuated Reason = "evacuated"
	// TurnedAway means that all targets of the service have said that they want no
	// requests for a time.
	TurnedAway Reason = "turned_away"
	// Saturated means that the response could not start in time.
	Saturated Reason = "saturated"
	// Limited means that the targets take fewer requests than arrive.
	Limited Reason = "limited"
	// OverShare means that the targets are busy and the workspace has used its fair
	// share.
	OverShare Reason = "over_share"
	// Expired means that the request has waited for the maximum time in the queue.
	Expired Reason = "expired"
)

// Verdict is the decision on a request.
type Verdict struct {
	ID ID
	// Waiting is set if the request has been queued; Target, FetchFrom, Refused and
	// RetryAfter are then empty.
	Waiting bool
	// Target is where the request is sent; its ID is empty if the request is refused.
	Target routing.Target
	// FetchFrom is the engine from whose cache the target fetches shared parts of the
	// prompt that it lacks; its ID is empty for none.
	FetchFrom routing.Target
	// Refused and RetryAfter are set if the request is refused.
	Refused    Reason
	RetryAfter time.Duration
	// Inputs are the inputs of the decision, for logs.
	Inputs Inputs
}

// Inputs are the estimates that a verdict is based on.
type Inputs struct {
	// Running and PendingTokens are the estimated number of requests and of tokens not
	// yet prefilled at the target before this request. UncachedTokens are the tokens
	// that it must prefill, FetchedTokens those that it fetches from another engine's
	// cache.
	Running, PendingTokens, UncachedTokens, FetchedTokens int
	// PredictedLatency is the expected time from sending to the first event; at a plain
	// service, to the end of the response.
	PredictedLatency time.Duration
	// Rank is the rank of the workspace by its fair share, and Standing what it is based
	// on. ChargedTokens are the tokens by which the request counts toward the share, a
	// generated token twice. All are zero at a plain service.
	Rank          share.Rank
	Standing      share.Standing
	ChargedTokens int
	// QueueWait is the expected time in the queue.
	QueueWait time.Duration
	// Limited is set if no target takes a request now because of their limits.
	Limited bool
}

// Result is how an attempt at a target ended.
type Result int

// The results of an attempt.
const (
	// Served means that the target responded in full.
	Served Result = iota
	// Canceled means that the caller disconnected or the router ended the attempt; it
	// does not affect the target's health.
	Canceled
	// Rejected means that the target reported that it did not run the request, or that
	// it wants no requests for a time.
	Rejected
	// Replaced means that another target now uses the address.
	Replaced
	// Failed means that the target failed the request.
	Failed
	// Unreachable means that no connection could be established, or an established one
	// broke before any response.
	Unreachable
)

// End is how an attempt at a target ended.
type End struct {
	Result Result
	// NotRun is set if the target certainly did not run the request: it was not sent, or
	// the target rejected it.
	NotRun bool
	// Refused is set if the connection was refused: the target's process has ended. Resets
	// and timeouts do not show that.
	Refused bool
	// SeenLate is set if this router was late itself, so that the time that the attempt took says
	// nothing of the target.
	SeenLate bool
	// Events is the number of events of a stream, and Streamed the time between the first and
	// the last one. Both are 0 if the response was not a stream.
	Events   int
	Streamed time.Duration
}

// HealthChange is a change of a target's health.
type HealthChange struct {
	Target ids.Target
	// Reachable is false once connections to the target fail. The target then gets no
	// requests for a while, and afterwards one at a time as a probe.
	Reachable bool
	// FailureRate is the recent fraction of its requests that failed, from 0 to 1.
	FailureRate float64
}

// Load is the load that one router has placed on a target, for reports to peers.
type Load struct {
	Target ids.Target
	// Running counts the requests at the target.
	Running int
	// PendingTokens are the tokens sent to the target and not yet prefilled.
	PendingTokens int
	// MemoryTokens are the prompt and maximum output tokens of those requests.
	MemoryTokens int
	// CachedKeys are the keys of shared parts that the router has recently sent to the
	// target.
	CachedKeys []uint64
}

// Backlog is what waits in a router's queue for the targets of a service.
type Backlog struct {
	Service string
	// Requests and Tokens count the waiting requests and their prompt tokens.
	Requests, Tokens int
}
