package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

// ClockSkewMargin is added to the window before a claim expires. It covers the
// clock differences between healthy routers.
const ClockSkewMargin = 10 * time.Minute

// maxClocks bounds the number of clocks that a bucket stores.
const maxClocks = 8

// soleWriterThreshold is the number of consecutive writes by one instance after
// which it counts as the only writer of the bucket, so that claims expire by its
// clock alone.
const soleWriterThreshold = 64

// recordWriter stores the writer's clock and counts its consecutive writes. A
// stored clock never goes back.
func (b *Bucket) recordWriter(self ids.Instance, now int64) {
	if b.lastWriter == self {
		b.consecutiveWrites = min(b.consecutiveWrites+1, soleWriterThreshold)
	} else {
		b.lastWriter, b.consecutiveWrites = self, 1
	}
	i := slices.IndexFunc(b.clocks, func(c writerClock) bool { return c.instance == self })
	if i >= 0 {
		b.clocks[i].unixMS = max(b.clocks[i].unixMS, now)
	} else {
		b.clocks = append(b.clocks, writerClock{instance: self, unixMS: now})
		b.size += ownerFixedSize + maxEscapeFactor*len(self)
	}
	b.trimClocks()
}

// trimClocks sorts the clocks and drops the earliest beyond maxClocks.
func (b *Bucket) trimClocks() {
	slices.SortFunc(b.clocks, func(x, y writerClock) int {
		if c := cmp.Compare(y.unixMS, x.unixMS); c != 0 {
			return c
		}
		return cmp.Compare(x.instance, y.instance)
	})
	for len(b.clocks) > maxClocks {
		last := b.clocks[len(b.clocks)-1]
		b.size -= ownerFixedSize + maxEscapeFactor*len(last.instance)
		b.clocks = b.clocks[:len(b.clocks)-1]
	}
}

// latestOtherClock returns the latest stored clock, in Unix milliseconds, of an
// instance other than self, and whether there is one.
func (b *Bucket) latestOtherClock(self ids.Instance) (int64, bool) {
	var unixMS int64
	var ok bool
	for _, c := range b.clocks {
		if c.instance != self && (!ok || c.unixMS > unixMS) {
			unixMS, ok = c.unixMS, true
		}
	}
	return unixMS, ok
}

// expiryCutoff returns the time in Unix milliseconds before which claims have
// expired. Two clocks must agree that a key's window is over: the writer's and
// one that another instance stored in the bucket. A single fast clock therefore
// expires no claim early. Only a writer that has made soleWriterThreshold
// consecutive writes relies on its own clock, and then after twice the window.
func (b *Bucket) expiryCutoff(self ids.Instance, now int64) int64 {
	margin := ClockSkewMargin.Milliseconds()
	cutoff := int64(0)
	if other, ok := b.latestOtherClock(self); ok {
		cutoff = min(now, other) - b.windowMS - margin
	}
	if b.lastWriter == self && b.consecutiveWrites >= soleWriterThreshold {
		cutoff = max(cutoff, now-2*b.windowMS-margin)
	}
	return cutoff
}

// expire removes the claims made before the expiry cutoff and returns their
// number.
func (b *Bucket) expire(self ids.Instance, now int64) int {
	expiryCutoff := b.expiryCutoff(self, now)
	n := 0
	for _, e := range b.entries {
		if e.ClaimedAtMS < expiryCutoff {
			b.remove(e)
			n++
		}
	}
	return n
}

// grantTime returns the time of a new claim in Unix milliseconds: the writer's
// clock or the second latest stored clock, whichever is later. A writer with a
// slow clock must not make a claim that looks expired to others, and one fast
// clock must not date the claims of other writers so far ahead that they never
// expire.
func (b *Bucket) grantTime(now int64) int64 {
	if len(b.clocks) < 2 {
		return now
	}
	return max(now, b.clocks[1].unixMS)
}
