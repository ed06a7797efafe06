package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/core/claim"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/platform"
)

// deliver answers the operations of a batch that stands in the store.
func (l *Ledger) deliver(b *bucket, at *attempt) {
	l.markUp()
	late := l.opts.Now().Sub(at.began) > maxHold
	for i, o := range at.ops {
		if !o.urgent {
			l.ended(o)
			continue
		}
		l.deliverClaim(b, o, at.results[i], late)
	}
}

func (l *Ledger) deliverClaim(b *bucket, o *op, r claim.Result, late bool) {
	if r.Verdict != claim.Applied {
		l.close(o.id)
		o.answer(l.heldReply(b, r))
		return
	}
	if late {
		l.scope.Counter("late").Inc(1)
		o.answer(reply{err: &Error{Step: "claim", Peer: bucketName(b.index), Err: ErrLate, RetryAfter: retryLater}})
		l.giveBack(b, o)
		return
	}
	ref := Ref{key: o.key, id: o.id, bucket: b.index, notAfter: l.notAfter()}
	if !o.answer(reply{result: Result{State: Granted, Ref: ref}}) {
		l.giveBack(b, o)
		return
	}
	l.scope.Counter("granted").Inc(1)
}

// notAfter is half the window after the claim: until then the key stands.
func (l *Ledger) notAfter() time.Time {
	return l.opts.Now().Add(l.opts.Window / 2)
}

// heldReply answers a claim that was not granted.
func (l *Ledger) heldReply(b *bucket, r claim.Result) reply {
	switch r.Verdict {
	case claim.Reused:
		l.scope.Counter("key_reused").Inc(1)
		return reply{result: Result{State: KeyReused}}
	case claim.Full:
		l.scope.Counter("refused_full").Inc(1)
		return reply{err: &Error{Step: "claim", Peer: bucketName(b.index), Err: ErrFull, RetryAfter: retryFull}}
	}
	l.scope.Counter("repeats").Inc(1)
	switch r.Entry.State {
	case claim.Finished:
		rec := *r.Entry.Record
		return reply{result: Result{State: Finished, Record: &rec}}
	case claim.Granted:
		if l.running(r.Entry.ID) {
			return reply{result: Result{State: InProgress}}
		}
	}
	return reply{result: Result{State: Unknown}}
}

// running tells whether the claimant may still end the claim. It changes only
// what a repeat is told: a claim that stands is never granted again.
func (l *Ledger) running(id claim.ID) bool {
	if id.Owner.Instance == l.opts.Instance {
		l.mu.Lock()
		defer l.mu.Unlock()
		_, open := l.open[id]
		return open
	}
	if l.opts.Live == nil {
		return true
	}
	var inc ids.Incarnation
	inc, ok := l.opts.Live(id.Owner.Instance)
	return ok && inc == id.Owner.Incarnation
}

// ended answers an operation that ends a claim.
func (l *Ledger) ended(o *op) {
	l.mu.Lock()
	l.ending--
	delete(l.open, o.id)
	l.mu.Unlock()
	o.answer(reply{})
}

// close forgets a claim that was not granted.
func (l *Ledger) close(id claim.ID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, id)
}

// giveBack releases a claim that will never be dispatched.
func (l *Ledger) giveBack(b *bucket, o *op) {
	l.scope.Counter("given_back").Inc(1)
	l.enqueue(b.index, &op{
		core: claim.Release{Key: o.key, ID: o.id},
		key:  o.key, id: o.id, done: make(chan reply, 1),
	})
}

// fail answers the claims of a batch that could not be brought into the store
// and keeps the operations that end claims for another try. Where a write may
// have been applied, or may yet arrive, the claims are given back: their ids
// are never dispatched, and until the release stands a repeat meets a claim in
// progress.
func (l *Ledger) fail(b *bucket, at *attempt, err error) {
	l.scope.Counter("failed").Inc(1)
	if at.unsure || storeFailed(err) {
		l.markDown()
	}
	var again []*op
	for _, o := range at.ops {
		if !o.urgent {
			again = append(again, o)
			continue
		}
		o.answer(reply{err: l.failure(b, err)})
		if at.unsure {
			l.giveBack(b, o)
		} else {
			l.close(o.id)
		}
	}
	l.requeue(b, again)
}

// storeFailed tells an error of the store from one of this router, such as a
// batch that met others' writes until its time was up.
func storeFailed(err error) bool {
	var read *platform.ReadError
	var write *platform.NotAppliedError
	return errors.As(err, &read) || errors.As(err, &write)
}

func (l *Ledger) failure(b *bucket, err error) error {
	return &Error{
		Step:       "claim",
		Peer:       bucketName(b.index),
		RetryAfter: retryLater,
		Err:        errors.Mark(err, ErrUnavailable),
	}
}
