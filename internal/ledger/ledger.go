// Package ledger makes once-only claims durable in the platform's store, so that
// a request with an idempotency key is dispatched at most once by the whole fleet,
// also when writes to the store fail, are delayed or have no response.
//
// The keys are distributed over buckets, each stored as one object. For each
// bucket at most one update is in flight: operations that arrive meanwhile form
// the next batch, which bounds the number of writes under load. While the store
// fails, a circuit breaker refuses claims without calling it.
//
// Invariants: every write is conditional on the version that was read, so that a
// delayed write fails once another one has been applied; a claim is granted only
// once its write is confirmed; a claim that was refused is never dispatched.
package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/claim"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/pause"
	"github.com/umberhill/umberhill/internal/platform"
)

// Store is the part of the platform's object service that the ledger uses.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error)
}

// Defaults of Options.
const (
	DefaultBuckets          = 64
	DefaultWindow           = 24 * time.Hour
	DefaultMaxResponseBytes = 2048
	DefaultWritesPerSecond  = 60
)

// fleetWritesPerSecond bounds the write rate of all routers together.
const fleetWritesPerSecond = 400

// burstsPerSecond is the number of bursts over which the writes of one second are
// spread.
const burstsPerSecond = 10

// maxBuckets bounds the number of buckets.
const maxBuckets = 4096

// maxOpenClaims bounds the claims of this router whose end is not durable yet.
const maxOpenClaims = 16384

// Options configures a Ledger.
type Options struct {
	Store       Store
	Instance    ids.Instance
	Incarnation ids.Incarnation
	// Buckets is the number of buckets if the fleet has no layout yet; the
	// layout written by the first router applies to all. Default
	// DefaultBuckets.
	Buckets int
	// Window is the minimum time for which a key is kept. Default
	// DefaultWindow.
	Window time.Duration
	// MaxResponseBytes bounds the recorded response body in bytes. Default
	// DefaultMaxResponseBytes.
	MaxResponseBytes int
	// WritesPerSecond bounds this router's write rate; batches grow when the
	// bound is reached. Default DefaultWritesPerSecond.
	WritesPerSecond float64
	// RouterCount returns the number of live routers including this one. They
	// share the fleet's write rate. Default one.
	RouterCount func() int
	// LiveIncarnation returns the incarnation of a live instance, and whether
	// the instance is live. If LiveIncarnation is nil, the claims of all other
	// routers count as in progress.
	LiveIncarnation func(ids.Instance) (ids.Incarnation, bool)
	// Now returns the wall-clock time. Default time.Now.
	Now    func() time.Time
	Logger *logrus.Entry
	Scope  tally.Scope
}

// Request is a request for a claim.
type Request struct {
	Workspace ids.Workspace
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint identifies the content of the request. A key is valid for
	// one content only.
	Fingerprint uint64
	RequestID   string
}

// State is the state of a key in a Result.
type State int

// The states.
const (
	// Granted means that the caller may dispatch the request once and must then
	// call Finish, Release or MarkUnknown.
	Granted State = iota + 1
	// InProgress means that a live router holds the key.
	InProgress
	// Unknown means that the request may have run and that its outcome is not
	// known.
	Unknown
	// Finished means that the request ran; Result.Record is its outcome.
	Finished
	// KeyReused means that the key was used for a different content.
	KeyReused
)

// Record is the recorded outcome of a finished request.
type Record = claim.Record

// Ref identifies a granted claim.
type Ref struct {
	key    claim.Key
	id     claim.ID
	bucket int
	// dispatchDeadline is the time before which the claim may be dispatched.
	dispatchDeadline time.Time
}

// CanDispatch reports whether the claim may be dispatched at the given time. A
// router that was paused for a long time must not dispatch a request whose key may
// soon expire.
func (r Ref) CanDispatch(now time.Time) bool { return now.Before(r.dispatchDeadline) }

// Result is the outcome of claiming the key of a Request.
type Result struct {
	State State
	// Record is set if State is Finished.
	Record *Record
	// Ref is set if State is Granted.
	Ref Ref
}

