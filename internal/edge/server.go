package edge

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/retry"
	"github.com/umberhill/umberhill/internal/core/streams"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/quarantine"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/upstream"
)

const (
	// noConfigRetryAfter is the Retry-After of a router that has no configuration
	// yet. A router takes about this long to start.
	noConfigRetryAfter = 500 * time.Millisecond
	// usableBudgetFraction is the fraction of the fleet's retry budget that the
	// routers use. The rest is a reserve, since the other routers' retries are known
	// to a router only after a delay.
	usableBudgetFraction = 0.8
	// defaultTimeout applies to a request for which neither the route nor the
	// caller sets a timeout.
	defaultTimeout = time.Minute
)

// Options configures a Server.
type Options struct {
	Headers   HeaderCodec
	Scheduler *Scheduler
	Pool      *upstream.Pool
	Log       Log
	Scope     tally.Scope
	// LoadShedder selects the requests that an overloaded router refuses. If it is
	// nil, the router refuses none for its own load.
	LoadShedder *LoadShedder
	// IsNearConnLimit reports whether the router is about to run out of caller
	// connections. If it is nil, connections are not limited.
	IsNearConnLimit func() bool
	// ConnCloseShare returns the share of the callers that responses ask to close their connections
	// because of the number of these. If it is nil, none are.
	ConnCloseShare func() float64
	// Quarantine refuses requests that crash targets. If it is nil, no request is
	// refused for this reason.
	Quarantine Quarantine
	// StreamOrigins knows where streams began that callers resume. If it is nil, they go on
	// at any target.
	StreamOrigins StreamOrigins
	// MaxTotalBodyBytes limits the total size of all request bodies held at the same
	// time. Zero means no limit.
	MaxTotalBodyBytes int64
	// MaxTotalResponseBytes limits the total size of the parts of targets' responses held
	// at the same time, beyond unbudgetedResponseBytes of each. Zero means no limit.
	MaxTotalResponseBytes int64
	// RetryRatio and RetryExtra limit the retries that reach a service, over the
	// whole fleet: at most RetryRatio x requests + RetryExtra in a window.
	RetryRatio, RetryExtra float64
}

// Quarantine identifies the requests that crash the targets that run them.
type Quarantine interface {
	// Admit returns whether a request with the fingerprint may run.
	Admit(fingerprint uint64) quarantine.Verdict
	// AdmitParts returns whether a request with the given shared parts may run.
	AdmitParts(parts []uint64) bool
	// TryStart records that an attempt is about to be sent to a target, Began that its
	// answer has begun, and Finish its outcome. Each attempt is passed to TryStart and
	// Finish. The server ignores the result of TryStart.
	TryStart(id, fingerprint uint64, parts []uint64, target ids.Target, solo bool) bool
	Began(id uint64)
	Finish(id uint64, outcome quarantine.Outcome)
}

// Server is the http.Handler for callers' requests.
type Server struct {
	opts      Options
	active    atomic.Pointer[activeConfig]
	counts    counters
	bodyBytes *memoryPool
	// responseBytes is the memory of targets' responses.
	responseBytes *memoryPool
	stop          *stopState
	// stalledStreams counts the streams whose callers did not read since TakeMemoryStats.
	stalledStreams atomic.Int64
	crashChecks    crashChecks
	// loads counts the requests for engines by workspace.
	loads workspaceLoads
	// refusedAt is when a request for an engine was refused last, as the time since epoch.
	refusedAt atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
	routers int
	// retryRatio and retryExtra limit the retries of the whole fleet, as in Options.
	retryRatio, retryExtra float64
}

// activeConfig is the configuration in force with its routing table.
type activeConfig struct {
	config *routing.Config
	table  *routing.Table
	// moves tell which routes had other services while streams that are resumed may have begun.
	moves *routing.Moves
}

