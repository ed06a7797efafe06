package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/umberhill/umberhill/internal/ids"
)

// Snapshot is the recorded data of one or several routers. Routers exchange it as JSON.
type Snapshot struct {
	// Routers are the instances whose data is included.
	Routers []string  `json:"routers"`
	At      time.Time `json:"at"`
	// Uncounted is the number of observations that were not counted because the
	// recorder held the maximum number of workspaces.
	Uncounted  uint64              `json:"uncounted,omitempty"`
	Workspaces []WorkspaceSnapshot `json:"workspaces"`
	Samples    []Sample            `json:"samples"`
}

// WorkspaceSnapshot is the recorded data of one workspace.
type WorkspaceSnapshot struct {
	Workspace ids.Workspace `json:"workspace"`
	// Fine holds buckets of one minute over one hour, Coarse buckets of ten minutes
	// over six hours.
	Fine   []Bucket `json:"fine"`
	Coarse []Bucket `json:"coarse"`
	// QueueTime and FirstToken are HdrHistograms in ms in the V2 compressed encoding.
	QueueTime  []byte `json:"queue,omitempty"`
	FirstToken []byte `json:"first,omitempty"`
}

// Merge returns the sum of the snapshots of several routers.
func Merge(snaps []Snapshot) Snapshot {
	var out Snapshot
	byName := make(map[ids.Workspace][]WorkspaceSnapshot)
	byTime := make(map[int64]Sample)
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
			byTime[sample.At] = mergeSample(byTime[sample.At], sample)
		}
	}
	for _, list := range byName {
		out.Workspaces = append(out.Workspaces, mergeWorkspace(list))
	}
	for _, sample := range byTime {
		out.Samples = append(out.Samples, sample)
	}
	slices.Sort(out.Routers)
	slices.SortFunc(out.Workspaces, func(a, b WorkspaceSnapshot) int { return cmp.Compare(a.Workspace, b.Workspace) })
	slices.SortFunc(out.Samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	return out
}

func mergeWorkspace(list []WorkspaceSnapshot) WorkspaceSnapshot {
	out := WorkspaceSnapshot{Workspace: list[0].Workspace}
	var fine, coarse [][]Bucket
	var queue, first [][]byte
	for _, w := range list {
		fine = append(fine, w.Fine)
		coarse = append(coarse, w.Coarse)
		queue = append(queue, w.QueueTime)
		first = append(first, w.FirstToken)
	}
	out.Fine = mergeBuckets(fine)
	out.Coarse = mergeBuckets(coarse)
	out.QueueTime = mergeHistograms(queue)
	out.FirstToken = mergeHistograms(first)
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

// mergeHistograms sums encoded histograms; those that can't be decoded are skipped.
func mergeHistograms(encoded [][]byte) []byte {
	sum := newHistogram()
	hasHistogram := false
	for _, e := range encoded {
		if h := decodeHistogram(e); h != nil {
			sum.Merge(h)
			hasHistogram = true
		}
	}
	if !hasHistogram {
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

// mergeSample returns the greatest gap and the means per router.
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
