package replay

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// shareWindow is the number of seconds over which WorstShare compares workspaces.
	shareWindow = 6
	// toleratedRequests is the number of requests of the largest size by which a workspace
	// may be behind, since shares are not exact to the request.
	toleratedRequests = 3
)

// secondUsage is what one workspace requested and received in one second. Sizes are in
// tokens, a generated token counts twice.
type secondUsage struct {
	requested, begun float64
	// wasDenied is set if a request was refused, abandoned or late.
	wasDenied bool
}

// fairness records the usage of the workspaces by second.
type fairness struct {
	seconds map[ids.Workspace][]secondUsage
	largest float64
}

func weightedTokens(r *request) float64 { return float64(r.PromptTokens + 2*r.OutputTokens) }

func (f *fairness) at(now time.Duration, ws ids.Workspace) *secondUsage {
	if f.seconds == nil {
		f.seconds = make(map[ids.Workspace][]secondUsage)
	}
	i := int(now / time.Second)
	for len(f.seconds[ws]) <= i {
		f.seconds[ws] = append(f.seconds[ws], secondUsage{})
	}
	return &f.seconds[ws][i]
}

func (f *fairness) recordRequested(now time.Duration, r *request) {
	f.largest = max(f.largest, weightedTokens(r))
	f.at(now, r.Workspace).requested += weightedTokens(r)
}

func (f *fairness) recordBegun(now time.Duration, r *request) {
	u := f.at(now, r.Workspace)
	u.begun += weightedTokens(r)
	u.wasDenied = u.wasDenied || now-r.arrivedAt > r.Objective
}

func (f *fairness) recordDenied(now time.Duration, r *request) {
	f.at(now, r.Workspace).wasDenied = true
}

// worstShare returns the least share of what it was due that a workspace received within
// shareWindow while it was denied requests in each second, 1 at most. A workspace is due
// what it requests, or what the workspace that received most did if that is less.
func (f *fairness) worstShare() float64 {
	var best []float64
	for _, usage := range f.seconds {
		for i, u := range usage {
			if i == len(best) {
				best = append(best, 0)
			}
			best[i] = max(best[i], u.begun)
		}
	}
	worst := 1.0
	for _, usage := range f.seconds {
		for from := 0; from+shareWindow <= len(usage); from++ {
			due, begun, denied := 0.0, toleratedRequests*f.largest, true
			for i, u := range usage[from : from+shareWindow] {
				due += math.Min(u.requested, best[from+i])
				begun += u.begun
				denied = denied && u.wasDenied
			}
			if denied && due > 0 {
				worst = math.Min(worst, begun/due)
			}
		}
	}
	return worst
}
