// Package ledger makes once-only claims durable in the platform's store.
//
// Claims fall to buckets, each one object of the store. For each bucket at most
// one update is in flight: operations that arrive meanwhile form the next batch.
// Every write is conditional on the version that was read, so that a write held
// up anywhere and arriving late fails. A claim is granted only once its write is
// known to stand.
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

// Store is what the ledger needs of the platform's object service.
type Store interface {
	Get(ctx context.Context, kind api.Kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind api.Kind, name string, value json.RawMessage, cond platform.Condition) (platform.Object, error)
}

// Defaults of Options.
const (
	DefaultBuckets   = 64
	DefaultWindow    = 24 * time.Hour
	DefaultMaxAnswer = 2048
	// DefaultWriteRate is in writes per second.
	DefaultWriteRate = 60
)

// fleetWriteRate bounds the writes per second of all routers together.
const fleetWriteRate = 400

// burstsPerSecond divides a second's writes into bursts.
const burstsPerSecond = 10

// maxBuckets bounds the number of buckets.
const maxBuckets = 4096

// maxOpen bounds the claims that this router holds or still has to settle.
const maxOpen = 16384

// Options of a Ledger.
type Options struct {
	Store       Store
	Instance    ids.Instance
	Incarnation ids.Incarnation
	// Buckets is the number of claim objects where the fleet has none yet.
	// The number that the first router wrote counts for all. Default
	// DefaultBuckets.
	Buckets int
	// Window is how long a key is remembered at least. Default DefaultWindow.
	Window time.Duration
	// MaxAnswer bounds the recorded body of an answer in bytes. Default
	// DefaultMaxAnswer.
	MaxAnswer int
	// WriteRate bounds this router's writes per second; batches grow when it
	// is reached. Default DefaultWriteRate.
	WriteRate float64
	// Routers is the number of live routers, this one among them, which share
	// the fleet's writes. Default one.
	Routers func() int
	// Live tells the incarnation in which an instance is live. A claim of
	// another router counts as in progress where Live is nil.
	Live func(ids.Instance) (ids.Incarnation, bool)
	// Now is the wall clock. Default time.Now.
	Now    func() time.Time
	Logger *logrus.Entry
	Scope  tally.Scope
}

// Request asks for a claim.
type Request struct {
	Workspace ids.Workspace
	// Key is the caller's idempotency key.
	Key string
	// Fingerprint of the content; a key is good for one content.
	Fingerprint uint64
	RequestID   string
}

// State is the answer to a Request.
type State int

// The states.
const (
	// Granted: the caller may dispatch the request, once, and must then call
	// Finish, Release or MarkUnknown.
	Granted State = iota + 1
	// InProgress: a live router holds the key.
	InProgress
	// Unknown: the request may have run, and nobody will find out.
	Unknown
	// Finished: the request ran; Result.Record is its outcome.
	Finished
	// KeyReused: the key was used for another content.
	KeyReused
)

// Record is the recorded outcome of a finished request.
type Record = claim.Record

// Ref names a granted claim.
type Ref struct {
	key    claim.Key
	id     claim.ID
	bucket int
	// notAfter is the last time at which the claim may be dispatched.
	notAfter time.Time
}

// Valid tells whether the claim may be dispatched at the given time. A router
// that was paused for very long must not run a request whose key its fleet may
// soon forget.
func (r Ref) Valid(now time.Time) bool { return now.Before(r.notAfter) }

// Result answers a Request.
type Result struct {
	State State
	// Record is set where State is Finished.
	Record *Record
	// Ref is set where State is Granted.
	Ref Ref
}

// Ledger claims keys for the requests of one router.
type Ledger struct {
	opts    Options
	scope   tally.Scope
	limiter *rate.Limiter
	// commitTimeout bounds one batch with all its tries.
	commitTimeout time.Duration
	seq           atomic.Uint64
	// work carries buckets that have operations to commit.
	work   chan *bucket
	layout singleflight.Group

	mu      sync.Mutex
	count   int // buckets of the fleet; 0 until known
	buckets map[int]*bucket
	// open are the claims of this incarnation that have not ended durably.
	open map[claim.ID]struct{}
	// ending counts the queued operations that end claims.
	ending int
	// stopping refuses new claims, stopped all operations.
	stopping bool
	stopped  bool
	// failures of the store in a row, of all buckets.
	failures  int
	downUntil time.Time
}

