package bench

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// measurements are the groups of figures in the order in which they run. The name
// of a group is the prefix of its rows.
var measurements = []Scenario{
	{Name: "latency/", Run: measureLatency},
	{Name: "slope/", Run: measureSlope},
	{Name: "orders/", Run: measureOrders},
	{Name: "fair/flood/", Run: measureFlood},
	{Name: "fair/skew/", Run: measureSkew},
	{Name: "fair/cost/", Run: measureCost},
	{Name: "fair/one-sided/", Run: measureOneSided},
	{Name: "fair/cut/", Run: measurePartition},
	{Name: "fair/kill/", Run: measureRouterKill},
	{Name: "fair/curve/", Run: measureCurve, OnlyByName: true},
	{Name: "capacity/", Run: measureCapacity, OnlyByName: true},
}

// RunMeasure runs the measurements that can produce rows with the prefix only and
// prints those rows. A row outside its bound does not fail the run.
func RunMeasure(ctx context.Context, p Params, only string, out io.Writer) error {
	selected := filterByPrefix(measurements, only, func(s Scenario) string { return s.Name })
	if len(selected) == 0 {
		return errors.Newf("measure: no figure name matches prefix %q", only)
	}
	for _, m := range selected {
		if m.OnlyByName && !strings.HasPrefix(only, m.Name) {
			continue
		}
		rows, err := m.Run(ctx, p)
		if err != nil {
			return errors.Wrapf(err, "measure %s", m.Name)
		}
		rows = filterByPrefix(rows, only, func(r Row) string { return r.Name })
		if _, err := printRows(out, rows); err != nil {
			return err
		}
	}
	return nil
}

// filterByPrefix returns the values whose name starts with prefix or is itself a
// prefix of it.
func filterByPrefix[T any](values []T, prefix string, name func(T) string) []T {
	var found []T
	for _, v := range values {
		if strings.HasPrefix(name(v), prefix) || strings.HasPrefix(prefix, name(v)) {
			found = append(found, v)
		}
	}
	return found
}

// printRows prints rows and returns the number of rows outside their bound.
func printRows(out io.Writer, rows []Row) (unmet int, err error) {
	for _, row := range rows {
		if err := row.Print(out); err != nil {
			return unmet, errors.Wrap(err, "print rows")
		}
		if !row.IsMet() {
			unmet++
		}
	}
	return unmet, nil
}
