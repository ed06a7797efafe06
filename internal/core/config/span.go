package config

import (
	"cmp"
	"slices"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// maxSpans bounds the spans of a set; the oldest two are joined above it.
const maxSpans = 8

// span is a range of revisions (after, until] in which the set may have missed
// deletions of objects that it never held, or has dropped their tombstones.
type span struct {
	after, until uint64
}

// spans are sorted and don't overlap.
type spans []span

// add joins another span in.
func (s spans) add(n span) spans {
	if n.until <= n.after {
		return s
	}
	all := append(slices.Clone(s), n)
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

// covers tells whether a receiver needs no deletions but those that the set has
// tombstones of. Its own set is complete up to since, and its newest object has
// the version held. What it held before a span began was known here too, and
// what it was complete beyond needs no deletion from within.
func (s spans) covers(since, held uint64) bool {
	for _, x := range s {
		if since < x.until && held > x.after {
			return false
		}
	}
	return true
}

// end is the revision after which the set has missed nothing.
func (s spans) end() uint64 {
	if len(s) == 0 {
		return 0
	}
	return s[len(s)-1].until
}

func (s spans) messages() []*configv1.Span {
	out := make([]*configv1.Span, len(s))
	for i, x := range s {
		out[i] = &configv1.Span{After: x.after, Until: x.until}
	}
	return out
}
