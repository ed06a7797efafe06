package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
)

const (
	fairWindow     = 12 * time.Second
	shortWindow    = 6 * time.Second
	costWindow     = 20 * time.Second
	idleWindow     = 5 * time.Second
	floodFactor    = 10
	floodQueue     = 128
	lightCount     = 13
	lightRate      = 1
	costFactor     = 20
	hintFactor     = 4
	shareOfLocal   = 0.2
	floodWorkspace = "flood"
	largeOne       = "large-1"
	largeTwo       = "large-2"
)

// row returns a row of the fairness figures.
func (f *fairRun) row(name string, value float64, unit string, bound Bound) Row {
	return Row{Name: "fair/" + name, Value: value, Unit: unit, Bound: bound, Seed: f.seed}
}

// floodContracts are 16 workspaces: one that floods, two large, 13 light.
func floodContracts() []api.Contract {
	flood := harness.Contract(floodWorkspace, 1)
	flood.Limits.QueueLength = floodQueue
	contracts := []api.Contract{flood, harness.Contract(largeOne, 1), harness.Contract(largeTwo, 1)}
	for i := range lightCount {
		contracts = append(contracts, harness.Contract(light(i), 1))
	}
	return contracts
}

func light(i int) string { return fmt.Sprintf("light-%d", i+1) }

// steady are the flows beside the flood: two large workspaces that enter
// unevenly and are always backlogged, and the light ones.
func (f *fairRun) steady() []Flow {
	flows := []Flow{
		f.backlog(largeOne, fairSize, 7),
		f.backlog(largeTwo, fairSize, 2, 3, 4, 5),
	}
	for i := range lightCount {
		name := light(i)
		flows = append(flows, Flow{
			Workspace: name,
			Entries:   f.entries(name, i%len(f.fleet.Routers)),
			Model:     fairModel,
			Size:      fairSize,
			Stream:    true,
			Rate:      lightRate,
		})
	}
	return flows
}

// flood is the flow of 10 times the capacity through 2 routers.
func (f *fairRun) flood() Flow {
	capacity := float64(fairAllSlots) / fairSize.runTime().Seconds()
	return Flow{
		Workspace: floodWorkspace,
		Entries:   f.entries(floodWorkspace, 0, 1),
		Model:     fairModel,
		Size:      fairSize,
		Stream:    true,
		Rate:      floodFactor * capacity,
	}
}

// lightWait returns the 95th percentile of the light workspaces' wait for the
// first token over its time at an engine that is free.
func lightWait(load *Load) time.Duration {
	all := newTimes()
	for i := range lightCount {
		firstByte, _ := load.Tally(light(i)).times()
		all.hist.Merge(firstByte.hist)
	}
	return max(0, all.quantile(95)-time.Second/fairPace)
}

// floodWeights are the workspaces that are backlogged throughout the flood.
var floodWeights = map[string]float64{floodWorkspace: 1, largeOne: 1, largeTwo: 1}

func (f *fairRun) floodBound() float64 {
	return f.bound(sameSize(fairSize, floodWeights), floodWeights)
}

// floodBaseline measures the flood's gap in a baseline mode.
func floodBaseline(ctx context.Context, p Params, mode string) (float64, []Row, error) {
	f, err := startFair(ctx, p, mode, false, floodContracts())
	if err != nil {
		return 0, nil, err
	}
	defer f.close()
	seen, _, err := f.observe(ctx, fairWindow, append(f.steady(), f.flood())...)
	gap := seen.gap(floodWeights)
	row := f.row("flood/gap-"+mode, gap, "units", Above(f.floodBound()))
	return gap, []Row{row}, err
}

