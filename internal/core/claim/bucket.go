package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// MaxBytes bounds the size of an encoded bucket.
const MaxBytes = 900_000

// MaxBodyBytes bounds the total size of a bucket's encoded response bodies. The
// oldest bodies are dropped first; their claims stay finished.
const MaxBodyBytes = 256 << 10

// writerClock is the latest wall-clock time at which an instance wrote the
// bucket.
type writerClock struct {
	instance ids.Instance
	unixMS   int64
}

// Bucket holds the claims of the keys that map to it. The store keeps one object
// for each bucket, independent of time: a key is stored in one place only, so no
// two conditional writes can both grant it, and there is no boundary between
// time windows at which a claim could be missed.
type Bucket struct {
	// windowMS is the longest window of any writer, in milliseconds.
	windowMS int64
	entries  map[Key]*Entry
	// owners is the number of entries of each owner.
	owners map[Owner]int
	// clocks are sorted with the latest first.
	clocks []writerClock
	// lastWriter is the instance that wrote the bucket last, and
	// consecutiveWrites the number of its writes since another instance wrote;
	// it stops counting at soleWriterThreshold.
	lastWriter        ids.Instance
	consecutiveWrites int
	// size is an upper bound of the encoded size in bytes without the
	// response bodies, and totalBodySize the size of those. Both are updated on
	// every change.
	size          int
	totalBodySize int
}

// NewBucket returns an empty bucket.
func NewBucket() *Bucket {
	return &Bucket{entries: map[Key]*Entry{}, owners: map[Owner]int{}, size: headerSize}
}

// Len returns the number of claims in the bucket.
func (b *Bucket) Len() int { return len(b.entries) }

// Count returns the number of claims in the given state.
func (b *Bucket) Count(s State) int {
	n := 0
	for _, e := range b.entries {
		if e.State == s {
			n++
		}
	}
	return n
}

// Size returns an upper bound of the bucket's encoded size in bytes.
func (b *Bucket) Size() int { return b.size + b.totalBodySize }

// Lookup returns a copy of the key's entry, and whether there is one.
func (b *Bucket) Lookup(k Key) (Entry, bool) {
	e, ok := b.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// IsHeldBy reports whether the claim with the given ID holds the key.
func (b *Bucket) IsHeldBy(k Key, id ID) bool {
	e, ok := b.entries[k]
	return ok && e.ID == id
}

// Window returns the minimum time for which the bucket's keys are kept.
func (b *Bucket) Window() time.Duration {
	return time.Duration(b.windowMS) * time.Millisecond
}

func (b *Bucket) insert(e *Entry) {
	owner := e.ID.Owner
	if b.owners[owner] == 0 {
		b.size += owner.size()
	}
	b.owners[owner]++
	b.entries[e.Key] = e
	b.adjustSize(e, 1)
}

func (b *Bucket) remove(e *Entry) {
	owner := e.ID.Owner
	b.owners[owner]--
	if b.owners[owner] == 0 {
		delete(b.owners, owner)
		b.size -= owner.size()
	}
	delete(b.entries, e.Key)
	b.adjustSize(e, -1)
}

// adjustSize adds the entry's size if sign is 1 and subtracts it if sign is -1.
func (b *Bucket) adjustSize(e *Entry, sign int) {
	b.size += sign * e.size()
	b.totalBodySize += sign * e.bodySize()
}

// update changes an entry by calling f and adjusts the bucket's sizes.
func (b *Bucket) update(e *Entry, f func()) {
	b.adjustSize(e, -1)
	f()
	b.adjustSize(e, 1)
}

// entriesByTime returns the entries sorted by time of the claim, oldest first,
// and then by key.
func (b *Bucket) entriesByTime() []*Entry {
	out := make([]*Entry, 0, len(b.entries))
	for _, e := range b.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y *Entry) int {
		if c := cmp.Compare(x.ClaimedAtMS, y.ClaimedAtMS); c != 0 {
			return c
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return out
}

// evictBodies drops the oldest bodies if the bodies exceed the space available
// to them. It stops at three quarters of that space, so that the entries are not
// sorted on every write.
func (b *Bucket) evictBodies() {
	capacity := max(min(MaxBodyBytes, MaxBytes-b.size), 0)
	if b.totalBodySize <= capacity {
		return
	}
	for _, e := range b.entriesByTime() {
		if b.totalBodySize <= capacity/4*3 {
			return
		}
		if e.bodySize() > 0 {
			b.update(e, e.dropBody)
		}
	}
}
