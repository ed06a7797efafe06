package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// Exchange is the state of one caller's request in the filter chain.
type Exchange struct {
	// ID identifies the request to callers and in logs.
	ID string
	// Request is the caller's request. The filter validate reads its body into Body.
	Request *http.Request
	// Response writes the response to the caller.
	Response *ResponseWriter

	// Contract is that of the workspace, set by authenticate.
	Contract *api.Contract
	// Body is the request's body, set by validate.
	Body []byte
	// Model is the requested model, empty for plain services.
	Model string
	// Service is the requested plain service, empty for model requests.
	Service string
	// Path is the path and query to send to the target.
	Path string
	// Stream is set if the caller requests server-sent events.
	Stream bool
	// Pool is the pool of targets that can serve the request.
	Pool ids.Pool
	// Class is set by classify.
	Class api.Class
	// IdempotencyKey is set by the caller, empty for none.
	IdempotencyKey string
	// CostHint is the estimated cost in service units, zero for none.
	CostHint float64
	// PrefixHash is the hash of the first bytes of the prompt, zero for none.
	PrefixHash uint64
	// Fingerprint is the hash of the workspace and the content.
	Fingerprint uint64
	// Deadline is the latest time at which the request may start to run.
	Deadline time.Time

	// CanDispatch reports whether the claim still allows the dispatch. It is nil if
	// no claim is needed.
	CanDispatch func(now time.Time) bool
	// Solo is set by quarantine for a suspect request, which must be the only one at
	// its target.
	Solo bool
	// Exclude lists the targets that failed or rejected this request.
	Exclude []ids.Target
	// Target is that of the current attempt, set by queue.
	Target ids.Target
	// AttemptID is the scheduler's id of the current attempt.
	AttemptID sched.RequestID
	// Attempts counts the dispatched attempts.
	Attempts int
	// MayHaveRun is set once an attempt ended with another outcome than "not run".
	MayHaveRun bool

	// ArrivedAt is the time at which the request arrived.
	ArrivedAt time.Time
	// DispatchedAt is the time at which the last attempt got its target, zero if none
	// did.
	DispatchedAt time.Time
	// Units is the service used by all attempts, in service units.
	Units float64
}

// Workspace returns the workspace's name, empty before authentication.
func (x *Exchange) Workspace() ids.Workspace {
	if x.Contract == nil {
		return ""
	}
	return ids.Workspace(x.Contract.Workspace)
}

// Context returns the context of the caller's connection.
func (x *Exchange) Context() context.Context { return x.Request.Context() }

// IsOnceOnly reports whether the request must run at most once.
func (x *Exchange) IsOnceOnly() bool { return x.Class == api.ClassOnceOnly }