// Ledger claims keys for the requests of one router.
type Ledger struct {
	opts         Options
	scope        tally.Scope
	writeLimiter *rate.Limiter
	// commitTimeout bounds the time to commit one batch, including all attempts.
	commitTimeout time.Duration
	seq           atomic.Uint64
	// activeBuckets passes buckets with queued operations to Run, which starts
	// a goroutine to drain each.
	activeBuckets chan *bucket
	layoutReads   singleflight.Group

	mu           sync.Mutex
	fleetBuckets int // number of buckets of the fleet; 0 until the layout is read
	buckets      map[int]*bucket
	// openClaims are the claims of this incarnation whose end is not durable
	// yet.
	openClaims map[claim.ID]struct{}
	// pendingEnds counts the operations that end claims and are not durable
	// yet.
	pendingEnds int
	// stopping is set when new claims are refused, stopped when all operations
	// are.
	stopping bool
	stopped  bool
	// storeFailures counts consecutive failures of the store over all buckets.
	// The circuit breaker is open from the second on; breakerOpenUntil is when
	// the next claim may probe the store.
	storeFailures    int
	breakerOpenUntil time.Time
}

// New returns a Ledger. It processes operations while Run is running.
func New(o Options) *Ledger {
	o = withDefaults(o)
	return &Ledger{
		opts:          o,
		scope:         o.Scope.SubScope("ledger"),
		commitTimeout: commitTimeout,
		writeLimiter:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), burst(rate.Limit(o.WritesPerSecond))),
		activeBuckets: make(chan *bucket, maxBuckets),
		buckets:       map[int]*bucket{},
		openClaims:    map[claim.ID]struct{}{},
	}
}