// New returns a server without a configuration. It refuses requests until
// SetConfig is called.
func New(o Options) *Server {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	s := &Server{opts: o, counts: newCounters(o.Scope), budgets: make(map[string]*retry.Budget), routers: 1, retryRatio: o.RetryRatio, retryExtra: o.RetryExtra, stop: newStopState()}
	s.crashChecks = newCrashChecks(o.Scope)
	s.bodyBytes = newMemoryPool(o.MaxTotalBodyBytes, 0, s.counts.bodiesYielded)
	s.responseBytes = newMemoryPool(o.MaxTotalResponseBytes, maxHeldResponseBytes, s.counts.responsesYielded)
	return s
}

// SetConfig replaces the configuration for requests that arrive from now on.
func (s *Server) SetConfig(c *routing.Config) {
	next := &activeConfig{config: c, table: routing.NewTable(c.Routes), moves: routing.NewMoves(streams.TTL)}
	if current := s.active.Load(); current != nil {
		next.moves = current.moves.After(time.Now(), current.table, next.table)
	}
	s.active.Store(next)
}

// SetRouters sets the number of routers that share the retry budget.
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

// Routers returns the number of routers in the fleet, at least 1.
func (s *Server) Routers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routers
}

// SetRetryBudget changes the limits on the fleet's retries.
func (s *Server) SetRetryBudget(ratio, extra float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ratio == s.retryRatio && extra == s.retryExtra {
		return
	}
	s.retryRatio, s.retryExtra = ratio, extra
	clear(s.budgets)
}

func (s *Server) burst() int { return int(usableBudgetFraction * s.retryExtra / float64(s.routers)) }

func (s *Server) budget(service string) *retry.Budget {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.budgets[service]
	if b == nil {
		b = retry.New(usableBudgetFraction*s.retryRatio, s.burst())
		s.budgets[service] = b
	}
	return b
}

// ServeHTTP implements http.Handler. Unless a complete response was written, it panics
// with http.ErrAbortHandler, which closes the connection: if it returned, net/http
// would send an empty response with status 200, or complete the one that was begun.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e := &exchange{server: s, w: w, r: r, arrivedAt: time.Now(), meta: s.opts.Headers.DecodeRequest(r.Header)}
	e.bodyHeld.pool, e.responseHeld.pool = s.bodyBytes, s.responseBytes
	e.record = RequestRecord{
		ID: e.meta.ID, ArrivedAt: e.arrivedAt, ResumedID: e.meta.ResumedID, LastEventID: e.meta.LastEventID,
	}
	defer e.finish()
	if refusal := e.prepare(); refusal != nil {
		e.refuse(refusal)
	} else {
		e.serve()
	}
	if !e.responseComplete {
		e.resetIncomplete()
		panic(http.ErrAbortHandler)
	}
}

// prepare looks up the route and the workspace and reads the body. It returns a
// refusal if the request can't be accepted.
func (e *exchange) prepare() *refusal {
	if isNearLimit := e.server.opts.IsNearConnLimit; isNearLimit != nil && isNearLimit() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "too_many_connections", retryAfter: withJitter(busyRetryAfter, rand.Float64())}
	}
	current := e.server.active.Load()
	if current == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no_configuration", retryAfter: noConfigRetryAfter}
	}
	e.record.ConfigVersion = current.config.Version
	if maxHeaderBytes := current.config.Limits.MaxHeaderBytes; maxHeaderBytes > 0 && headerBytes(e.r) > maxHeaderBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header_too_large"}
	}
	e.route = current.table.Find(e.r.Host, requestPath(e.r))
	if e.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no_route"}
	}
	e.record.Route = e.route.Name
	if current.config.KeysRequired && !e.route.Public {
		ws, known := current.config.Keys[e.meta.Key]
		if !known {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown_key"}
		}
		e.workspace = ws
		e.record.Workspace = ws
	}
	e.priority = current.config.Priority(e.route, e.workspace)
	e.regions = current.config.RegionsFor(e.route, e.workspace)
	e.hasSeveralServices = len(e.route.Split) > 1 || current.moves.HasMoved(e.arrivedAt, e.route)
	e.service = e.route.Pick(rand.Float64())
	e.deadline = e.arrivedAt.Add(e.timeout())
	if e.isResumedByCaller() {
		e.stream.lastID = e.meta.LastEventID
	}
	if !e.mayStart() {
		return newStopRefusal()
	}
	// Evidence of an origin may cost a read of the store, so that it is not looked for if the
	// request is refused anyway. If the route has several services, the origin names the one.
	steps := []func() *refusal{e.refuseEarly, e.findOrigin}
	if e.hasSeveralServices {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		e.serviceConfig = current.config.Services[e.service]
		if f := step(); f != nil {
			return f
		}
	}
	e.serviceConfig = current.config.Services[e.service]
	return e.readBody(current.config.Limits.MaxBodyBytes)
}

