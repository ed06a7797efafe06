package claim

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Op is an operation on one key of a bucket.
type Op interface{ isOp() }

// Grant claims a key for a request. Fingerprint identifies the request's content.
type Grant struct {
	Key         Key
	Fingerprint uint64
	ID          ID
	RequestID   string
}

// Finish records the outcome of a claim.
type Finish struct {
	Key    Key
	ID     ID
	Record Record
}

// Release removes a claim whose request has not been dispatched and never will
// be, so that the key can be granted again.
type Release struct {
	Key Key
	ID  ID
}

// MarkUnknown records that the claim's request may have run.
type MarkUnknown struct {
	Key Key
	ID  ID
}

func (Grant) isOp()       {}
func (Finish) isOp()      {}
func (Release) isOp()     {}
func (MarkUnknown) isOp() {}

// Verdict is the effect of an operation.
type Verdict uint8

// The verdicts.
const (
	// Applied means that the bucket is now in the state that the operation
	// requested.
	Applied Verdict = iota + 1
	// Held means that another claim holds the key; Result.Entry is that claim.
	Held
	// Reused means that the key is held by a request with a different
	// fingerprint.
	Reused
	// Full means that the bucket has no room for another claim.
	Full
	// NoEffect means that the operation's claim does not hold the key, or is in a
	// state in which the operation changes nothing.
	NoEffect
)

// Result is the result of one operation. Entry is the key's entry after the
// operation, or zero if the key has none or the verdict is Full or NoEffect.
type Result struct {
	Verdict Verdict
	Entry   Entry
}

// Writer describes the router that applies a batch.
type Writer struct {
	Instance ids.Instance
	// Now is the router's wall-clock time.
	Now time.Time
	// Window is the minimum time for which the router requires a key to be
	// kept.
	Window time.Duration
}

// Apply applies a batch in order. It returns one result for each operation and
// whether any operation changed the bucket. Applying the same batch again, to
// this bucket or to one read later, never grants a key to a second claim: a
// Grant whose ID already holds the key is Applied and changes nothing.
func (b *Bucket) Apply(w Writer, ops []Op) (results []Result, changed bool) {
	now := w.Now.UnixMilli()
	b.windowMS = max(b.windowMS, w.Window.Milliseconds())
	b.expire(w.Instance, now)
	claimedAtMS := b.grantTime(now)
	results = make([]Result, len(ops))
	for i, op := range ops {
		var opChanged bool
		results[i], opChanged = b.apply(op, claimedAtMS)
		changed = changed || opChanged
	}
	if changed {
		b.recordWriter(w.Instance, now)
		b.evictBodies()
	}
	return results, changed
}

func (b *Bucket) apply(op Op, claimedAtMS int64) (Result, bool) {
	switch op := op.(type) {
	case Grant:
		return b.grant(op, claimedAtMS)
	case Finish:
		return b.finish(op)
	case Release:
		return b.release(op)
	case MarkUnknown:
		return b.markUnknown(op)
	}
	return Result{Verdict: NoEffect}, false
}

func (b *Bucket) grant(op Grant, claimedAtMS int64) (Result, bool) {
	if e, ok := b.entries[op.Key]; ok {
		return Result{Verdict: heldVerdict(e, op), Entry: *e}, false
	}
	e := &Entry{
		Key:         op.Key,
		Fingerprint: op.Fingerprint,
		ID:          op.ID,
		RequestID:   unescapedOrEmpty(op.RequestID, maxRequestIDBytes),
		ClaimedAtMS: claimedAtMS,
		State:       Granted,
	}
	if !b.hasRoomFor(e) {
		return Result{Verdict: Full}, false
	}
	b.insert(e)
	return Result{Verdict: Applied, Entry: *e}, true
}

func heldVerdict(e *Entry, op Grant) Verdict {
	switch {
	case e.ID == op.ID:
		return Applied
	case e.Fingerprint != op.Fingerprint:
		return Reused
	}
	return Held
}

// hasRoomFor reports whether the entry fits into the bucket, with space reserved
// for all clocks that the bucket may store. Bodies do not count, since
// evictBodies drops them to make room.
func (b *Bucket) hasRoomFor(e *Entry) bool {
	if len(e.ID.Owner.Instance) > maxInstanceBytes {
		return false
	}
	clockSize := (maxClocks + 1) * (ownerFixedSize + maxEscapeFactor*maxInstanceBytes)
	return b.size+clockSize+e.size()+e.ID.Owner.size() <= MaxBytes
}

func (b *Bucket) finish(op Finish) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State == Finished {
		return Result{Verdict: NoEffect}, false
	}
	r := op.Record
	r.ContentType = unescapedOrEmpty(r.ContentType, maxContentTypeBytes)
	if b.size+len(r.ContentType) > MaxBytes {
		r.ContentType, r.Body, r.Truncated = "", nil, true
	}
	b.update(e, func() {
		e.State = Finished
		e.Record = &r
	})
	return Result{Verdict: Applied, Entry: *e}, true
}

func (b *Bucket) release(op Release) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State != Granted {
		return Result{Verdict: NoEffect}, false
	}
	b.remove(e)
	return Result{Verdict: Applied}, true
}

func (b *Bucket) markUnknown(op MarkUnknown) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State != Granted {
		return Result{Verdict: NoEffect}, false
	}
	e.State = Unknown
	return Result{Verdict: Applied, Entry: *e}, true
}
