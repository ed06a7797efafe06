package burn

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// WriteTable writes the report as a table of text. It returns w's errors.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := fmt.Fprintln(t, strings.Join(r.rows(), "\n")); err != nil {
		return err
	}
	return t.Flush()
}

func (r Report) rows() []string {
	rows := []string{fmt.Sprintf("%d routers answered: %s", len(r.Routers), strings.Join(r.Routers, ", "))}
	if len(r.Unresponsive) > 0 {
		rows = append(rows, "did not answer: "+strings.Join(r.Unresponsive, ", "))
	}
	if r.Uncounted > 0 {
		rows = append(rows, fmt.Sprintf("%d observations were not counted: their router held too many workspaces", r.Uncounted))
	}
	rows = append(rows, "",
		"WORKSPACE\tOBJECTIVE\tTARGET\tREQUESTS\tMISSED\tBURN 5M\t30M\t1H\t6H\tBUDGET LEFT\tALERT\tFAULT\tP50\tP99")
	for _, w := range r.Workspaces {
		for _, o := range w.Objectives {
			rows = append(rows, o.row(string(w.Workspace)))
		}
	}
	return rows
}

func (o ObjectiveReport) row(workspace string) string {
	longest := o.Windows[len(o.Windows)-1]
	cells := []string{
		workspace, string(o.Objective), o.formatTarget(),
		fmt.Sprint(longest.Total), fmt.Sprint(longest.Missed),
	}
	for _, w := range o.Windows {
		cells = append(cells, fmt.Sprintf("%.2f", w.BurnRate))
	}
	cells = append(cells, fmt.Sprintf("%.1f%%", percent*o.BudgetLeft), dashIfEmpty(string(o.Alert)), o.formatFaults(),
		formatMS(o.P50MS), formatMS(o.P99MS))
	return strings.Join(cells, "\t")
}

const percent = 100

func (o ObjectiveReport) formatTarget() string {
	if o.BoundMS > 0 {
		return fmt.Sprintf("%g%% in %d ms", percent*o.Share, o.BoundMS)
	}
	return fmt.Sprintf("%g%%", percent*o.Share)
}

func (o ObjectiveReport) formatFaults() string {
	parts := make([]string, len(o.Faults))
	for i, f := range o.Faults {
		parts[i] = fmt.Sprintf("%s %d", f.Fault, f.Missed)
	}
	return dashIfEmpty(strings.Join(parts, ", "))
}

func formatMS(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return fmt.Sprintf("%d ms", ms)
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
