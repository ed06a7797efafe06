package burn

import "slices"

// Tally is the count of one objective in one bucket.
type Tally struct {
	// Total observations that count, and Missed of them.
	Total  uint64 `json:"n,omitempty"`
	Missed uint64 `json:"m,omitempty"`
	// Faults of the missed, in the order target, queue, deadline, router,
	// platform, quarantine; nil where none is missed.
	Faults []uint64 `json:"f,omitempty"`
}

func (t *Tally) merge(o Tally) {
	t.Total += o.Total
	t.Missed += o.Missed
	if len(o.Faults) == 0 {
		return
	}
	// The slice may be shared with another snapshot.
	sum := make([]uint64, nFaults)
	copy(sum, t.Faults)
	for i := range min(nFaults, len(o.Faults)) {
		sum[i] += o.Faults[i]
	}
	t.Faults = sum
}

// Bucket counts the observations of a span of time.
type Bucket struct {
	// Start in Unix seconds.
	Start int64 `json:"s"`
	// Objectives in the order availability, queue time, first token.
	Objectives [nObjectives]Tally `json:"o"`
}

func (b *Bucket) add(v verdict) {
	for i := range b.Objectives {
		if !v.counts[i] {
			continue
		}
		t := &b.Objectives[i]
		t.Total++
		if !v.missed[i] {
			continue
		}
		t.Missed++
		if t.Faults == nil {
			t.Faults = make([]uint64, nFaults)
		}
		t.Faults[v.fault[i].index()]++
	}
}

func (b *Bucket) merge(o Bucket) {
	for i := range b.Objectives {
		b.Objectives[i].merge(o.Objectives[i])
	}
}

// ring holds the buckets of the last spans of time.
type ring struct {
	width   int64
	buckets []Bucket
}

func newRing(width int64, n int) ring {
	return ring{width: width, buckets: make([]Bucket, n)}
}

// at returns the bucket of a time, emptied where it held an older span.
func (r *ring) at(unix int64) *Bucket {
	start := unix - unix%r.width
	b := &r.buckets[(start/r.width)%int64(len(r.buckets))]
	if b.Start < start {
		*b = Bucket{Start: start}
	}
	return b
}

// snapshot copies the buckets that are not empty, the oldest first.
func (r *ring) snapshot(now int64) []Bucket {
	oldest := now - r.width*int64(len(r.buckets))
	var out []Bucket
	for _, b := range r.buckets {
		if b.Start == 0 || b.Start < oldest {
			continue
		}
		for i := range b.Objectives {
			b.Objectives[i].Faults = slices.Clone(b.Objectives[i].Faults)
		}
		out = append(out, b)
	}
	sortBuckets(out)
	return out
}

func sortBuckets(buckets []Bucket) {
	slices.SortFunc(buckets, func(a, b Bucket) int { return int(a.Start - b.Start) })
}
