package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umberhill/umberhill/internal/ids"
)

// Snapshot is what one or several routers hold; it travels as JSON.
type Snapshot struct {
	// Routers that it sums up.
	Routers []string  `json:"routers"`
	At      time.Time `json:"at"`
	// Uncounted observations found no room.
	Uncounted  uint64      `json:"uncounted,omitempty"`
	Workspaces []Workspace `json:"workspaces"`
	Samples    []Sample    `json:"samples"`
}

// Workspace is what is held of one workspace.
type Workspace struct {
	Workspace ids.Workspace `json:"workspace"`
	// Fine buckets of a minute over one hour, Coarse of ten minutes over six.
	Fine   []Bucket `json:"fine"`
	Coarse []Bucket `json:"coarse"`
	// Queue and First are HdrHistograms in ms, V2 compressed encoding.
	Queue []byte `json:"queue,omitempty"`
	First []byte `json:"first,omitempty"`
}

// Merge sums the snapshots of several routers.
func Merge(snaps []Snapshot) Snapshot {
	var out Snapshot
	byName := make(map[ids.Workspace][]Workspace)
	bySlot := make(map[int64]Sample)
	for _, s := range snaps {
		out.Routers = append(out.Routers, s.Routers...)
		out.Uncounted += s.Uncounted
		if s.At.After(out.At) {
			out.At = s.At
		}
		for _, w := range s.Workspaces {
			byName[w.Workspace] = append(byName[w.Workspace], w)
		}
		for _, sample := range s.Samples {
			bySlot[sample.At] = mergeSample(bySlot[sample.At], sample)
		}
	}
	for _, list := range byName {
		out.Workspaces = append(out.Workspaces, mergeWorkspace(list))
	}
	for _, sample := range bySlot {
		out.Samples = append(out.Samples, sample)
	}
	slices.Sort(out.Routers)
	slices.SortFunc(out.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(out.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	return out
}

func mergeWorkspace(list []Workspace) Workspace {
	out := Workspace{Workspace: list[0].Workspace}
	var fine, coarse [][]Bucket
	var queue, first [][]byte
	for _, w := range list {
		fine = append(fine, w.Fine)
		coarse = append(coarse, w.Coarse)
		queue = append(queue, w.Queue)
		first = append(first, w.First)
	}
	out.Fine = mergeBuckets(fine)
	out.Coarse = mergeBuckets(coarse)
	out.Queue = mergeHistograms(queue)
	out.First = mergeHistograms(first)
	return out
}

func mergeBuckets(lists [][]Bucket) []Bucket {
	byStart := make(map[int64]*Bucket)
	for _, list := range lists {
		for _, b := range list {
			sum := byStart[b.Start]
			if sum == nil {
				sum = &Bucket{Start: b.Start}
				byStart[b.Start] = sum
			}
			sum.merge(b)
		}
	}
	out := make([]Bucket, 0, len(byStart))
	for _, b := range byStart {
		out = append(out, *b)
	}
	sortBuckets(out)
	return out
}

// mergeHistograms sums encoded histograms; one that cannot be read is left out.
func mergeHistograms(encoded [][]byte) []byte {
	sum := newHistogram()
	any := false
	for _, e := range encoded {
		if h := decodeHistogram(e); h != nil {
			sum.Merge(h)
			any = true
		}
	}
	if !any {
		return nil
	}
	out, err := sum.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil
	}
	return out
}

func decodeHistogram(encoded []byte) *hdrhistogram.Histogram {
	if len(encoded) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(encoded)
	if err != nil {
		return nil
	}
	return h
}

// mergeSample takes the greatest gap and the means over routers.
func mergeSample(a, b Sample) Sample {
	n := float64(a.Routers + b.Routers)
	if n == 0 {
		return b
	}
	mean := func(x, y float64) float64 { return (x*float64(a.Routers) + y*float64(b.Routers)) / n }
	return Sample{
		At:           b.At,
		Gap:          max(a.Gap, b.Gap),
		Utilisation:  mean(a.Utilisation, b.Utilisation),
		ControlBytes: mean(a.ControlBytes, b.ControlBytes),
		Routers:      a.Routers + b.Routers,
	}
}
