package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// Margin is added to the window before a key is forgotten. It covers the
// differences between the clocks of routers that run well.
const Margin = 10 * time.Minute

// maxClocks bounds the clocks that a bucket remembers.
const maxClocks = 8

// loneWrites is how many writes in a row by one instance show that it has the
// bucket to itself, so that its own clock must do.
const loneWrites = 64

// stamp notes the writer's clock. A clock never goes back.
func (b *Bucket) stamp(self ids.Instance, now int64) {
	if b.writer == self {
		b.run = min(b.run+1, loneWrites)
	} else {
		b.writer, b.run = self, 1
	}
	i := slices.IndexFunc(b.clocks, func(c clockEntry) bool { return c.instance == self })
	if i >= 0 {
		b.clocks[i].at = max(b.clocks[i].at, now)
	} else {
		b.clocks = append(b.clocks, clockEntry{instance: self, at: now})
		b.size += ownerSize + escape*len(self)
	}
	b.trimClocks()
}

// trimClocks drops the slowest clocks beyond the bound.
func (b *Bucket) trimClocks() {
	slices.SortFunc(b.clocks, func(x, y clockEntry) int {
		if c := cmp.Compare(y.at, x.at); c != 0 {
			return c
		}
		return cmp.Compare(x.instance, y.instance)
	})
	for len(b.clocks) > maxClocks {
		last := b.clocks[len(b.clocks)-1]
		b.size -= ownerSize + escape*len(last.instance)
		b.clocks = b.clocks[:len(b.clocks)-1]
	}
}

// witness returns the latest clock of an instance other than self.
func (b *Bucket) witness(self ids.Instance) (int64, bool) {
	var at int64
	var ok bool
	for _, c := range b.clocks {
		if c.instance != self && (!ok || c.at > at) {
			at, ok = c.at, true
		}
	}
	return at, ok
}

// horizon returns the time before which claims may be forgotten. Two clocks
// must agree that a key's window is over: the writer's and one that another
// instance left on the bucket. So one clock that runs fast reopens nothing.
// Only a writer that has had the bucket to itself for many writes goes by its
// own clock, after twice the window.
func (b *Bucket) horizon(self ids.Instance, now int64) int64 {
	margin := Margin.Milliseconds()
	agreed := int64(0)
	if other, ok := b.witness(self); ok {
		agreed = min(now, other) - b.window - margin
	}
	if b.writer == self && b.run >= loneWrites {
		agreed = max(agreed, now-2*b.window-margin)
	}
	return agreed
}

// expire forgets the claims before the horizon and tells how many.
func (b *Bucket) expire(self ids.Instance, now int64) int {
	horizon := b.horizon(self, now)
	n := 0
	for _, e := range b.entries {
		if e.At < horizon {
			b.remove(e)
			n++
		}
	}
	return n
}

// grantTime is the time to put on a new claim. A writer whose clock is slow
// must not make a claim that others take for old, nor one fast clock make
// claims that nobody forgets.
func (b *Bucket) grantTime(now int64) int64 {
	if len(b.clocks) < 2 {
		return now
	}
	return max(now, b.clocks[1].at)
}