// New returns a Ledger; Run must be running for it to answer.
func New(o Options) *Ledger {
	o = withDefaults(o)
	return &Ledger{
		opts:          o,
		scope:         o.Scope.SubScope("ledger"),
		commitTimeout: commitTimeout,
		limiter:       rate.NewLimiter(rate.Limit(o.WriteRate), burst(rate.Limit(o.WriteRate))),
		work:          make(chan *bucket, maxBuckets),
		buckets:       map[int]*bucket{},
		open:          map[claim.ID]struct{}{},
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
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = DefaultMaxAnswer
	}
	if o.WriteRate <= 0 {
		o.WriteRate = DefaultWriteRate
	}
	if o.Routers == nil {
		o.Routers = func() int { return 1 }
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

// writeRate is this router's part of the fleet's writes per second.
func (l *Ledger) writeRate() rate.Limit {
	share := fleetWriteRate / float64(max(l.opts.Routers(), 1))
	return rate.Limit(min(l.opts.WriteRate, share))
}

// shareWrites adapts the limiter to the number of routers.
func (l *Ledger) shareWrites() {
	r := l.writeRate()
	l.limiter.SetLimit(r)
	l.limiter.SetBurst(burst(r))
}

// burst is the number of writes that may follow each other at once: a tenth of
// a second's worth, so that routers that start together stay within the rate.
func burst(r rate.Limit) int { return int(r)/burstsPerSecond + 1 }

// stopGrace bounds the time that Run takes to record the ends of claims after
// its context is done.
const stopGrace = 5 * time.Second

// Run carries out the ledger's work until ctx is done and the ends of claims
// are recorded, or a few seconds more have passed.
func (l *Ledger) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var wg conc.WaitGroup
	defer func() {
		wg.Wait()
		l.failQueued()
	}()
	wg.Go(func() {
		<-ctx.Done()
		l.stop(work)
		cancel()
	})
	for {
		select {
		case b := <-l.work:
			wg.Go(func() { l.drain(work, b) })
		case <-work.Done():
			return nil
		}
	}
}

// stop refuses new claims and waits for the ends of claims to be recorded.
func (l *Ledger) stop(ctx context.Context) {
	l.mu.Lock()
	l.stopping = true
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, stopGrace)
	defer cancel()
	for ctx.Err() == nil {
		l.mu.Lock()
		idle := l.ending == 0
		l.mu.Unlock()
		if idle {
			return
		}
		pause.Sleep(ctx, endingDelay)
	}
}

// Claim asks for the key of a request and returns once the answer is durable.
// After an error no claim of this request will ever be dispatched: it was not
// run, and saying so is true.
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
		core: claim.Grant{Key: key, Fingerprint: r.Fingerprint, ID: id, RequestID: r.RequestID},
		key:  key, id: id, urgent: true, done: make(chan reply, 1),
	}
	l.enqueue(key.Bucket(n), o)
	return l.await(ctx, o)
}

// admit refuses a claim that could not be made or ended now.
func (l *Ledger) admit() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopping:
		return &Error{Step: "claim", Err: ErrStopped}
	case len(l.open) >= maxOpen:
		l.scope.Counter("refused_open").Inc(1)
		return &Error{Step: "claim", Err: ErrBusy, RetryAfter: retryLater}
	case !l.mayTry():
		l.scope.Counter("refused_down").Inc(1)
		return &Error{Step: "claim", Err: ErrUnavailable, RetryAfter: retryLater}
	}
	return nil
}

// mayTry tells whether a claim may go to the store. While the store is down,
// one claim at a time finds out whether it is back.
func (l *Ledger) mayTry() bool {
	if l.failures < 2 {
		return true
	}
	now := l.opts.Now()
	if now.Before(l.downUntil) {
		return false
	}
	l.downUntil = now.Add(2 * l.commitTimeout)
	return true
}

// await waits for the operation's reply. Where the caller leaves first, a claim
// granted later is released.
func (l *Ledger) await(ctx context.Context, o *op) (Result, error) {
	select {
	case r := <-o.done:
		return r.result, r.err
	case <-ctx.Done():
	}
	if o.abandon() {
		return Result{}, &Error{Step: "claim", Err: ctx.Err()}
	}
	r := <-o.done
	return r.result, r.err
}

// Finish records the outcome of a claim. It returns once the record is durable
// or ctx is done; the ledger goes on trying either way.
func (l *Ledger) Finish(ctx context.Context, ref Ref, r Record) error {
	if len(r.Body) > l.opts.MaxAnswer {
		r.Body, r.Truncated = r.Body[:l.opts.MaxAnswer], true
	}
	r.Body = append([]byte(nil), r.Body...)
	return l.end(ctx, ref, claim.Finish{Key: ref.key, ID: ref.id, Record: r})
}

// Release gives the key back: the request certainly did not run and never will,
// and a repeat may run.
func (l *Ledger) Release(ctx context.Context, ref Ref) error {
	return l.end(ctx, ref, claim.Release{Key: ref.key, ID: ref.id})
}

// MarkUnknown records that the request may have run.
func (l *Ledger) MarkUnknown(ctx context.Context, ref Ref) error {
	return l.end(ctx, ref, claim.MarkUnknown{Key: ref.key, ID: ref.id})
}

func (l *Ledger) end(ctx context.Context, ref Ref, core claim.Op) error {
	o := &op{core: core, key: ref.key, id: ref.id, done: make(chan reply, 1)}
	l.enqueue(ref.bucket, o)
	select {
	case r := <-o.done:
		return r.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "end claim: goes on in the background")
	}
}
