package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// MaxBytes bounds an encoded bucket.
const MaxBytes = 900_000

// MaxBodyBytes bounds the encoded bodies of a bucket together. The oldest are
// dropped first; their requests still count as finished.
const MaxBodyBytes = 256 << 10

// clockEntry is the last wall clock that an instance stamped on the bucket.
type clockEntry struct {
	instance ids.Instance
	// at is in Unix milliseconds.
	at int64
}

// Bucket holds the claims of the keys that fall to it. There is one object for
// each bucket for all time: a key can stand in one place only, so that no two
// conditional writes can grant it, and no boundary between windows exists at
// which one could be overlooked.
type Bucket struct {
	// window in ms is the longest that any writer has stated.
	window  int64
	entries map[Key]*Entry
	// owners counts the entries of each owner.
	owners map[Owner]int
	// clocks, the fastest first.
	clocks []clockEntry
	// writer is the last writer and run its number of writes in a row.
	writer ids.Instance
	run    int
	// size and bodies are bounds of the encoded sizes, kept up to date.
	size   int
	bodies int
}

// NewBucket returns an empty bucket.
func NewBucket() *Bucket {
	return &Bucket{entries: map[Key]*Entry{}, owners: map[Owner]int{}, size: headerSize}
}

// Len returns the number of entries.
func (b *Bucket) Len() int { return len(b.entries) }

// Count returns the number of entries in a state.
func (b *Bucket) Count(s State) int {
	n := 0
	for _, e := range b.entries {
		if e.State == s {
			n++
		}
	}
	return n
}

// Size returns an upper bound of the encoded size in bytes.
func (b *Bucket) Size() int { return b.size + b.bodies }

// Lookup returns a copy of the entry of a key.
func (b *Bucket) Lookup(k Key) (Entry, bool) {
	e, ok := b.entries[k]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Holds tells whether the claim with the given ID holds the key.
func (b *Bucket) Holds(k Key, id ID) bool {
	e, ok := b.entries[k]
	return ok && e.ID == id
}

// Window returns how long the bucket's keys are remembered at least.
func (b *Bucket) Window() time.Duration {
	return time.Duration(b.window) * time.Millisecond
}

func (b *Bucket) insert(e *Entry) {
	owner := e.ID.Owner
	if b.owners[owner] == 0 {
		b.size += owner.size()
	}
	b.owners[owner]++
	b.entries[e.Key] = e
	b.account(e, 1)
}

func (b *Bucket) remove(e *Entry) {
	owner := e.ID.Owner
	b.owners[owner]--
	if b.owners[owner] == 0 {
		delete(b.owners, owner)
		b.size -= owner.size()
	}
	delete(b.entries, e.Key)
	b.account(e, -1)
}

// account adds the entry's size times sign.
func (b *Bucket) account(e *Entry, sign int) {
	b.size += sign * e.size()
	b.bodies += sign * e.bodySize()
}

// change applies f to an entry and keeps the sizes up to date.
func (b *Bucket) change(e *Entry, f func()) {
	b.account(e, -1)
	f()
	b.account(e, 1)
}

// oldestFirst returns the entries by time and key.
func (b *Bucket) oldestFirst() []*Entry {
	out := make([]*Entry, 0, len(b.entries))
	for _, e := range b.entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(x, y *Entry) int {
		if c := cmp.Compare(x.At, y.At); c != 0 {
			return c
		}
		return slices.Compare(x.Key[:], y.Key[:])
	})
	return out
}

// shrinkBodies drops the oldest bodies where they have no room. It makes more
// room than it must, so that it need not sort at each write.
func (b *Bucket) shrinkBodies() {
	room := max(min(MaxBodyBytes, MaxBytes-b.size), 0)
	if b.bodies <= room {
		return
	}
	for _, e := range b.oldestFirst() {
		if b.bodies <= room/4*3 {
			return
		}
		if e.bodySize() > 0 {
			b.change(e, e.dropBody)
		}
	}
}
