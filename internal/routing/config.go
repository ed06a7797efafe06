package routing

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds. Where a kind is unknown, Once is the safe choice.
const (
	// Once requests must not run a second time.
	Once Kind = iota
	// Idempotent may run more than once.
	Idempotent
	// Stream answers with server-sent events; it runs at most once unless it is
	// resumable.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version rises with each change by the operator.
	Version uint64
	// Routes in the operator's order.
	Routes []Route
	// Services by name.
	Services map[string]*Service
	// Keys maps an API key to its workspace. It is empty where no keys are used.
	Keys map[string]ids.Workspace
	// Priorities of workspaces, which go before those of routes; a workspace that has
	// none is left out.
	Priorities map[ids.Workspace]int
	// KeysRequired is set where requests on routes that are not public need a key.
	KeysRequired bool
	// Limits of what callers may send.
	Limits Limits
	// Raw is the encoded form, for other routers.
	Raw []byte
}

// Limits bound callers' requests.
type Limits struct {
	// BodyBytes bounds a request's body.
	BodyBytes int64
	// HeaderBytes bounds its header, 0 for the router's own bound.
	HeaderBytes int
	// IdleTimeout bounds an idle connection.
	IdleTimeout time.Duration
	// TokensPerSecond is about what all engines produce together: each token
	// read counts once, each token generated twice. Zero where not known.
	TokensPerSecond float64
}

// Route says how requests of a host and path are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is how long a request may be kept.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// is on time.
	Objective time.Duration
	// GapObjective is the longest pause between events of a stream on time.
	GapObjective time.Duration
	// Split divides the requests over services by weight.
	Split []Weighted
	// MaxAttempts is the number of targets that may run one request.
	MaxAttempts int
	// Priority is the route's urgency: requests with a lower number go first.
	Priority int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
}

// Priority is the urgency of a workspace's request on a route: requests with a lower
// number go first.
func (c *Config) Priority(r *Route, ws ids.Workspace) int {
	if p, ok := c.Priorities[ws]; ok {
		return p
	}
	return r.Priority
}

// Weighted is a service's part of a route.
type Weighted struct {
	Service string
	Weight  float64
}

// Service is a set of targets that serve the same work.
type Service struct {
	Name string
	// MaxConns is the number of connections that a target accepts from all
	// routers together.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the KV cache's size in tokens.
	MemoryTokens int
	// TokenBytes is the size of a token in the KV cache in bytes, 0 where not known.
	TokenBytes float64
	// LinkBits is the rate at which an engine sends its KV cache to another one, in
	// bits a second, 0 where not known.
	LinkBits float64
}

// Fetches tells whether an engine can take parts of a prompt from another's cache.
func (e *Engine) Fetches() bool { return e.TokenBytes > 0 && e.LinkBits > 0 }

// FetchTime is how long the tokens take on an engine's link.
func (e *Engine) FetchTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkBits * float64(time.Second))
}

// Pick returns the service at a point of the split, x in [0, 1).
func (r *Route) Pick(x float64) string {
	var sum float64
	for _, w := range r.Split {
		sum += w.Weight
	}
	x *= sum
	for _, w := range r.Split {
		if x < w.Weight {
			return w.Service
		}
		x -= w.Weight
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
