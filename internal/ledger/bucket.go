package ledger

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/umberhill/umberhill/internal/core/claim"
)

// Bounds of batches and their delays.
const (
	// maxBatch bounds the operations of one update.
	maxBatch = 512
	// endBatchDelay is how long operations that end claims are held back to
	// form a larger batch.
	endBatchDelay = 40 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after a failed batch.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// breakerOpenTime is the maximum time for which the circuit breaker refuses
	// all claims after a failure of the store.
	breakerOpenTime = 300 * time.Millisecond
	// maxGrantDelay bounds the time between the choice of a claim's time, at
	// the first Apply of its batch, and its grant.
	maxGrantDelay = 30 * time.Second
)

// reply is the result that an operation returns.
type reply struct {
	result Result
	err    error
}

// op is one operation in a bucket's queue.
type op struct {
	claimOp claim.Op
	key     claim.Key
	id      claim.ID
	// isClaim is set for claims: a caller waits for them and they are not
	// retried after a failed batch. Other operations end claims and are
	// retried until they are durable.
	isClaim bool
	done    chan reply
	// completed is set by the reply or by the caller's cancellation, whichever
	// comes first.
	completed atomic.Bool
}

// tryCancel marks the operation as canceled by its caller. It returns false if
// the reply came first.
func (o *op) tryCancel() bool { return o.completed.CompareAndSwap(false, true) }

// tryReply sends the reply. It returns false if the caller has canceled.
func (o *op) tryReply(r reply) bool {
	if !o.completed.CompareAndSwap(false, true) {
		return false
	}
	o.done <- r
	return true
}

// bucket is the ledger's state of one bucket. The fields from cached on are used
// only by the goroutine that drains the bucket, of which there is at most one.
type bucket struct {
	index int
	// queue and active are guarded by Ledger.mu.
	queue  []*op
	active bool
	// wake signals the draining goroutine that a claim was enqueued.
	wake chan struct{}

	// cached is the bucket's content at version, or nil.
	cached  *claim.Bucket
	version uint64
	// maxSeenVersion is the highest version that was read or written. A read
	// that returns an older version, or no object, is rejected as stale.
	maxSeenVersion uint64
	// isShared is set while other routers write the bucket too: reading it
	// before a write is cheaper than a conflict.
	isShared bool
	// fenceVersion is the highest version on which an unconfirmed write of
	// this router was conditional; it is valid while hasFence is set. Until a
	// higher version is seen, the store may still apply that write.
	fenceVersion        uint64
	hasFence            bool
	consecutiveFailures int
}

// enqueue adds an operation to a bucket's queue and schedules the bucket to be
// drained. A stopped ledger replies with ErrStopped.
func (l *Ledger) enqueue(index int, o *op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		o.tryReply(reply{err: stoppedError(index)})
		return
	}
	b := l.buckets[index]
	if b == nil {
		b = &bucket{index: index, wake: make(chan struct{}, 1)}
		l.buckets[index] = b
	}
	b.queue = append(b.queue, o)
	if o.isClaim {
		l.openClaims[o.id] = struct{}{}
		notify(b.wake)
	} else {
		l.pendingEnds++
	}
	if !b.active {
		b.active = true
		l.activeBuckets <- b // never blocks: each bucket is in it at most once
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// drain commits a bucket's operations in batches until its queue is empty or ctx
// is done.
func (l *Ledger) drain(ctx context.Context, b *bucket) {
	for {
		ops := l.nextBatch(b)
		if len(ops) == 0 {
			return
		}
		if !hasClaim(ops) {
			l.waitForClaim(ctx, b, endBatchDelay)
			ops = append(ops, l.dequeue(b, maxBatch-len(ops))...)
		}
		ok := l.commit(ctx, b, ops)
		if ctx.Err() != nil {
			return
		}
		if ok {
			b.consecutiveFailures = 0
			continue
		}
		b.consecutiveFailures++
		l.waitForClaim(ctx, b, backoffFor(b.consecutiveFailures))
	}
}

// nextBatch removes and returns the next batch. If the queue is empty, it marks
// the bucket inactive and returns nil.
func (l *Ledger) nextBatch(b *bucket) []*op {
	ops := l.dequeue(b, maxBatch)
	if len(ops) > 0 {
		return ops
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(b.queue) > 0 {
		return l.dequeueLocked(b, maxBatch)
	}
	b.active = false
	return nil
}

// dequeue removes and returns up to n operations.
func (l *Ledger) dequeue(b *bucket, n int) []*op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dequeueLocked(b, n)
}

// dequeueLocked removes and returns up to n operations. The caller holds l.mu.
func (l *Ledger) dequeueLocked(b *bucket, n int) []*op {
	n = min(n, len(b.queue))
	ops := append([]*op(nil), b.queue[:n]...)
	b.queue = b.queue[n:]
	return ops
}

// requeue puts operations back at the front of a bucket's queue.
func (l *Ledger) requeue(b *bucket, ops []*op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.queue = append(append([]*op(nil), ops...), b.queue...)
}

// failQueued replies with ErrStopped to all queued operations when the ledger
// stops, and refuses further ones.
func (l *Ledger) failQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, b := range l.buckets {
		for _, o := range b.queue {
			o.tryReply(reply{err: stoppedError(b.index)})
		}
		b.queue = nil
	}
}

func stoppedError(index int) error {
	return &Error{Step: "claim", Peer: bucketName(index), Err: ErrStopped}
}

func hasClaim(ops []*op) bool {
	for _, o := range ops {
		if o.isClaim {
			return true
		}
	}
	return false
}

// waitForClaim waits for d, or until a claim is enqueued or ctx is done.
func (l *Ledger) waitForClaim(ctx context.Context, b *bucket, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.wake:
	case <-ctx.Done():
	}
}

// backoffFor returns a jittered backoff after the nth consecutive failure.
func backoffFor(n int) time.Duration {
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// recordStoreFailure counts a failure of the store and sets the time until which
// an open circuit breaker refuses claims. The breaker is open from the second
// consecutive failure on, until a call to the store succeeds.
func (l *Ledger) recordStoreFailure() {
	d := breakerOpenTime/2 + rand.N(breakerOpenTime/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFailures++
	l.breakerOpenUntil = l.opts.Now().Add(d)
}

// recordStoreSuccess closes the circuit breaker: the store responds.
func (l *Ledger) recordStoreSuccess() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFailures = 0
}
