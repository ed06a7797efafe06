package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/settings"
)

// curveWindow is the length of the measuring window for one point of the curve.
const curveWindow = 10 * time.Second

// The gap and the control traffic are measured for each pair of a report interval,
// in ms, and a permit tolerance, in units.
var (
	curveIntervalsMS = []int{250, 500, 1000, 2000}
	curveTolerances  = []float64{64, 256, 1024}
)

// measureCurve measures the gap and the control traffic of the skewed load for
// each combination of report interval and the tolerance within which a permit is
// reused.
func measureCurve(ctx context.Context, p Params) ([]Row, error) {
	var rows []Row
	for _, intervalMS := range curveIntervalsMS {
		for _, tolerance := range curveTolerances {
			point, err := curvePoint(ctx, p, intervalMS, tolerance)
			if err != nil {
				return nil, err
			}
			rows = append(rows, point...)
		}
	}
	return rows, nil
}

func curvePoint(ctx context.Context, p Params, intervalMS int, tolerance float64) ([]Row, error) {
	spec := fairFleet(modeFleet, false)
	spec.EditSettings = func(s *settings.Settings) {
		s.Fairness.ReportMS = intervalMS
		s.Fairness.Tolerance = tolerance
	}
	f, err := startFairSpec(ctx, p, spec, contractsOf(skewWeights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	start, err := settledCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	observed, _, err := f.observe(ctx, curveWindow, f.skewFlows()...)
	if err != nil {
		return nil, err
	}
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	name := func(figure string) string { return fmt.Sprintf("curve/%dms/%g/%s", intervalMS, tolerance, figure) }
	bound := f.gapBound(sameSize(fairSize, skewWeights), skewWeights)
	return []Row{
		f.row(name("gap"), observed.gap(skewWeights), "units", AtMost(bound)),
		f.row(name("utilisation"), observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
		f.row(name("traffic"), end.maxBytesPerSecond(start), "B/s", AtMost(controlBytesPerSecond)),
	}, nil
}
