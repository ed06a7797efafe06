package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"strings"
	"time"
)

//go:embed report.html.tmpl
var pageSource string

var pageTemplate = template.Must(template.New("report").Parse(pageSource))

// pageData is the input of the page's template.
type pageData struct {
	Report Report
	At     string
	Rows   []pageRow
	Plots  []plot
}

type pageRow struct {
	Workspace, Objective, Target, Fault, Alert string
	Total, Missed                              uint64
	Burns                                      []string
	BudgetLeft                                 string
	P50, P99                                   string
}

// HTML returns a self-contained page with the report's table and plots.
func (r Report) HTML() ([]byte, error) {
	data := pageData{Report: r, At: r.At.UTC().Format(time.RFC3339), Plots: r.plots()}
	for _, w := range r.Workspaces {
		for _, o := range w.Objectives {
			data.Rows = append(data.Rows, o.pageRow(string(w.Workspace)))
		}
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return nil, fmt.Errorf("render burn report: %w", err)
	}
	return out.Bytes(), nil
}

func (o ObjectiveReport) pageRow(workspace string) pageRow {
	longest := o.Windows[len(o.Windows)-1]
	row := pageRow{
		Workspace: workspace, Objective: string(o.Objective), Target: o.formatTarget(),
		Fault: o.formatFaults(), Alert: dashIfEmpty(string(o.Alert)), Total: longest.Total, Missed: longest.Missed,
		BudgetLeft: fmt.Sprintf("%.1f%%", percent*o.BudgetLeft), P50: formatMS(o.P50MS), P99: formatMS(o.P99MS),
	}
	for _, w := range o.Windows {
		row.Burns = append(row.Burns, fmt.Sprintf("%.2f", w.BurnRate))
	}
	return row
}

func (r Report) plots() []plot {
	burn := plot{Title: "Burn rate of the error budget", Unit: "times the sustainable rate"}
	for _, l := range r.Series.Burn {
		burn.addLine(strings.Join([]string{string(l.Workspace), string(l.Objective)}, " "), l.Points)
	}
	gap := plot{Title: "Fairness gap between backlogged workspaces", Unit: "service units divided by weight"}
	utilisation := plot{Title: "Utilisation of targets", Unit: "share of concurrency", Top: 1}
	control := plot{Title: "Control traffic of a router", Unit: "bytes per second"}
	gap.addLine("greatest gap", r.points(func(s Sample) float64 { return s.Gap }))
	utilisation.addLine("mean", r.points(func(s Sample) float64 { return s.Utilisation }))
	control.addLine("mean of the routers", r.points(func(s Sample) float64 { return s.ControlBytes }))
	plots := []plot{burn, gap, utilisation, control}
	for i := range plots {
		plots[i].layout(r.At)
	}
	return plots
}

func (r Report) points(value func(Sample) float64) []Point {
	points := make([]Point, len(r.Series.Samples))
	for i, s := range r.Series.Samples {
		points[i] = Point{At: s.At, Value: value(s)}
	}
	return points
}
