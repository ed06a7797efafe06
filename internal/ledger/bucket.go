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
	// endingDelay is how long the ends of claims wait for company.
	endingDelay = 40 * time.Millisecond
	// minBackoff and maxBackoff bound the wait after a failed update.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// downTime is how long claims are refused at once after the store failed.
	downTime = 300 * time.Millisecond
	// maxHold bounds the time between the choice of a claim's time and its
	// grant.
	maxHold = 30 * time.Second
)

// reply answers an operation.
type reply struct {
	result Result
	err    error
}

// op is one operation in a bucket's queue.
type op struct {
	core claim.Op
	key  claim.Key
	id   claim.ID
	// urgent operations are claims: somebody waits, and they are not retried.
	// The others end claims and are retried until they stand.
	urgent bool
	done   chan reply
	// settled is set by whoever is first: the reply or the caller that leaves.
	settled atomic.Bool
}

// abandon tells that the caller has left; false where the reply came first.
func (o *op) abandon() bool { return o.settled.CompareAndSwap(false, true) }

// answer gives the reply; false where the caller has left.
func (o *op) answer(r reply) bool {
	if !o.settled.CompareAndSwap(false, true) {
		return false
	}
	o.done <- r
	return true
}

// bucket is the ledger's side of one bucket. The fields below cached belong to
// the goroutine that drains it, of which there is at most one.
type bucket struct {
	index int
	// queue and active are guarded by Ledger.mu.
	queue  []*op
	active bool
	// wake tells the draining goroutine that an urgent operation came.
	wake chan struct{}

	// cached is the bucket as it stands at version, or nil.
	cached  *claim.Bucket
	version uint64
	// seen is the highest version that was ever read or written. An older
	// answer of the store, or none, is no ground for a decision.
	seen uint64
	// shared is set while other routers write the bucket too: reading it first
	// is cheaper than a write that fails.
	shared bool
	// fence is the version on which an unsure write of ours was conditional.
	// Until a higher version is seen, that write may still arrive.
	fence    uint64
	fenced   bool
	failures int
}

// enqueue adds an operation and sees to it that its bucket is drained.
func (l *Ledger) enqueue(index int, o *op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		o.answer(reply{err: stoppedError(index)})
		return
	}
	b := l.buckets[index]
	if b == nil {
		b = &bucket{index: index, wake: make(chan struct{}, 1)}
		l.buckets[index] = b
	}
	b.queue = append(b.queue, o)
	if o.urgent {
		l.open[o.id] = struct{}{}
		notify(b.wake)
	} else {
		l.ending++
	}
	if !b.active {
		b.active = true
		l.work <- b // never blocks: each bucket is in it at most once
	}
}

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// drain commits a bucket's operations until there are none.
func (l *Ledger) drain(ctx context.Context, b *bucket) {
	for {
		ops := l.take(b)
		if len(ops) == 0 {
			return
		}
		if !anyUrgent(ops) {
			l.linger(ctx, b, endingDelay)
			ops = append(ops, l.more(b, maxBatch-len(ops))...)
		}
		ok := l.commit(ctx, b, ops)
		if ctx.Err() != nil {
			return
		}
		if ok {
			b.failures = 0
			continue
		}
		b.failures++
		l.linger(ctx, b, backoffFor(b.failures))
	}
}

// take returns the next batch; where there is none, the bucket becomes
// inactive.
func (l *Ledger) take(b *bucket) []*op {
	ops := l.more(b, maxBatch)
	if len(ops) > 0 {
		return ops
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(b.queue) > 0 {
		return l.pop(b, maxBatch)
	}
	b.active = false
	return nil
}

func (l *Ledger) more(b *bucket, n int) []*op {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pop(b, n)
}

func (l *Ledger) pop(b *bucket, n int) []*op {
	n = min(n, len(b.queue))
	ops := append([]*op(nil), b.queue[:n]...)
	b.queue = b.queue[n:]
	return ops
}

// requeue puts operations that end claims back in front.
func (l *Ledger) requeue(b *bucket, ops []*op) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.queue = append(append([]*op(nil), ops...), b.queue...)
}

// failQueued answers what is still queued when the ledger ends.
func (l *Ledger) failQueued() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, b := range l.buckets {
		for _, o := range b.queue {
			o.answer(reply{err: stoppedError(b.index)})
		}
		b.queue = nil
	}
}

func stoppedError(index int) error {
	return &Error{Step: "claim", Peer: bucketName(index), Err: ErrStopped}
}

func anyUrgent(ops []*op) bool {
	for _, o := range ops {
		if o.urgent {
			return true
		}
	}
	return false
}

// linger waits for d or until an urgent operation comes.
func (l *Ledger) linger(ctx context.Context, b *bucket, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-b.wake:
	case <-ctx.Done():
	}
}

// backoffFor returns a jittered wait after the nth failure in a row.
func backoffFor(n int) time.Duration {
	d := min(minBackoff<<min(n-1, 10), maxBackoff)
	return d/2 + rand.N(d/2+1)
}

// markDown notes that the store failed. From the second failure in a row on,
// claims are refused at once until one has found it back.
func (l *Ledger) markDown() {
	d := downTime/2 + rand.N(downTime/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures++
	l.downUntil = l.opts.Now().Add(d)
}

// markUp notes that the store answers.
func (l *Ledger) markUp() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failures = 0
}