// measureFlood measures the flood beside the same fleet without it, and beside
// the baselines.
func measureFlood(ctx context.Context, p Params) ([]Row, error) {
	local, rows, err := floodBaseline(ctx, p, modeLocal)
	if err != nil {
		return nil, err
	}
	_, fifo, err := floodBaseline(ctx, p, modeFIFO)
	if err != nil {
		return nil, err
	}
	rows = append(rows, fifo...)
	f, err := startFair(ctx, p, modeFleet, false, floodContracts())
	if err != nil {
		return nil, err
	}
	defer f.close()
	idle, err := f.idle(ctx)
	if err != nil {
		return nil, err
	}
	_, before, err := f.observe(ctx, shortWindow, f.steady()...)
	if err != nil {
		return nil, err
	}
	start, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	seen, load, err := f.observe(ctx, fairWindow, append(f.steady(), f.flood())...)
	if err != nil {
		return nil, err
	}
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	gap := seen.gap(floodWeights)
	waitBound := milliseconds(lightWait(before) + fairSize.runTime())
	rows = append(append(rows, idle...), f.traffic("flood/traffic", start, end)...)
	return append(rows,
		f.row("flood/gap", gap, "units", AtMost(f.floodBound())),
		f.row("flood/gap-share-of-local", gap/local, "ratio", AtMost(shareOfLocal)),
		f.row("flood/light-wait-p95", milliseconds(lightWait(load)), "ms", AtMost(waitBound)),
		f.row("flood/light-wait-p95-before", milliseconds(lightWait(before)), "ms", Info()),
		f.row("flood/utilisation", seen.utilisation(everyEngine), "ratio", AtLeast(utilisationBound)),
		f.row("flood/waiting-in-engine", seen.waitingInside(), "requests", Info()),
	), nil
}

// idle measures what control costs while nothing is asked: the whole of the
// routers' CPU time and link bytes.
func (f *fairRun) idle(ctx context.Context) ([]Row, error) {
	start, err := settledCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	pause(ctx, idleWindow)
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	cpu := f.row("flood/idle-cpu", end.core(start), "% of a core", AtMost(controlCorePercent))
	return append([]Row{cpu}, f.traffic("flood/idle-traffic", start, end)...), nil
}

// traffic returns the rows of the control traffic between two readings: all
// bytes on the links, and for information the messages by kind.
func (f *fairRun) traffic(name string, start, end costs) []Row {
	rows := []Row{f.row(name, end.traffic(start), "B/s", AtMost(controlBytesPerSecond))}
	for _, kind := range end.kinds() {
		rows = append(rows, f.row(name+"-"+kind, end.kind(start, kind), "B/s", Info()))
	}
	return rows
}

// skewWeights are four backlogged workspaces that enter at 1, 2, 4 and 8
// routers.
var skewWeights = map[string]float64{"at-1": 1, "at-2": 1, "at-4": 2, "at-8": 4}

func (f *fairRun) skew() []Flow {
	return []Flow{
		f.backlog("at-1", fairSize, 0),
		f.backlog("at-2", fairSize, 1, 2),
		f.backlog("at-4", fairSize, 3, 4, 5, 6),
		f.backlog("at-8", fairSize, 0, 1, 2, 3, 4, 5, 6, 7),
	}
}

func contractsOf(weights map[string]float64) []api.Contract {
	var contracts []api.Contract
	for workspace, weight := range weights {
		contracts = append(contracts, harness.Contract(workspace, weight))
	}
	return contracts
}

// measureSkew measures the skew in all modes.
func measureSkew(ctx context.Context, p Params) ([]Row, error) {
	var rows []Row
	for _, mode := range []string{modeLocal, modeFIFO, modeFleet} {
		f, err := startFair(ctx, p, mode, false, contractsOf(skewWeights))
		if err != nil {
			return nil, err
		}
		more, err := f.skewRows(ctx, mode)
		f.close()
		if err != nil {
			return nil, err
		}
		rows = append(rows, more...)
	}
	return rows, nil
}

func (f *fairRun) skewRows(ctx context.Context, mode string) ([]Row, error) {
	start, err := settledCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	seen, _, err := f.observe(ctx, fairWindow, f.skew()...)
	if err != nil {
		return nil, err
	}
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	gap := seen.gap(skewWeights)
	bound := f.bound(sameSize(fairSize, skewWeights), skewWeights)
	if mode != modeFleet {
		return []Row{f.row("skew/gap-"+mode, gap, "units", Above(bound))}, nil
	}
	return append([]Row{
		f.row("skew/gap", gap, "units", AtMost(bound)),
		f.row("skew/utilisation", seen.utilisation(everyEngine), "ratio", AtLeast(utilisationBound)),
	}, f.traffic("skew/traffic", start, end)...), nil
}
