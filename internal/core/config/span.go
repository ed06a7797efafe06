package config

import (
	"cmp"
	"slices"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// maxSpans bounds the spans of a set. Above it, the oldest two are merged, including
// the revisions between them.
const maxSpans = 8

// span is a range of revisions (after, until] in which the set may have missed
// deletions of objects that it never held, or has dropped their tombstones.
type span struct {
	after, until uint64
}

// spans is a list of spans, sorted and without overlaps.
type spans []span

// add returns the spans with another one merged in. An empty span changes nothing.
func (s spans) add(added span) spans {
	if added.until <= added.after {
		return s
	}
	all := append(slices.Clone(s), added)
	slices.SortFunc(all, func(a, b span) int { return cmp.Compare(a.after, b.after) })
	out := all[:1]
	for _, x := range all[1:] {
		last := &out[len(out)-1]
		if x.after > last.until {
			out = append(out, x)
			continue
		}
		last.until = max(last.until, x.until)
	}
	for len(out) > maxSpans {
		out[1].after = out[0].after
		out = out[1:]
	}
	return out
}

// allowsDelta reports whether a receiver that gets only the changes since a revision
// receives all deletions it needs as tombstones. The receiver's set is complete up to
// since and its newest object has the version held. A span prevents this unless one
// of these holds: the receiver's objects are all from before the span, when this set
// held them too, so that it has their tombstones; or the receiver is complete up to
// the end of the span and needs no deletion in it.
func (s spans) allowsDelta(since, held uint64) bool {
	for _, x := range s {
		if since < x.until && held > x.after {
			return false
		}
	}
	return true
}

// lastRevision returns the revision after which the set has all deletions.
func (s spans) lastRevision() uint64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].until
}

func (s spans) toProto() []*configv1.Span {
	out := make([]*configv1.Span, len(s))
	for i, x := range s {
		out[i] = &configv1.Span{After: x.after, Until: x.until}
	}
	return out
}
