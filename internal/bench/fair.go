package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
)

const (
	fairWindow             = 12 * time.Second
	shortWindow            = 6 * time.Second
	costWindow             = 20 * time.Second
	idleWindow             = 5 * time.Second
	floodCapacityFactor    = 10
	floodQueueLength       = 128
	lightWorkspaceCount    = 13
	lightRequestsPerSecond = 1
	costlyRequestFactor    = 20
	hintErrorFactor        = 4
	maxGapShareOfLocal     = 0.2
	floodWorkspace         = "flood"
	largeOne               = "large-1"
	largeTwo               = "large-2"
)

// row returns a row of the fairness figures.
func (f *fairRun) row(name string, value float64, unit string, bound Bound) Row {
	return Row{Name: "fair/" + name, Value: value, Unit: unit, Bound: bound, Seed: f.seed}
}

// floodContracts returns the contracts of 16 workspaces: one that floods, two
// large ones and 13 light ones.
func floodContracts() []api.Contract {
	flood := harness.Contract(floodWorkspace, 1)
	flood.Limits.QueueLength = floodQueueLength
	contracts := []api.Contract{flood, harness.Contract(largeOne, 1), harness.Contract(largeTwo, 1)}
	for i := range lightWorkspaceCount {
		contracts = append(contracts, harness.Contract(lightWorkspace(i), 1))
	}
	return contracts
}

func lightWorkspace(i int) string { return fmt.Sprintf("light-%d", i+1) }

// steadyFlows returns the flows that run beside the flood: two large workspaces
// that enter at different numbers of routers and are always backlogged, and the
// light workspaces.
func (f *fairRun) steadyFlows() []Flow {
	flows := []Flow{
		f.backlogFlow(largeOne, fairSize, 7),
		f.backlogFlow(largeTwo, fairSize, 2, 3, 4, 5),
	}
	for i := range lightWorkspaceCount {
		name := lightWorkspace(i)
		flows = append(flows, Flow{
			Workspace: name,
			Callers:   f.callersAt(name, i%len(f.fleet.Routers)),
			Model:     fairModel,
			Size:      fairSize,
			Stream:    true,
			Rate:      lightRequestsPerSecond,
		})
	}
	return flows
}

// floodFlow returns a flow of 10 times the pool's capacity through 2 routers.
func (f *fairRun) floodFlow() Flow {
	capacity := float64(fairTotalSlots) / fairSize.runTime().Seconds()
	return Flow{
		Workspace: floodWorkspace,
		Callers:   f.callersAt(floodWorkspace, 0, 1),
		Model:     fairModel,
		Size:      fairSize,
		Stream:    true,
		Rate:      floodCapacityFactor * capacity,
	}
}

// lightWaitP95 returns the 95th percentile of the light workspaces' time to first
// token beyond that of an idle engine.
func lightWaitP95(load *Load) time.Duration {
	all := newDurationHistogram()
	for i := range lightWorkspaceCount {
		firstByte, _ := load.Tally(lightWorkspace(i)).histograms()
		all.hist.Merge(firstByte.hist)
	}
	return max(0, all.quantile(95)-time.Second/fairTokensPerSecond)
}

// floodWeights are the weights of the workspaces that are backlogged throughout
// the flood.
var floodWeights = map[string]float64{floodWorkspace: 1, largeOne: 1, largeTwo: 1}

func (f *fairRun) floodGapBound() float64 {
	return f.gapBound(sameSize(fairSize, floodWeights), floodWeights)
}

// floodBaseline measures the gap under the flood in a baseline mode.
func floodBaseline(ctx context.Context, p Params, mode string) (float64, []Row, error) {
	f, err := startFair(ctx, p, mode, false, floodContracts())
	if err != nil {
		return 0, nil, err
	}
	defer f.close()
	observed, _, err := f.observe(ctx, fairWindow, append(f.steadyFlows(), f.floodFlow())...)
	gap := observed.gap(floodWeights)
	row := f.row("flood/gap-"+mode, gap, "units", Above(f.floodGapBound()))
	return gap, []Row{row}, err
}

