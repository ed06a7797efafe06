package filter

import (
	"context"
	"net/http"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// Exchange is one caller's request on its way through the chain, and what has
// become of it so far.
type Exchange struct {
	// ID names the request towards callers and in logs.
	ID string
	// In is the caller's request; its body has been read into Body.
	In *http.Request
	// Out collects the answer.
	Out *Answer

	// Contract of the workspace, set by authenticate.
	Contract *api.Contract
	// Body of the request, set by validate.
	Body []byte
	// Model asked for, empty for plain services.
	Model string
	// Service asked for, empty for model requests.
	Service string
	// Path towards the target.
	Path string
	// Stream is set where the caller wants server-sent events.
	Stream bool
	// Pool of the targets that can serve the request.
	Pool ids.Pool
	// Class of the request, set by classify.
	Class api.Class
	// Key is the caller's idempotency key; empty for none.
	Key string
	// Hint is the caller's rough cost in service units; zero for none.
	Hint float64
	// Prefix is the hash of the prompt's head; zero for none.
	Prefix uint64
	// Fingerprint of workspace and content.
	Fingerprint uint64
	// Deadline for the start of the run.
	Deadline time.Time

	// MayDispatch tells whether a claim still allows the dispatch; nil where
	// none is needed.
	MayDispatch func(now time.Time) bool
	// Solo is set by quarantine for a suspect.
	Solo bool
	// Exclude lists targets that have failed this request.
	Exclude []ids.Target
	// Target of the current attempt, set by queue.
	Target ids.Target
	// Attempt is the scheduler's id of the current attempt.
	Attempt sched.RequestID
	// Attempts counts those dispatched.
	Attempts int
	// MayHaveRun is set once an attempt's outcome is not certainly "not run".
	MayHaveRun bool

	// Arrived is when the request came in.
	Arrived time.Time
	// Dispatched is when the last attempt got its target.
	Dispatched time.Time
	// Units of service used by all attempts.
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
func (x *Exchange) Context() context.Context { return x.In.Context() }

// OnceOnly tells whether the request must run at most once.
func (x *Exchange) OnceOnly() bool { return x.Class == api.ClassOnceOnly }
