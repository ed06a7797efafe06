package burn

import (
	"cmp"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// The windows of the two alerts: each needs its short and its long window.
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
	// pageBurn over 5 min and 1 h spends 2% of a month's budget in an hour.
	pageBurn = 14.4
	// ticketBurn over 30 min and 6 h spends 5% of a month's budget in six hours.
	ticketBurn = 6
)

// Alert says how urgent a burn is.
type Alert string

// The alerts.
const (
	AlertNone   Alert = ""
	AlertPage   Alert = "page"
	AlertTicket Alert = "ticket"
)

// Report is the state of all objectives.
type Report struct {
	At time.Time `json:"at"`
	// Routers that answered and Silent ones that did not.
	Routers []string `json:"routers"`
	Silent  []string `json:"silent,omitempty"`
	// Uncounted observations found no room at their router.
	Uncounted  uint64            `json:"uncounted,omitempty"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	// Series of the plots.
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
	// Share of requests that must meet it, and BoundMS of a latency.
	Share   float64 `json:"share"`
	BoundMS int     `json:"bound_ms,omitempty"`
	// Windows 5m, 30m, 1h and 6h.
	Windows []Window `json:"windows"`
	// BudgetLeft is the share of the error budget of the 6 h window that is not
	// spent; below zero where more was spent.
	BudgetLeft float64 `json:"budget_left"`
	Alert      Alert   `json:"alert,omitempty"`
	// Fault is the class that burns most over 6 h, and Faults all of them.
	Fault  Fault        `json:"fault,omitempty"`
	Faults []FaultCount `json:"faults,omitempty"`
	// P50MS and P99MS of a latency over the last one to two hours.
	P50MS int64 `json:"p50_ms,omitempty"`
	P99MS int64 `json:"p99_ms,omitempty"`
}

// Window counts the last span of time.
type Window struct {
	Name   string `json:"name"`
	Total  uint64 `json:"total"`
	Missed uint64 `json:"missed"`
	// Burn is the speed at which the budget is spent: 1 spends it just in time.
	Burn float64 `json:"burn"`
}

// FaultCount is one class's share of the missed requests over 6 h.
type FaultCount struct {
	Fault  Fault  `json:"fault"`
	Missed uint64 `json:"missed"`
}

// Series are the plots' points over the last hour.
type Series struct {
	// Burn of the objective that burns most, by workspace and minute.
	Burn []Line `json:"burn"`
	// Samples of gap, utilisation and control traffic.
	Samples []Sample `json:"samples"`
}

// Line is the burn of one workspace's objective by the minute.
type Line struct {
	Workspace ids.Workspace `json:"workspace"`
	Objective Objective     `json:"objective"`
	Points    []Point       `json:"points"`
}

// Point of a plot.
type Point struct {
	// At in Unix seconds.
	At    int64   `json:"at"`
	Value float64 `json:"value"`
}

// NewReport works out a report from the merged snapshots of all routers that
// answered and the contracts in force.
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
		return cmp.Or(cmp.Compare(b.worst(), a.worst()), cmp.Compare(a.Workspace, b.Workspace))
	})
	report.Series.Burn = burnLines(merged, report, contracts)
	return report
}

// worst is the greatest burn over an hour.
func (w WorkspaceReport) worst() float64 {
	worst := 0.0
	for _, o := range w.Objectives {
		worst = max(worst, o.Windows[2].Burn)
	}
	return worst
}

// target returns an objective's share and bound; share is zero where the
// contract does not have it.
func target(slo *api.Objectives, o Objective) (share float64, boundMS int) {
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

func reportWorkspace(w Workspace, slo *api.Objectives, now time.Time) WorkspaceReport {
	out := WorkspaceReport{Workspace: w.Workspace}
	for i, name := range objectives {
		share, boundMS := target(slo, name)
		if share == 0 {
			continue
		}
		o := ObjectiveReport{Objective: name, Share: share, BoundMS: boundMS}
		o.fill(w, i, now)
		out.Objectives = append(out.Objectives, o)
	}
	return out
}

func (o *ObjectiveReport) fill(w Workspace, index int, now time.Time) {
	for _, win := range windows {
		t := sumSince(w, index, now.Add(-win.length), win.length)
		o.Windows = append(o.Windows, Window{Name: win.name, Total: t.Total, Missed: t.Missed, Burn: burnRate(t, o.Share)})
	}
	longest := sumSince(w, index, now.Add(-windows[3].length), windows[3].length)
	o.BudgetLeft = 1 - burnRate(longest, o.Share)
	o.Alert = alert(o.Windows)
	for i, missed := range longest.Faults {
		if missed > 0 {
			o.Faults = append(o.Faults, FaultCount{Fault: counted[i], Missed: missed})
		}
	}
	slices.SortStableFunc(o.Faults, func(a, b FaultCount) int { return cmp.Compare(b.Missed, a.Missed) })
	if len(o.Faults) > 0 {
		o.Fault = o.Faults[0].Fault
	}
	o.quantiles(w)
}

func (o *ObjectiveReport) quantiles(w Workspace) {
	encoded := w.Queue
	if o.Objective == FirstToken {
		encoded = w.First
	}
	if o.Objective == Availability {
		return
	}
	if h := decodeHistogram(encoded); h != nil {
		o.P50MS = h.ValueAtQuantile(50)
		o.P99MS = h.ValueAtQuantile(99)
	}
}

// sumSince sums the buckets that reach into the window: those of a minute up
// to an hour, those of ten minutes above.
func sumSince(w Workspace, index int, since time.Time, length time.Duration) Tally {
	buckets, width := w.Fine, int64(fineSeconds)
	if length > time.Hour {
		buckets, width = w.Coarse, coarseSeconds
	}
	var sum Tally
	for _, b := range buckets {
		if b.Start+width > since.Unix() {
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

func alert(w []Window) Alert {
	switch {
	case w[0].Burn > pageBurn && w[2].Burn > pageBurn:
		return AlertPage
	case w[1].Burn > ticketBurn && w[3].Burn > ticketBurn:
		return AlertTicket
	}
	return AlertNone
}

// maxLines bounds the workspaces in the plot of burn.
const maxLines = 8

func burnLines(merged Snapshot, report Report, contracts map[ids.Workspace]*api.Contract) []Line {
	byName := make(map[ids.Workspace]Workspace, len(merged.Workspaces))
	for _, w := range merged.Workspaces {
		byName[w.Workspace] = w
	}
	var lines []Line
	for _, w := range report.Workspaces[:min(maxLines, len(report.Workspaces))] {
		index, ok := w.hottest()
		if !ok {
			continue
		}
		share, _ := target(contracts[w.Workspace].Objectives, objectives[index])
		line := Line{Workspace: w.Workspace, Objective: objectives[index]}
		for _, b := range byName[w.Workspace].Fine {
			// A bucket's burn is known at its end.
			at := min(b.Start+fineSeconds, report.At.Unix())
			line.Points = append(line.Points, Point{At: at, Value: burnRate(b.Objectives[index], share)})
		}
		lines = append(lines, line)
	}
	return lines
}

// hottest returns the objective that burns most over an hour.
func (w WorkspaceReport) hottest() (index int, ok bool) {
	worst := -1.0
	for _, o := range w.Objectives {
		if o.Windows[2].Burn > worst {
			worst = o.Windows[2].Burn
			index = slices.Index(objectives[:], o.Objective)
			ok = true
		}
	}
	return index, ok
}
