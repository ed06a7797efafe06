package claim

import (
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Op is an operation on one key of a bucket.
type Op interface{ isOp() }

// Grant asks for a key.
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

// Release gives a key back; the claimant has never dispatched the request and
// never will.
type Release struct {
	Key Key
	ID  ID
}

// MarkUnknown says that the claim's request may have run.
type MarkUnknown struct {
	Key Key
	ID  ID
}

func (Grant) isOp()       {}
func (Finish) isOp()      {}
func (Release) isOp()     {}
func (MarkUnknown) isOp() {}

// Verdict is the answer to an operation.
type Verdict uint8

// The verdicts.
const (
	// Applied: the bucket now says what the operation asked for.
	Applied Verdict = iota + 1
	// Held: another claim holds the key; Result.Entry is that claim.
	Held
	// Reused: the key is held by a request with other content.
	Reused
	// Full: the bucket has no room for a new claim.
	Full
	// Gone: the operation's claim does not hold the key, or is past the
	// state in which the operation has an effect.
	Gone
)

// Result answers one operation.
type Result struct {
	Verdict Verdict
	Entry   Entry
}

// Writer describes the router that applies a batch.
type Writer struct {
	Instance ids.Instance
	// Now is its wall clock.
	Now time.Time
	// Window is how long it promises to remember a key.
	Window time.Duration
}

// Apply carries out a batch in order and returns one result for each operation
// and whether the bucket differs from what was read. Applying the same batch
// again, on this bucket or on one read later, gives a claim no second holder:
// a Grant whose ID holds the key already is Applied and changes nothing.
func (b *Bucket) Apply(w Writer, ops []Op) (results []Result, changed bool) {
	now := w.Now.UnixMilli()
	b.window = max(b.window, w.Window.Milliseconds())
	b.expire(w.Instance, now)
	at := b.grantTime(now)
	results = make([]Result, len(ops))
	for i, op := range ops {
		var did bool
		results[i], did = b.apply(op, at)
		changed = changed || did
	}
	if changed {
		b.stamp(w.Instance, now)
		b.shrinkBodies()
	}
	return results, changed
}

func (b *Bucket) apply(op Op, at int64) (Result, bool) {
	switch op := op.(type) {
	case Grant:
		return b.grant(op, at)
	case Finish:
		return b.finish(op)
	case Release:
		return b.release(op)
	case MarkUnknown:
		return b.markUnknown(op)
	}
	return Result{Verdict: Gone}, false
}

func (b *Bucket) grant(op Grant, at int64) (Result, bool) {
	if e, ok := b.entries[op.Key]; ok {
		return Result{Verdict: heldVerdict(e, op), Entry: *e}, false
	}
	e := &Entry{
		Key:         op.Key,
		Fingerprint: op.Fingerprint,
		ID:          op.ID,
		RequestID:   plain(op.RequestID, maxRequestID),
		At:          at,
		State:       Granted,
	}
	if !b.fits(e) {
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

// fits tells whether the entry has room, bodies apart: those give way.
func (b *Bucket) fits(e *Entry) bool {
	if len(e.ID.Owner.Instance) > maxInstance {
		return false
	}
	clocks := (maxClocks + 1) * (ownerSize + escape*maxInstance)
	return b.size+clocks+e.size()+e.ID.Owner.size() <= MaxBytes
}

func (b *Bucket) finish(op Finish) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State == Finished {
		return Result{Verdict: Gone}, false
	}
	r := op.Record
	r.ContentType = plain(r.ContentType, maxContentType)
	if b.size+len(r.ContentType) > MaxBytes {
		r.ContentType, r.Body, r.Truncated = "", nil, true
	}
	b.change(e, func() {
		e.State = Finished
		e.Record = &r
	})
	return Result{Verdict: Applied, Entry: *e}, true
}

func (b *Bucket) release(op Release) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State != Granted {
		return Result{Verdict: Gone}, false
	}
	b.remove(e)
	return Result{Verdict: Applied}, true
}

func (b *Bucket) markUnknown(op MarkUnknown) (Result, bool) {
	e, ok := b.entries[op.Key]
	if !ok || e.ID != op.ID || e.State != Granted {
		return Result{Verdict: Gone}, false
	}
	e.State = Unknown
	return Result{Verdict: Applied, Entry: *e}, true
}