// headerBytes returns the size of a request's header, including the request line.
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

// refuseEarly refuses a request before its body is read if this router is
// overloaded or if the scheduler would refuse the request anyway. Requests for
// plain services are not refused here, because they cost little.
func (e *exchange) refuseEarly() *refusal {
	if !e.usesEngine() {
		return nil
	}
	e.countLoad(func(l *WorkspaceLoad) {
		l.Requests++
		l.RequestedTokens += e.weightedTokens()
	})
	if !e.wasScreened() && e.server.isShed(e.workspace) {
		return e.server.opts.LoadShedder.newRefusal()
	}
	return e.server.refuseEarly(e.admitRequest())
}

// isShed reports whether a request of a workspace is to be refused for this router's own load.
func (s *Server) isShed(ws ids.Workspace) bool {
	shedder := s.opts.LoadShedder
	return shedder != nil && shedder.shouldRefuse(time.Now(), ws)
}

// isOverloaded reports whether this router refuses requests for its own load.
func (s *Server) isOverloaded() bool {
	return s.opts.LoadShedder != nil && s.opts.LoadShedder.RefuseShare() > 0
}

// refuseEarly returns the refusal of a request that the scheduler would refuse like the most
// recent ones of its kind, nil for none.
func (s *Server) refuseEarly(r admit.Request) *refusal {
	v, refused := s.opts.Scheduler.RefuseEarly(r, s.isOverloaded())
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
	if callerTimeout := e.meta.Timeout; callerTimeout > 0 {
		limit = min(limit, callerTimeout)
	}
	return limit
}

// counters holds the metrics of a server.
type counters struct {
	served, refused, failed, retried, resumed, canceled tally.Counter
	// refusedEarly counts the refused requests that net/http did not parse.
	refusedEarly tally.Counter
	// responsesExtra counts the responses of other requests that were skipped.
	responsesExtra tally.Counter
	// responsesFull counts the responses for which the budget had no room.
	responsesFull tally.Counter
	// bodiesYielded and responsesYielded count the transfers that were ended to make room for
	// others, streamsStalled the streams that were ended since their callers did not read.
	bodiesYielded, responsesYielded, streamsStalled tally.Counter
	// tokensCharged counts the tokens charged to workspaces for attempts at engines,
	// tokensNotRun those taken back because no engine ran the attempt.
	tokensCharged, tokensNotRun tally.Counter
	// firstByteTime is the time to the first byte of a streamed response, queueWait
	// is the time in the queue, and requestTime is the time to the end of the request.
	firstByteTime, queueWait, requestTime tally.Timer
}

func newCounters(scope tally.Scope) counters {
	return counters{
		served:        scope.Counter("requests_served"),
		refused:       scope.Counter("requests_refused"),
		refusedEarly:  scope.Counter("requests_refused_early"),
		failed:        scope.Counter("requests_failed"),
		retried:       scope.Counter("requests_retried"),
		resumed:       scope.Counter("streams_resumed"),
		canceled:      scope.Counter("requests_left"),
		responsesFull: scope.Counter("responses_full"),

		responsesExtra: scope.Counter("responses_extra"),

		bodiesYielded:    scope.Counter("bodies_yielded"),
		responsesYielded: scope.Counter("responses_yielded"),
		streamsStalled:   scope.Counter("streams_stalled"),

		tokensCharged: scope.Counter("engine_tokens_charged"),
		tokensNotRun:  scope.Counter("engine_tokens_not_run"),
		firstByteTime: scope.Timer("first_byte_time"),
		queueWait:     scope.Timer("queue_wait"),
		requestTime:   scope.Timer("request_time"),
	}
}