func withDefaults(o Options) Options {
	if o.Buckets <= 0 {
		o.Buckets = DefaultBuckets
	}
	o.Buckets = min(o.Buckets, maxBuckets)
	if o.Window <= 0 {
		o.Window = DefaultWindow
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.RouterCount == nil {
		o.RouterCount = func() int { return 1 }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Logger == nil {
		o.Logger = logrus.NewEntry(logrus.StandardLogger())
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

// writeRate returns this router's share of the fleet's write rate.
func (l *Ledger) writeRate() rate.Limit {
	share := fleetWritesPerSecond / float64(max(l.opts.RouterCount(), 1))
	return rate.Limit(min(l.opts.WritesPerSecond, share))
}

// updateWriteLimit adapts the write limiter to the number of live routers.
func (l *Ledger) updateWriteLimit() {
	r := l.writeRate()
	l.writeLimiter.SetLimit(r)
	l.writeLimiter.SetBurst(burst(r))
}

// burst returns the burst size of the write limiter: the writes of a tenth of a
// second, so that routers that start together stay within the fleet's rate.
func burst(r rate.Limit) int { return int(r)/burstsPerSecond + 1 }

// stopTimeout bounds the time that Run takes to record the ends of claims after
// its context is done.
const stopTimeout = 5 * time.Second

// Run commits the ledger's operations until ctx is done. It then refuses new
// claims and returns once the ends of claims are durable or stopTimeout has
// passed. It always returns nil.
func (l *Ledger) Run(ctx context.Context) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	defer func() {
		wg.Wait()
		l.failQueued()
	}()
	wg.Go(func() {
		<-ctx.Done()
		l.stop(workCtx)
		cancel()
	})
	for {
		select {
		case b := <-l.activeBuckets:
			wg.Go(func() { l.drain(workCtx, b) })
		case <-workCtx.Done():
			return nil
		}
	}
}

// stop refuses new claims and waits up to stopTimeout until the ends of claims are
// durable.
func (l *Ledger) stop(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	for ctx.Err() == nil {
		l.mu.Lock()
		idle := l.pendingEnds == 0
		l.mu.Unlock()
		if idle {
			return
		}
		pause.Sleep(ctx, endBatchDelay)
	}
}

// Claim claims the key of a request and returns once the result is durable. If it
// returns an error, which is an *Error, the request has not been dispatched under
// this claim and never will be, so the caller may report it as not run.
func (l *Ledger) Claim(ctx context.Context, r Request) (Result, error) {
	if err := l.admit(); err != nil {
		return Result{}, err
	}
	n, err := l.bucketCount(ctx)
	if err != nil {
		return Result{}, l.refusal("read layout", err)
	}
	key := claim.KeyOf(r.Workspace, r.Key)
	id := claim.ID{
		Owner: claim.Owner{Instance: l.opts.Instance, Incarnation: l.opts.Incarnation},
		Seq:   l.seq.Add(1),
	}
	o := &op{
		claimOp: claim.Grant{Key: key, Fingerprint: r.Fingerprint, ID: id, RequestID: r.RequestID},
		key:     key, id: id, isClaim: true, done: make(chan reply, 1),
	}
	l.enqueue(key.Bucket(n), o)
	return l.await(ctx, o)
}

// admit returns an error if the ledger is stopping, has too many open claims or
// has an open circuit breaker.
func (l *Ledger) admit() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopping:
		return &Error{Step: "claim", Err: ErrStopped}
	case len(l.openClaims) >= maxOpenClaims:
		l.scope.Counter("refused_open").Inc(1)
		return &Error{Step: "claim", Err: ErrBusy, RetryAfter: retryAfterRefusal}
	case !l.canTryStore():
		l.scope.Counter("refused_down").Inc(1)
		return &Error{Step: "claim", Err: ErrUnavailable, RetryAfter: retryAfterRefusal}
	}
	return nil
}

// canTryStore reports whether the circuit breaker lets a claim through to the
// store. While the breaker is open, one claim at a time probes the store. The
// caller holds l.mu.
func (l *Ledger) canTryStore() bool {
	if l.storeFailures < 2 {
		return true
	}
	now := l.opts.Now()
	if now.Before(l.breakerOpenUntil) {
		return false
	}
	l.breakerOpenUntil = now.Add(2 * l.commitTimeout)
	return true
}

// await waits for the reply to a claim. If ctx is done first, a claim that is
// granted later is released.
func (l *Ledger) await(ctx context.Context, o *op) (Result, error) {
	select {
	case r := <-o.done:
		return r.result, r.err
	case <-ctx.Done():
	}
	if o.tryCancel() {
		return Result{}, &Error{Step: "claim", Err: ctx.Err()}
	}
	r := <-o.done
	return r.result, r.err
}

// Finish records the outcome of a claim. It returns once the record is durable, or
// with an error when ctx is done; the ledger then keeps retrying in the background.
func (l *Ledger) Finish(ctx context.Context, ref Ref, r Record) error {
	if len(r.Body) > l.opts.MaxResponseBytes {
		r.Body, r.Truncated = r.Body[:l.opts.MaxResponseBytes], true
	}
	r.Body = append([]byte(nil), r.Body...)
	return l.endClaim(ctx, ref, claim.Finish{Key: ref.key, ID: ref.id, Record: r})
}

// Release releases the key of a request that was not dispatched and never will be,
// so that a repeat can be granted the key. It waits and returns errors like Finish.
func (l *Ledger) Release(ctx context.Context, ref Ref) error {
	return l.endClaim(ctx, ref, claim.Release{Key: ref.key, ID: ref.id})
}

// MarkUnknown records that the request may have run. It waits and returns errors
// like Finish.
func (l *Ledger) MarkUnknown(ctx context.Context, ref Ref) error {
	return l.endClaim(ctx, ref, claim.MarkUnknown{Key: ref.key, ID: ref.id})
}

func (l *Ledger) endClaim(ctx context.Context, ref Ref, claimOp claim.Op) error {
	o := &op{claimOp: claimOp, key: ref.key, id: ref.id, done: make(chan reply, 1)}
	l.enqueue(ref.bucket, o)
	select {
	case r := <-o.done:
		return r.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "end claim: not durable yet, retrying in the background")
	}
}
