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

// commitTimeout bounds the time to commit one batch, including all attempts.
const commitTimeout = 5 * time.Second

// conflictDelay is the base of the exponential backoff between the attempts of a
// batch; it doubles with each attempt, up to maxConflictDelay.
const (
	conflictDelay    = 4 * time.Millisecond
	maxConflictDelay = 128 * time.Millisecond
)

// maxFailedReads is the number of failed reads after which a batch with an
// unconfirmed write fails. Its claims are refused, and released in the
// background.
const maxFailedReads = 2

// batchState is the state of one batch while it is committed.
type batchState struct {
	ops []*op
	// bucketRead is set if the bucket was read during this batch.
	bucketRead bool
	// unconfirmed is set once a write of this batch had no response, so that the
	// store may have applied it or may still do so.
	unconfirmed bool
	// hasWriteToken is set while the batch holds an unused token of the
	// router's write limiter.
	hasWriteToken bool
	// failedReads counts the failed reads of the bucket.
	failedReads int
	// firstAppliedAt is the wall-clock time of the first Apply.
	firstAppliedAt time.Time
	results        []claim.Result
	attempts       int
}

// commit writes a batch to the store and replies to its operations. It returns
// false if the batch could not be committed.
func (l *Ledger) commit(ctx context.Context, b *bucket, ops []*op) bool {
	ctx, cancel := context.WithTimeout(ctx, l.commitTimeout)
	defer cancel()
	l.scope.Counter("batches").Inc(1)
	l.scope.Counter("operations").Inc(int64(len(ops)))
	batch := &batchState{ops: ops}
	for {
		done, err := l.tryCommit(ctx, b, batch)
		if done {
			l.replyToBatch(b, batch)
			return true
		}
		if err == nil && ctx.Err() != nil {
			err = ctx.Err()
		}
		if err != nil {
			l.failBatch(b, batch, err)
			return false
		}
	}
}

// tryCommit reads the bucket if necessary, applies the batch and writes the
// bucket. It returns neither done nor an error if the caller should call it again
// at once.
func (l *Ledger) tryCommit(ctx context.Context, b *bucket, batch *batchState) (done bool, err error) {
	batch.attempts++
	if b.cached == nil || b.isShared && !batch.bucketRead {
		if err := l.load(ctx, b); err != nil {
			batch.failedReads++
			if batch.unconfirmed && batch.failedReads < maxFailedReads && l.pause(ctx, batch) {
				return false, nil
			}
			return false, err
		}
		batch.bucketRead = true
	}
	now := l.opts.Now()
	if batch.firstAppliedAt.IsZero() {
		batch.firstAppliedAt = now
	}
	var changed bool
	batch.results, changed = b.cached.Apply(l.writer(now), claimOps(batch.ops))
	if !changed && !b.hasUnresolvedWrite() {
		if batch.bucketRead || areFinal(batch.results) {
			return true, nil
		}
		b.cached = nil // replies must not be based on an old copy
		return false, nil
	}
	return l.write(ctx, b, batch)
}

func (l *Ledger) writer(now time.Time) claim.Writer {
	return claim.Writer{Instance: l.opts.Instance, Now: now, Window: l.opts.Window}
}

// hasUnresolvedWrite reports whether the store may still apply an unconfirmed
// write, because that write is conditional on the current version. Any successful
// write of the bucket makes it fail.
func (b *bucket) hasUnresolvedWrite() bool { return b.hasFence && b.version <= b.fenceVersion }

// load reads the bucket from the store. A missing object is an empty bucket,
// unless this router has seen a version of it before.
func (l *Ledger) load(ctx context.Context, b *bucket) error {
	obj, err := l.get(ctx, bucketName(b.index))
	if errors.Is(err, platform.ErrNotFound) && b.maxSeenVersion == 0 {
		b.cached, b.version = claim.NewBucket(), 0
		return nil
	}
	if err != nil {
		return err
	}
	return b.adopt(obj)
}

// adopt replaces the bucket's cached state by the given object. It returns an
// error if the object is older than a version already seen or cannot be decoded.
func (b *bucket) adopt(obj platform.Object) error {
	b.cached = nil
	b.isShared = b.maxSeenVersion > 0 && obj.Version != b.maxSeenVersion
	if obj.Version < b.maxSeenVersion {
		return errors.Wrapf(errStale, "version %d read after version %d", obj.Version, b.maxSeenVersion)
	}
	got, err := claim.Decode(obj.Value)
	if err != nil {
		return errors.Mark(err, errUnreadable)
	}
	b.cached, b.version, b.maxSeenVersion = got, obj.Version, obj.Version
	if b.hasFence && b.version > b.fenceVersion {
		b.hasFence = false
	}
	return nil
}

// write writes the bucket after the batch has been applied, on the condition that
// its stored version is the one that was read. It returns neither done nor an
// error if the batch has to be applied again.
func (l *Ledger) write(ctx context.Context, b *bucket, batch *batchState) (done bool, err error) {
	ready, err := l.reserveWrite(ctx, b, batch)
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
	var unconfirmed *platform.UnconfirmedError
	switch {
	case err == nil:
		b.version, b.maxSeenVersion, b.hasFence = obj.Version, obj.Version, false
		l.countResolved(batch)
		return true, nil
	case errors.As(err, &conflict):
		l.scope.Counter("conflicts").Inc(1)
		b.isShared = true
		b.cached = nil
		batch.bucketRead = false
		if conflict.Current != nil {
			if err := b.adopt(*conflict.Current); err != nil {
				return false, err
			}
			batch.bucketRead = true
		}
		l.pause(ctx, batch)
		return false, nil
	case errors.As(err, &unconfirmed):
		l.scope.Counter("unsure").Inc(1)
		b.cached = nil
		b.fenceVersion, b.hasFence = max(b.fenceVersion, b.version), true
		batch.unconfirmed = true
		l.pause(ctx, batch)
		return false, nil
	}
	b.cached = nil
	return false, err
}

// reserveWrite takes a token from the router's write limiter. If it has to wait
// for the token, it returns false so that the bucket is read again, since other
// routers have had time to write it.
func (l *Ledger) reserveWrite(ctx context.Context, b *bucket, batch *batchState) (ready bool, err error) {
	if batch.hasWriteToken {
		batch.hasWriteToken = false
		return true, nil
	}
	l.updateWriteLimit()
	if l.writeLimiter.Allow() {
		return true, nil
	}
	b.cached = nil
	batch.hasWriteToken = true
	return false, l.writeLimiter.Wait(ctx)
}

// countResolved counts a batch that was committed after an unconfirmed write.
func (l *Ledger) countResolved(batch *batchState) {
	if batch.unconfirmed {
		l.scope.Counter("settled").Inc(1)
	}
}

// pause waits with jittered exponential backoff before the next attempt. It
// returns false if ctx is done.
func (l *Ledger) pause(ctx context.Context, batch *batchState) bool {
	d := min(conflictDelay<<min(batch.attempts, 10), maxConflictDelay)
	pause.Sleep(ctx, rand.N(d))
	return ctx.Err() == nil
}

func claimOps(ops []*op) []claim.Op {
	out := make([]claim.Op, len(ops))
	for i, o := range ops {
		out[i] = o.claimOp
	}
	return out
}

// areFinal reports whether none of the results can change any more, so that they
// can be taken from an old copy of the bucket. That holds for finished claims
// only.
func areFinal(results []claim.Result) bool {
	for _, r := range results {
		finished := r.Verdict == claim.Held && r.Entry.State == claim.Finished
		if !finished {
			return false
		}
	}
	return true
}
