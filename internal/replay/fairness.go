package replay

import (
	"time"

	"github.com/umberhill/umberhill/internal/fairness"
)

// toleratedRequests is the number of requests of the largest size by which a workspace
// may be behind, since shares are not exact to the request.
const toleratedRequests = 3

// shareRecord records the usage of the workspaces by second.
type shareRecord struct {
	seconds fairness.Series
	largest float64
}

func weightedTokens(r *request) float64 { return float64(r.PromptTokens + 2*r.OutputTokens) }

func (f *shareRecord) at(now time.Duration, r *request) *fairness.Usage {
	if f.seconds == nil {
		f.seconds = make(fairness.Series)
	}
	return f.seconds.At(r.Workspace, int(now/time.Second))
}

func (f *shareRecord) recordRequested(now time.Duration, r *request) {
	f.largest = max(f.largest, weightedTokens(r))
	f.at(now, r).Requested += weightedTokens(r)
}

func (f *shareRecord) recordBegun(now time.Duration, r *request) {
	u := f.at(now, r)
	u.Started += weightedTokens(r)
	u.Denied = u.Denied || now-r.arrivedAt > r.Objective
}

func (f *shareRecord) recordDenied(now time.Duration, r *request) {
	f.at(now, r).Denied = true
}

// worstShare returns the least ratio of a workspace, see fairness.Margin, 1 at most.
func (f *shareRecord) worstShare() float64 {
	margins := f.seconds.Margins(toleratedRequests * f.largest)
	if len(margins) == 0 {
		return 1
	}
	return min(1, margins[0].Ratio)
}
