package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// windows are the windows of the alerts. An alert fires if the burn rate is above its
// threshold in both its short and its long window.
var windows = [...]struct {
	name   string
	length time.Duration
}{
	{"5m", 5 * time.Minute},
	{"30m", 30 * time.Minute},
	{"1h", time.Hour},
	{"6h", 6 * time.Hour},
}

const (
	// pageBurnRate is the burn rate that spends 2% of a month's budget in one hour; its
	// windows are 5 min and 1 h.
	pageBurnRate = 14.4
	// ticketBurnRate is the burn rate that spends 5% of a month's budget in six hours; its
	// windows are 30 min and 6 h.
	ticketBurnRate = 6
)

// Alert is the kind of alert that burn rates raise.
type Alert string

// The alerts.
const (
	AlertNone   Alert = ""
	AlertPage   Alert = "page"
	AlertTicket Alert = "ticket"
)

// Report is the state of all workspaces' objectives.
type Report struct {
	At time.Time `json:"at"`
	// Routers are the instances that sent a snapshot; Unresponsive are those that did not.
	Routers      []string `json:"routers"`
	Unresponsive []string `json:"silent,omitempty"`
	// Uncounted is the number of observations that were not counted because their
	// router held the maximum number of workspaces.
	Uncounted  uint64            `json:"uncounted,omitempty"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	// Series holds the data of the plots.
	Series Series `json:"series"`
}

// WorkspaceReport is the state of one workspace's objectives.
type WorkspaceReport struct {
	Workspace  ids.Workspace     `json:"workspace"`
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the state of one objective.
type ObjectiveReport struct {
	Objective Objective `json:"objective"`
	// Share is the share of requests that must meet the objective; BoundMS is the bound
	// of a latency objective in ms.
	Share   float64 `json:"share"`
	BoundMS int     `json:"bound_ms,omitempty"`
	// Windows holds 5m, 30m, 1h and 6h in this order.
	Windows []Window `json:"windows"`
	// BudgetLeft is the unspent share of the error budget of the 6 h window; it is
	// negative if more than the budget was spent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// Fault is the most frequent fault of missed requests over 6 h, Faults lists all
	// of them, most frequent first.
	Fault  Fault        `json:"fault,omitempty"`
	Faults []FaultCount `json:"faults,omitempty"`
	// P50MS and P99MS are the quantiles of a latency in ms over the last one to two hours.
	P50MS int64 `json:"p50_ms,omitempty"`
	P99MS int64 `json:"p99_ms,omitempty"`
}

// Window counts the requests of the most recent time span.
type Window struct {
	Name   string `json:"name"`
	Total  uint64 `json:"total"`
	Missed uint64 `json:"missed"`
	// BurnRate is the rate of misses relative to the sustainable rate: at 1 the error budget
	// is spent exactly at the end of its period.
	BurnRate float64 `json:"burn"`
}

// FaultCount is the number of requests missed due to one fault over 6 h.
type FaultCount struct {
	Fault  Fault  `json:"fault"`
	Missed uint64 `json:"missed"`
}

// Series holds the points of the plots over the last hour.
type Series struct {
	// Burn holds the burn rate of each workspace's fastest-burning objective by minute.
	Burn []Line `json:"burn"`
	// Samples holds the samples of gap, utilisation and control traffic.
	Samples []Sample `json:"samples"`
}

// Line is the burn rate of one workspace's objective by minute.
type Line struct {
	Workspace ids.Workspace `json:"workspace"`
	Objective Objective     `json:"objective"`
	Points    []Point       `json:"points"`
}

// Point is a point of a plot.
type Point struct {
	// At is the time in Unix seconds.
	At    int64   `json:"at"`
	Value float64 `json:"value"`
}

// NewReport computes a report from the merged snapshots of the routers that responded
// and the current contracts. Workspaces without objectives are left out.
func NewReport(merged Snapshot, contracts map[ids.Workspace]*api.Contract, now time.Time) Report {
	report := Report{
		At: now, Routers: merged.Routers, Uncounted: merged.Uncounted,
		Workspaces: []WorkspaceReport{}, Series: Series{Samples: merged.Samples},
	}
	for _, w := range merged.Workspaces {
		contract := contracts[w.Workspace]
		if contract == nil || contract.Objectives == nil {
			continue
		}
		report.Workspaces = append(report.Workspaces, reportWorkspace(w, contract.Objectives, now))
	}
	slices.SortStableFunc(report.Workspaces, func(a, b WorkspaceReport) int {
		return cmp.Or(cmp.Compare(b.maxBurnRate(), a.maxBurnRate()), cmp.Compare(a.Workspace, b.Workspace))
	})
	report.Series.Burn = burnLines(merged, report, contracts)
	return report
}

// maxBurnRate returns the greatest burn rate of the workspace's objectives over one hour.
func (w WorkspaceReport) maxBurnRate() float64 {
	worst := 0.0
	for _, o := range w.Objectives {
		worst = max(worst, o.Windows[2].BurnRate)
	}
	return worst
}

// objectiveTarget returns an objective's share and its bound in ms; share is zero if the
// contract does not have the objective.
func objectiveTarget(slo *api.Objectives, o Objective) (share float64, boundMS int) {
	switch {
	case o == Availability:
		return slo.Availability, 0
	case o == QueueTime && slo.QueueTime != nil:
		return slo.QueueTime.Share, slo.QueueTime.Milliseconds
	case o == FirstToken && slo.FirstToken != nil:
		return slo.FirstToken.Share, slo.FirstToken.Milliseconds
	}
	return 0, 0
}

func reportWorkspace(w WorkspaceSnapshot, slo *api.Objectives, now time.Time) WorkspaceReport {
	out := WorkspaceReport{Workspace: w.Workspace}
	for i, name := range objectives {
		share, boundMS := objectiveTarget(slo, name)
		if share == 0 {
			continue
		}
		o := ObjectiveReport{Objective: name, Share: share, BoundMS: boundMS}
		o.evaluate(w, i, now)
		out.Objectives = append(out.Objectives, o)
	}
	return out
}

func (o *ObjectiveReport) evaluate(w WorkspaceSnapshot, index int, now time.Time) {
	for _, win := range windows {
		t := sumSince(w, index, now.Add(-win.length), win.length)
		o.Windows = append(o.Windows, Window{Name: win.name, Total: t.Total, Missed: t.Missed, BurnRate: burnRate(t, o.Share)})
	}
	longest := sumSince(w, index, now.Add(-windows[3].length), windows[3].length)
	o.BudgetLeft = 1 - burnRate(longest, o.Share)
	o.Alert = alertOf(o.Windows)
	for i, missed := range longest.Faults {
		if missed > 0 {
			o.Faults = append(o.Faults, FaultCount{Fault: countedFaults[i], Missed: missed})
		}
	}
	slices.SortStableFunc(o.Faults, func(a, b FaultCount) int { return cmp.Compare(b.Missed, a.Missed) })
	if len(o.Faults) > 0 {
		o.Fault = o.Faults[0].Fault
	}
	o.setQuantiles(w)
}

func (o *ObjectiveReport) setQuantiles(w WorkspaceSnapshot) {
	encoded := w.QueueTime
	if o.Objective == FirstToken {
		encoded = w.FirstToken
	}
	if o.Objective == Availability {
		return
	}
	if h := decodeHistogram(encoded); h != nil {
		o.P50MS = h.ValueAtQuantile(50)
		o.P99MS = h.ValueAtQuantile(99)
	}
}

// sumSince sums the buckets that overlap the window: fine buckets for a length of up
// to one hour, coarse ones above.
func sumSince(w WorkspaceSnapshot, index int, since time.Time, length time.Duration) Tally {
	buckets, bucketSeconds := w.Fine, int64(fineBucketSeconds)
	if length > time.Hour {
		buckets, bucketSeconds = w.Coarse, coarseBucketSeconds
	}
	var sum Tally
	for _, b := range buckets {
		if b.Start+bucketSeconds > since.Unix() {
			sum.merge(b.Objectives[index])
		}
	}
	return sum
}

func burnRate(t Tally, share float64) float64 {
	if t.Total == 0 || share >= 1 {
		return 0
	}
	return float64(t.Missed) / float64(t.Total) / (1 - share)
}

func alertOf(w []Window) Alert {
	switch {
	case w[0].BurnRate > pageBurnRate && w[2].BurnRate > pageBurnRate:
		return AlertPage
	case w[1].BurnRate > ticketBurnRate && w[3].BurnRate > ticketBurnRate:
		return AlertTicket
	}
	return AlertNone
}

// maxPlotLines bounds the workspaces in the plot of burn rates.
const maxPlotLines = 8

func burnLines(merged Snapshot, report Report, contracts map[ids.Workspace]*api.Contract) []Line {
	byName := make(map[ids.Workspace]WorkspaceSnapshot, len(merged.Workspaces))
	for _, w := range merged.Workspaces {
		byName[w.Workspace] = w
	}
	var lines []Line
	for _, w := range report.Workspaces[:min(maxPlotLines, len(report.Workspaces))] {
		index, ok := w.fastestBurning()
		if !ok {
			continue
		}
		share, _ := objectiveTarget(contracts[w.Workspace].Objectives, objectives[index])
		line := Line{Workspace: w.Workspace, Objective: objectives[index]}
		for _, b := range byName[w.Workspace].Fine {
			// A bucket's burn rate is plotted at its end, when all of it is counted.
			at := min(b.Start+fineBucketSeconds, report.At.Unix())
			line.Points = append(line.Points, Point{At: at, Value: burnRate(b.Objectives[index], share)})
		}
		lines = append(lines, line)
	}
	return lines
}

// fastestBurning returns the index of the objective with the greatest burn rate over one
// hour; ok is false if the workspace has no objectives.
func (w WorkspaceReport) fastestBurning() (index int, ok bool) {
	worst := -1.0
	for _, o := range w.Objectives {
		if o.Windows[2].BurnRate > worst {
			worst = o.Windows[2].BurnRate
			index = slices.Index(objectives[:], o.Objective)
			ok = true
		}
	}
	return index, ok
}