// measureFlood measures fairness under the flood. It compares it with the same load
// without the flood, and with the flood in the baseline modes.
func measureFlood(ctx context.Context, p Params) ([]Row, error) {
	localGap, rows, err := floodBaseline(ctx, p, modeLocal)
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
	idle, err := f.idleRows(ctx)
	if err != nil {
		return nil, err
	}
	_, before, err := f.observe(ctx, shortWindow, f.steadyFlows()...)
	if err != nil {
		return nil, err
	}
	start, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	observed, load, err := f.observe(ctx, fairWindow, append(f.steadyFlows(), f.floodFlow())...)
	if err != nil {
		return nil, err
	}
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	gap := observed.gap(floodWeights)
	waitBound := milliseconds(lightWaitP95(before) + fairSize.runTime())
	rows = append(append(rows, idle...), f.trafficRows("flood/traffic", start, end)...)
	return append(rows,
		f.row("flood/gap", gap, "units", AtMost(f.floodGapBound())),
		f.row("flood/gap-share-of-local", gap/localGap, "ratio", AtMost(maxGapShareOfLocal)),
		f.row("flood/light-wait-p95", milliseconds(lightWaitP95(load)), "ms", AtMost(waitBound)),
		f.row("flood/light-wait-p95-before", milliseconds(lightWaitP95(before)), "ms", Info()),
		f.row("flood/utilisation", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
		f.row("flood/waiting-in-engine", observed.meanWaitingInEngine(), "requests", Info()),
	), nil
}

// idleRows measures the cost of the control plane without requests: the routers'
// total CPU time and link bytes.
func (f *fairRun) idleRows(ctx context.Context) ([]Row, error) {
	start, err := settledCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	pause(ctx, idleWindow)
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	cpu := f.row("flood/idle-cpu", end.maxCorePercent(start), "% of a core", AtMost(controlCorePercent))
	return append([]Row{cpu}, f.trafficRows("flood/idle-traffic", start, end)...), nil
}

// trafficRows returns the rows of the control traffic between two samples: all
// bytes on the links, and for information the bytes by kind of message.
func (f *fairRun) trafficRows(name string, start, end fleetCosts) []Row {
	rows := []Row{f.row(name, end.maxBytesPerSecond(start), "B/s", AtMost(controlBytesPerSecond))}
	for _, kind := range end.kinds() {
		rows = append(rows, f.row(name+"-"+kind, end.maxKindBytesPerSecond(start, kind), "B/s", Info()))
	}
	return rows
}

// skewWeights are the weights of four backlogged workspaces that enter at 1, 2, 4
// and 8 routers.
var skewWeights = map[string]float64{"at-1": 1, "at-2": 1, "at-4": 2, "at-8": 4}

func (f *fairRun) skewFlows() []Flow {
	return []Flow{
		f.backlogFlow("at-1", fairSize, 0),
		f.backlogFlow("at-2", fairSize, 1, 2),
		f.backlogFlow("at-4", fairSize, 3, 4, 5, 6),
		f.backlogFlow("at-8", fairSize, 0, 1, 2, 3, 4, 5, 6, 7),
	}
}

func contractsOf(weights map[string]float64) []api.Contract {
	var contracts []api.Contract
	for workspace, weight := range weights {
		contracts = append(contracts, harness.Contract(workspace, weight))
	}
	return contracts
}

// measureSkew measures the skewed load in all modes.
func measureSkew(ctx context.Context, p Params) ([]Row, error) {
	var rows []Row
	for _, mode := range []string{modeLocal, modeFIFO, modeFleet} {
		f, err := startFair(ctx, p, mode, false, contractsOf(skewWeights))
		if err != nil {
			return nil, err
		}
		modeRows, err := f.skewRows(ctx, mode)
		f.close()
		if err != nil {
			return nil, err
		}
		rows = append(rows, modeRows...)
	}
	return rows, nil
}

func (f *fairRun) skewRows(ctx context.Context, mode string) ([]Row, error) {
	start, err := settledCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	observed, _, err := f.observe(ctx, fairWindow, f.skewFlows()...)
	if err != nil {
		return nil, err
	}
	end, err := readCosts(ctx, f.fleet)
	if err != nil {
		return nil, err
	}
	gap := observed.gap(skewWeights)
	bound := f.gapBound(sameSize(fairSize, skewWeights), skewWeights)
	if mode != modeFleet {
		return []Row{f.row("skew/gap-"+mode, gap, "units", Above(bound))}, nil
	}
	return append([]Row{
		f.row("skew/gap", gap, "units", AtMost(bound)),
		f.row("skew/utilisation", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, f.trafficRows("skew/traffic", start, end)...), nil
}
