package bench

import (
	"context"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// measures are the groups of figures in the order in which they run; the names
// are the prefixes of their rows.
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

// RunMeasure runs the measurements that can give rows with a prefix and prints
// those rows. A row short of its bound is no failure of the run.
func RunMeasure(ctx context.Context, p Params, only string, out io.Writer) error {
	chosen := filterByPrefix(measurements, only, func(s Scenario) string { return s.Name })
	if len(chosen) == 0 {
		return errors.Newf("measure: no figure %q", only)
	}
	for _, m := range chosen {
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

// matching returns the values of which the name starts with a prefix or the
// other way round.
func filterByPrefix[T any](values []T, prefix string, name func(T) string) []T {
	var found []T
	for _, v := range values {
		if strings.HasPrefix(name(v), prefix) || strings.HasPrefix(prefix, name(v)) {
			found = append(found, v)
		}
	}
	return found
}

// printRows prints rows and returns how many are short of their bound.
func printRows(out io.Writer, rows []Row) (short int, err error) {
	for _, row := range rows {
		if err := row.Print(out); err != nil {
			return short, errors.Wrap(err, "print rows")
		}
		if !row.IsMet() {
			short++
		}
	}
	return short, nil
}
