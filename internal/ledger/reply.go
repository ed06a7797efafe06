package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/claim"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
)

// replyToBatch replies to the operations of a batch that is durable in the store.
func (l *Ledger) replyToBatch(b *bucket, batch *batchState) {
	l.recordStoreSuccess()
	late := l.opts.Now().Sub(batch.firstAppliedAt) > maxGrantDelay
	for i, o := range batch.ops {
		if !o.isClaim {
			l.replyToEnd(o)
			continue
		}
		l.replyToClaim(b, o, batch.results[i], late)
	}
}

// replyToClaim replies to a claim. A claim that took too long, or whose caller has
// canceled, is released.
func (l *Ledger) replyToClaim(b *bucket, o *op, r claim.Result, late bool) {
	if r.Verdict != claim.Applied {
		l.removeOpenClaim(o.id)
		o.tryReply(l.notGrantedReply(b, r))
		return
	}
	if late {
		l.scope.Counter("late").Inc(1)
		o.tryReply(reply{err: &Error{Step: "claim", Peer: bucketName(b.index), Err: ErrLate, RetryAfter: retryAfterRefusal}})
		l.releaseUndispatched(b, o)
		return
	}
	ref := Ref{key: o.key, id: o.id, bucket: b.index, dispatchDeadline: l.dispatchDeadline()}
	if !o.tryReply(reply{result: Result{State: Granted, Ref: ref}}) {
		l.releaseUndispatched(b, o)
		return
	}
	l.scope.Counter("granted").Inc(1)
}

// dispatchDeadline returns the time until which a claim that is granted now may
// be dispatched: half the window from now, well before the key can expire.
func (l *Ledger) dispatchDeadline() time.Time {
	return l.opts.Now().Add(l.opts.Window / 2)
}

// notGrantedReply returns the reply to a claim that was not granted.
func (l *Ledger) notGrantedReply(b *bucket, r claim.Result) reply {
	switch r.Verdict {
	case claim.Reused:
		l.scope.Counter("key_reused").Inc(1)
		return reply{result: Result{State: KeyReused}}
	case claim.Full:
		l.scope.Counter("refused_full").Inc(1)
		return reply{err: &Error{Step: "claim", Peer: bucketName(b.index), Err: ErrFull, RetryAfter: retryAfterFull}}
	}
	l.scope.Counter("repeats").Inc(1)
	switch r.Entry.State {
	case claim.Finished:
		rec := *r.Entry.Record
		return reply{result: Result{State: Finished, Record: &rec}}
	case claim.Granted:
		if l.isRunning(r.Entry.ID) {
			return reply{result: Result{State: InProgress}}
		}
	}
	return reply{result: Result{State: Unknown}}
}

// isRunning reports whether the owner of a claim may still end it. It affects only
// the state in the reply to a repeat: a key that is held is never granted again.
func (l *Ledger) isRunning(id claim.ID) bool {
	if id.Owner.Instance == l.opts.Instance {
		l.mu.Lock()
		defer l.mu.Unlock()
		_, isOpen := l.openClaims[id]
		return isOpen
	}
	if l.opts.LiveIncarnation == nil {
		return true
	}
	var incarnation ids.Incarnation
	incarnation, ok := l.opts.LiveIncarnation(id.Owner.Instance)
	return ok && incarnation == id.Owner.Incarnation
}

// replyToEnd replies to an operation that ends a claim and removes the claim from
// the open ones.
func (l *Ledger) replyToEnd(o *op) {
	l.mu.Lock()
	l.pendingEnds--
	delete(l.openClaims, o.id)
	l.mu.Unlock()
	o.tryReply(reply{})
}

// removeOpenClaim removes a claim that was not granted from the open ones.
func (l *Ledger) removeOpenClaim(id claim.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.openClaims, id)
}

// releaseUndispatched enqueues the release of a claim that will never be
// dispatched.
func (l *Ledger) releaseUndispatched(b *bucket, o *op) {
	l.scope.Counter("given_back").Inc(1)
	l.enqueue(b.index, &op{
		claimOp: claim.Release{Key: o.key, ID: o.id},
		key:     o.key, id: o.id, done: make(chan reply, 1),
	})
}

// failBatch refuses the claims of a batch that could not be committed, and
// requeues the operations that end claims. If a write has been or may still be
// applied, the claims are released: their IDs are never dispatched, and until the
// release is durable, a repeat may find the claim in progress.
func (l *Ledger) failBatch(b *bucket, batch *batchState, err error) {
	l.scope.Counter("failed").Inc(1)
	if batch.unconfirmed || isStoreError(err) {
		l.recordStoreFailure()
	}
	var retryOps []*op
	for _, o := range batch.ops {
		if !o.isClaim {
			retryOps = append(retryOps, o)
			continue
		}
		o.tryReply(reply{err: l.unavailableError(b, err)})
		if batch.unconfirmed {
			l.releaseUndispatched(b, o)
		} else {
			l.removeOpenClaim(o.id)
		}
	}
	l.requeue(b, retryOps)
}

// isStoreError reports whether err is a failure of the store, as opposed to one of
// this router, such as a batch that had conflicts with other writers until its
// time-out.
func isStoreError(err error) bool {
	var read *platform.ReadError
	var write *platform.NotAppliedError
	return errors.As(err, &read) || errors.As(err, &write)
}

// unavailableError returns the error for a claim whose batch failed with err.
func (l *Ledger) unavailableError(b *bucket, err error) error {
	return &Error{
		Step:       "claim",
		Peer:       bucketName(b.index),
		RetryAfter: retryAfterRefusal,
		Err:        errors.Mark(err, ErrUnavailable),
	}
}
