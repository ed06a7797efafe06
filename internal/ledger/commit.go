package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/claim"
	"github.com/umberhill/umberhill/internal/pause"
	"github.com/umberhill/umberhill/internal/platform"
)

// commitTimeout bounds one batch with all its tries.
const commitTimeout = 5 * time.Second

// conflictDelay is the first wait after a conflict; it doubles up to
// maxConflictDelay.
const (
	conflictDelay    = 4 * time.Millisecond
	maxConflictDelay = 128 * time.Millisecond
)

// maxBlind is how many reads may fail before a batch whose write is unsure is
// given up. Its claims are refused, and settled in the background.
const maxBlind = 2

// attempt is the state of one batch on its way into the store.
type attempt struct {
	ops []*op
	// fresh is set where the bucket was read during this batch.
	fresh bool
	// unsure is set once a write of this batch may have been applied.
	unsure bool
	// turn is set while a write has been taken from the router's share.
	turn bool
	// blind counts the failed reads since.
	blind int
	// began is the wall clock of the first Apply.
	began   time.Time
	results []claim.Result
	tries   int
}

// commit brings a batch into the store and answers its operations; false where
// the store failed.
func (l *Ledger) commit(ctx context.Context, b *bucket, ops []*op) bool {
	ctx, cancel := context.WithTimeout(ctx, l.commitTimeout)
	defer cancel()
	l.scope.Counter("batches").Inc(1)
	l.scope.Counter("operations").Inc(int64(len(ops)))
	at := &attempt{ops: ops}
	for {
		done, err := l.try(ctx, b, at)
		if done {
			l.deliver(b, at)
			return true
		}
		if err == nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		if err != nil {
			l.fail(b, at, err)
			return false
		}
	}
}

// try reads the bucket if need be, applies the batch and writes. It returns
// neither done nor an error where it makes sense to try again at once.
func (l *Ledger) try(ctx context.Context, b *bucket, at *attempt) (done bool, err error) {
	at.tries++
	if b.cached == nil || b.shared && !at.fresh {
		if err := l.load(ctx, b); err != nil {
			at.blind++
			if at.unsure && at.blind < maxBlind && l.pause(ctx, at) {
				return false, nil
			}
			return false, err
		}
		at.fresh = true
	}
	now := l.opts.Now()
	if at.began.IsZero() {
		at.began = now
	}
	var changed bool
	at.results, changed = b.cached.Apply(l.writer(now), coreOps(at.ops))
	if !changed && !b.mayStillArrive() {
		if at.fresh || final(at.results) {
			return true, nil
		}
		b.cached = nil // an answer must not come from an old copy
		return false, nil
	}
	return l.write(ctx, b, at)
}

func (l *Ledger) writer(now time.Time) claim.Writer {
	return claim.Writer{Instance: l.opts.Instance, Now: now, Window: l.opts.Window}
}

// mayStillArrive tells that an unsure write has not been overtaken: it is
// conditional on the version that stands. Any write of ours settles it.
func (b *bucket) mayStillArrive() bool { return b.fenced && b.version <= b.fence }

// load reads the bucket as it stands.
func (l *Ledger) load(ctx context.Context, b *bucket) error {
	obj, err := l.get(ctx, bucketName(b.index))
	if errors.Is(err, platform.ErrNotFound) && b.seen == 0 {
		b.cached, b.version = claim.NewBucket(), 0
		return nil
	}
	if err != nil {
		return err
	}
	return b.adopt(obj)
}

// adopt takes over an object as the bucket's state.
func (b *bucket) adopt(obj platform.Object) error {
	b.cached = nil
	b.shared = b.seen > 0 && obj.Version != b.seen
	if obj.Version < b.seen {
		return errors.Wrapf(errStale, "version %d after %d", obj.Version, b.seen)
	}
	got, err := claim.Decode(obj.Value)
	if err != nil {
		return errors.Mark(err, errUnreadable)
	}
	b.cached, b.version, b.seen = got, obj.Version, obj.Version
	if b.fenced && b.version > b.fence {
		b.fenced = false
	}
	return nil
}

// write puts the applied bucket on the condition that it stands as read.
func (l *Ledger) write(ctx context.Context, b *bucket, at *attempt) (done bool, err error) {
	ready, err := l.mayWrite(ctx, b, at)
	if !ready {
		return false, err
	}
	raw, err := b.cached.Encode()
	if err != nil {
		b.cached = nil
		return false, err
	}
	obj, err := l.put(ctx, bucketName(b.index), raw, platform.Condition{Version: b.version, Absent: b.version == 0})
	var conflict *platform.ConflictError
	var unsure *platform.UnsureError
	switch {
	case err == nil:
		b.version, b.seen, b.fenced = obj.Version, obj.Version, false
		l.settled(at)
		return true, nil
	case errors.As(err, &conflict):
		l.scope.Counter("conflicts").Inc(1)
		b.shared = true
		b.cached = nil
		at.fresh = false
		if conflict.Current != nil {
			if err := b.adopt(*conflict.Current); err != nil {
				return false, err
			}
			at.fresh = true
		}
		l.pause(ctx, at)
		return false, nil
	case errors.As(err, &unsure):
		l.scope.Counter("unsure").Inc(1)
		b.cached = nil
		b.fence, b.fenced = max(b.fence, b.version), true
		at.unsure = true
		l.pause(ctx, at)
		return false, nil
	}
	b.cached = nil
	return false, err
}

// mayWrite takes a write from the router's share. Where it had to wait, the
// bucket is read again, since others have had time to write it.
func (l *Ledger) mayWrite(ctx context.Context, b *bucket, at *attempt) (ready bool, err error) {
	if at.turn {
		at.turn = false
		return true, nil
	}
	l.shareWrites()
	if l.limiter.Allow() {
		return true, nil
	}
	b.cached = nil
	at.turn = true
	return false, l.limiter.Wait(ctx)
}

// settled counts a batch whose unsure write is now known.
func (l *Ledger) settled(at *attempt) {
	if at.unsure {
		l.scope.Counter("settled").Inc(1)
	}
}

// pause waits with jitter before the next try; false where time is up.
func (l *Ledger) pause(ctx context.Context, at *attempt) bool {
	d := min(conflictDelay<<min(at.tries, 10), maxConflictDelay)
	pause.Sleep(ctx, rand.N(d))
	return ctx.Err() == nil
}

func coreOps(ops []*op) []claim.Op {
	out := make([]claim.Op, len(ops))
	for i, o := range ops {
		out[i] = o.core
	}
	return out
}

// final tells whether no result can change any more, so that an old copy of the
// bucket will do.
func final(results []claim.Result) bool {
	for _, r := range results {
		known := r.Verdict == claim.Held && r.Entry.State == claim.Finished
		if !known {
			return false
		}
	}
	return true
}
