package burn

import "slices"

// Tally counts the observations of one objective in one bucket.
type Tally struct {
	// Total is the number of counted observations; Missed is the number of those that
	// missed the objective.
	Total  uint64 `json:"n,omitempty"`
	Missed uint64 `json:"m,omitempty"`
	// Faults counts the missed ones by fault, in the order target, queue, deadline,
	// router, platform, quarantine; it is nil if none was missed.
	Faults []uint64 `json:"f,omitempty"`
}

func (t *Tally) merge(o Tally) {
	t.Total += o.Total
	t.Missed += o.Missed
	if len(o.Faults) == 0 {
		return
	}
	// t.Faults may be shared with another snapshot, so the sum needs a slice of its own.
	sum := make([]uint64, numFaults)
	copy(sum, t.Faults)
	for i := range min(numFaults, len(o.Faults)) {
		sum[i] += o.Faults[i]
	}
	t.Faults = sum
}

// Bucket counts the observations of one time span.
type Bucket struct {
	// Start is the beginning of the span in Unix seconds.
	Start int64 `json:"s"`
	// Objectives holds the counts in the order availability, queue time, first token.
	Objectives [numObjectives]Tally `json:"o"`
}

func (b *Bucket) add(v verdict) {
	for i := range b.Objectives {
		if !v.isCounted[i] {
			continue
		}
		t := &b.Objectives[i]
		t.Total++
		if !v.isMissed[i] {
			continue
		}
		t.Missed++
		if t.Faults == nil {
			t.Faults = make([]uint64, numFaults)
		}
		t.Faults[v.fault[i].counterIndex()]++
	}
}

func (b *Bucket) merge(o Bucket) {
	for i := range b.Objectives {
		b.Objectives[i].merge(o.Objectives[i])
	}
}

// ring is a ring buffer of the buckets of the most recent time spans.
type ring struct {
	bucketSeconds int64
	buckets       []Bucket
}

func newRing(bucketSeconds int64, n int) ring {
	return ring{bucketSeconds: bucketSeconds, buckets: make([]Bucket, n)}
}

// bucketAt returns the bucket of a time, reset if it held an older span.
func (r *ring) bucketAt(unix int64) *Bucket {
	start := unix - unix%r.bucketSeconds
	b := &r.buckets[(start/r.bucketSeconds)%int64(len(r.buckets))]
	if b.Start < start {
		*b = Bucket{Start: start}
	}
	return b
}

// snapshot returns copies of the used buckets that lie in the ring's time range,
// oldest first.
func (r *ring) snapshot(now int64) []Bucket {
	oldest := now - r.bucketSeconds*int64(len(r.buckets))
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
