package edge

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/retry"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// unknownRetry is the Retry-After of a router that knows no configuration:
	// about the time of a start.
	unknownRetry = 500 * time.Millisecond
	// budgetMargin, untuned, is the part of the fleet's retry budget that is used, since
	// routers do not know of each other's retries at once.
	budgetMargin = 0.8
	// defaultTimeout bounds a request for which neither the route nor the caller
	// sets a time.
	defaultTimeout = time.Minute
)

// Options of a Server.
type Options struct {
	Dialect   Dialect
	Scheduler *Scheduler
	Pool      *upstream.Pool
	Log       Log
	Scope     tally.Scope
	// Pressure tells what this router can't carry; nothing where nil.
	Pressure *Pressure
	// Full tells that connections are about to run out; never where nil.
	Full func() bool
	// Suspects isolates requests that crash targets; none where nil.
	Suspects Suspects
	// MaxBodies bounds the bytes of all bodies held at a time, 0 for no bound.
	MaxBodies int64
	// RetryRatio and RetryExtra bound the requests that reach a service again,
	// over the whole fleet: ratio x requests + extra in a window.
	RetryRatio, RetryExtra float64
}

// Suspects knows the requests that crash the targets that run them.
type Suspects interface {
	// Admit says whether a request with a fingerprint may run.
	Admit(fingerprint uint64) quarantine.Verdict
	// TryStart and Finish tell of each attempt.
	TryStart(id, fingerprint uint64, target ids.Target, solo bool) bool
	Finish(id uint64, outcome quarantine.Outcome)
}

// Server answers callers' requests.
type Server struct {
	opts   Options
	view   atomic.Pointer[view]
	counts counters
	bodies bodies

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	routers int
	// ratio and extra bound the fleet's retries.
	ratio, extra float64
}

// view is the configuration in force.
type view struct {
	config *routing.Config
	table  *routing.Table
}

// New returns a server that knows no configuration yet.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Server{opts: o, counts: newCounters(o.Scope), budgets: make(map[string]*retry.Budget), routers: 1, ratio: o.RetryRatio, extra: o.RetryExtra}
	s.bodies.limit = o.MaxBodies
	return s
}

// SetConfig puts a configuration in force for requests that come from now on.
func (s *Server) SetConfig(c *routing.Config) {
	s.view.Store(&view{config: c, table: routing.NewTable(c.Routes)})
}

// SetRouters tells how many routers share the retry budget.
func (s *Server) SetRouters(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n = max(n, 1); n == s.routers {
		return
	}
	s.routers = n
	for _, b := range s.budgets {
		b.SetBurst(s.burst())
	}
}

// Routers is the number of routers of the fleet, at least 1.
func (s *Server) Routers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}

// SetRetries changes the bounds of the fleet's retries.
func (s *Server) SetRetries(ratio, extra float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ratio == s.ratio && extra == s.extra {
		return
	}
	s.ratio, s.extra = ratio, extra
	clear(s.budgets)
}

func (s *Server) burst() int { return int(budgetMargin * s.extra / float64(s.routers)) }

func (s *Server) budget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retry.New(budgetMargin*s.ratio, s.burst())
		s.budgets[service] = b
	}
	return b
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{server: s, w: w, r: r, arrived: time.Now(), meta: s.opts.Dialect.Meta(r.Header)}
	e.record = RequestRecord{ID: e.meta.ID, Arrived: e.arrived}
	defer e.finish()
	if refusal := e.prepare(); refusal != nil {
		e.refuse(refusal)
		return
	}
	e.serve()
}

// prepare finds the route and the workspace and reads the body.
func (e *exchange) prepare() *refusal {
	if full := e.server.opts.Full; full != nil && full() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "too_many_connections", retryAfter: busyRetry()}
	}
	v := e.server.view.Load()
	if v == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_configuration", retryAfter: unknownRetry}
	}
	e.record.Version = v.config.Version
	if most := v.config.Limits.HeaderBytes; most > 0 && headerBytes(e.r) > most {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"}
	}
	e.route = v.table.Find(e.r.Host, e.r.URL.Path)
	if e.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	e.record.Route = e.route.Name
	if v.config.KeysRequired && !e.route.Public {
		ws, known := v.config.Keys[e.meta.Key]
		if !known {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		e.workspace = ws
		e.record.Workspace = ws
	}
	e.priority = v.config.Priority(e.route, e.workspace)
	e.service = e.route.Pick(rand.Float64())
	e.conf = v.config.Services[e.service]
	e.deadline = e.arrived.Add(e.timeout())
	if f := e.shed(); f != nil {
		return f
	}
	return e.readBody(v.config.Limits.BodyBytes)
}

// headerBytes is the size of a request's header with its first line.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// shed refuses a request before its body is read, where this router falls behind
// or where nothing could come of it. Plain services cost little and are spared.
func (e *exchange) shed() *refusal {
	if e.conf == nil || e.conf.Engine == nil {
		return nil
	}
	if p := e.server.opts.Pressure; p != nil && p.refuses(e.workspace) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "router_busy", retryAfter: busyRetry()}
	}
	v, refused := e.server.opts.Scheduler.RefuseEarly(e.request())
	if !refused {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: string(v.Refused), retryAfter: v.RetryAfter}
}

func (e *exchange) timeout() time.Duration {
	limit := e.route.Timeout
	if limit <= 0 {
		limit = defaultTimeout
	}
	if p := e.meta.Patience; p > 0 {
		limit = min(limit, p)
	}
	return limit
}

// counters of a server.
type counters struct {
	served, refused, failed, retried, resumed, left tally.Counter
	// first is the time to the first byte of an answer, waited that in the queue,
	// whole that to the end.
	first, waited, whole tally.Timer
}

func newCounters(scope tally.Scope) counters {
	return counters{
		served:  scope.Counter("requests_served"),
		refused: scope.Counter("requests_refused"),
		failed:  scope.Counter("requests_failed"),
		retried: scope.Counter("requests_retried"),
		resumed: scope.Counter("streams_resumed"),
		left:    scope.Counter("requests_left"),
		first:   scope.Timer("first_byte_time"),
		waited:  scope.Timer("queue_wait"),
		whole:   scope.Timer("request_time"),
	}
}
