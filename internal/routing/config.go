package routing

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Kind states whether the requests of a route may run more than once.
type Kind int

// The kinds of routes. Once is the safe choice if the kind is unknown.
const (
	// Once requests must not run a second time.
	Once Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with server-sent events. They run at most once
	// unless the route is resumable.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version increases with each change by the operator.
	Version uint64
	// Routes are in the operator's order.
	Routes []Route
	// Services maps a service's name to the service.
	Services map[string]*Service
	// Keys maps an API key to its workspace. It is empty if no keys are used.
	Keys map[string]ids.Workspace
	// Priorities maps a workspace to its priority, which overrides that of the
	// route. Workspaces without a priority are absent.
	Priorities map[ids.Workspace]int
	// AllowedRegions maps a workspace to the regions whose targets may get its requests.
	// Workspaces that may use all regions are absent.
	AllowedRegions map[ids.Workspace][]string
	// KeysRequired is set if requests on routes that are not public need an API key.
	KeysRequired bool
	// Limits bounds what callers may send.
	Limits Limits
	// Raw is the encoded configuration, which is sent to other routers.
	Raw []byte
}

// Limits bounds callers' requests and connections.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxHeaderBytes bounds a request's header; 0 stands for the router's own bound.
	MaxHeaderBytes int
	// IdleTimeout bounds how long a caller's connection stays idle.
	IdleTimeout time.Duration
	// HeadTimeout bounds the time from the first byte of a request to the end of its
	// head.
	HeadTimeout time.Duration
	// TokensPerSecond approximates the throughput of all engines together: each
	// prompt token counts once, each generated token twice. It is 0 if unknown.
	TokensPerSecond float64
}

// Route states how requests for a host and path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the total time of a request.
	Timeout time.Duration
	// Objective is the latency objective for a response or a stream's first event.
	Objective time.Duration
	// GapObjective is the objective for the longest gap between two events of a
	// stream.
	GapObjective time.Duration
	// Split distributes the requests among services by weight.
	Split []WeightedService
	// MaxAttempts bounds the number of targets that may run one request.
	MaxAttempts int
	// Priority is the route's priority: requests with a lower number are served
	// first.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another target.
	Resumable bool
	// AllowedRegions are the regions whose targets may get the requests, empty for all.
	AllowedRegions []string
}

// Priority returns the priority of a workspace's request on a route, the workspace's
// own if it has one. Requests with a lower number are served first.
func (c *Config) Priority(r *Route, ws ids.Workspace) int {
	if p, ok := c.Priorities[ws]; ok {
		return p
	}
	return r.Priority
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a set of targets that serve the same requests.
type Service struct {
	Name string
	// MaxConns is the number of connections that a target accepts from all routers
	// together.
	MaxConns int
	// ColdStart is how long a target is cold after its start, ColdPerSecond the requests per
	// second that it takes from all routers together while it is cold, 0 for no bound.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// HasColdStart reports whether targets of a service take few requests while they are cold.
func (c *Config) HasColdStart() bool {
	for _, s := range c.Services {
		if s.ColdPerSecond > 0 {
			return true
		}
	}
	return false
}

// Engine describes the model engines of a service.
type Engine struct {
	// MemoryTokens is the KV cache's size in tokens.
	MemoryTokens int
	// TokenBytes is the size of a token in the KV cache in bytes, 0 if unknown.
	TokenBytes float64
	// TokensPerEvent is the number of tokens in an event of a stream, 0 if unknown.
	TokensPerEvent int
	// LinkBitsPerSecond is the rate at which an engine sends its KV cache to another
	// engine, 0 if unknown.
	LinkBitsPerSecond float64
}

// CanFetch reports whether an engine can fetch the KV cache of prompt parts from
// another engine.
func (e *Engine) CanFetch() bool { return e.TokenBytes > 0 && e.LinkBitsPerSecond > 0 }

// FetchTime returns the transfer time of the tokens' KV cache on an engine's link.
func (e *Engine) FetchTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) * e.TokenBytes * 8 / e.LinkBitsPerSecond * float64(time.Second))
}

// Pick returns the service at the position x of the split, with x in [0, 1) as a
// fraction of the total weight. It returns "" if the split is empty.
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
