package bench

import (
	"context"
	"time"

	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
)

const (
	partitionedDomain = "c"
	partitionTime     = 10 * time.Second
	// partitionDetectTime is the time that each side of the partition may take to
	// detect it.
	partitionDetectTime = 4 * time.Second
	// recoveryTime is the time after which the gap must be within its bound
	// again.
	recoveryTime         = 5 * time.Second
	killedRouterDownTime = 2 * time.Second
	// killedRouter is the index of the router that is killed. No workspace in the
	// gap measurement enters at this router only.
	killedRouter = 2
)

// costWeights are the weights of four backlogged workspaces, one of which sends
// large requests.
var costWeights = map[string]float64{"small-1": 1, "small-2": 1, "small-3": 1, "costly": 1}

// costSizes returns request sizes whose hints are wrong by a factor of 4, too
// high or too low.
func costSizes() map[string]Size {
	const prompt, tokens = 4, 8
	costly := costlyRequestFactor*(prompt+tokens) - prompt
	return map[string]Size{
		"small-1": {Prompt: prompt, Tokens: tokens, Hint: tokens * hintErrorFactor},
		"small-2": {Prompt: prompt, Tokens: tokens, Hint: tokens / hintErrorFactor},
		"small-3": {Prompt: prompt, Tokens: tokens, Hint: tokens * hintErrorFactor},
		"costly":  {Prompt: prompt, Tokens: costly, Hint: costly / hintErrorFactor},
	}
}

// measureCost measures fairness between requests of unequal cost.
func measureCost(ctx context.Context, p Params) ([]Row, error) {
	f, err := startFair(ctx, p, modeFleet, false, contractsOf(costWeights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	sizes := costSizes()
	observed, _, err := f.observe(ctx, costWindow,
		f.backlogFlow("small-1", sizes["small-1"], 0, 1, 2),
		f.backlogFlow("small-2", sizes["small-2"], 3),
		f.backlogFlow("small-3", sizes["small-3"], 4, 5, 6, 7),
		f.backlogFlow("costly", sizes["costly"], 0, 1, 2, 3, 4, 5, 6, 7),
	)
	if err != nil {
		return nil, err
	}
	return []Row{
		f.row("cost/gap", observed.gap(costWeights), "units", AtMost(f.gapBound(sizes, costWeights))),
		f.row("cost/utilisation", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, nil
}

// measureOneSided measures utilisation when all requests enter at one router or
// in one failure domain.
func measureOneSided(ctx context.Context, p Params) ([]Row, error) {
	weights := map[string]float64{"single": 1, "one-domain-1": 1, "one-domain-2": 1, "one-domain-3": 1}
	f, err := startFair(ctx, p, modeFleet, false, contractsOf(weights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	single := f.backlogFlow("single", fairSize, 0)
	single.InFlight = 2 * fairTotalSlots
	observed, _, err := f.observe(ctx, shortWindow, single)
	if err != nil {
		return nil, err
	}
	rows := []Row{f.row("one-sided/router-utilisation", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound))}
	observed, _, err = f.observe(ctx, shortWindow,
		f.backlogFlow("one-domain-1", fairSize, 0),
		f.backlogFlow("one-domain-2", fairSize, 1),
		f.backlogFlow("one-domain-3", fairSize, 0, 1, 2),
	)
	if err != nil {
		return nil, err
	}
	return append(rows,
		f.row("one-sided/domain-utilisation", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound))), nil
}

// measurePartition partitions a failure domain from the others and from the
// platform under a backlog, and then ends the partition.
func measurePartition(ctx context.Context, p Params) ([]Row, error) {
	weights := map[string]float64{"cut-1": 1, "cut-2": 1, "cut-3": 2, "cut-4": 1}
	f, err := startFair(ctx, p, modeFleet, true, contractsOf(weights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	load := StartLoad(ctx, f.seed,
		f.backlogFlow("cut-1", fairSize, 0, 7),
		f.backlogFlow("cut-2", fairSize, 3, 6),
		f.backlogFlow("cut-3", fairSize, 0, 1, 2, 3, 4, 5, 6, 7),
		f.backlogFlow("cut-4", fairSize, 1, 2, 4, 5, 6, 7),
	)
	defer load.Stop()
	pause(ctx, fairWarmup)
	f.fleet.Links.SetDomainRule(partitionedDomain, faultlink.Partition())
	for _, r := range f.fleet.Routers {
		if r.Domain == partitionedDomain {
			f.fleet.Links.SetPlatformRule(r, faultlink.Partition())
		}
	}
	pause(ctx, partitionDetectTime)
	from := time.Now()
	pause(ctx, partitionTime-partitionDetectTime)
	during := f.probe.since(from)
	f.fleet.Links.Clear()
	pause(ctx, recoveryTime)
	from = time.Now()
	pause(ctx, fairWindow)
	after := f.probe.since(from)
	inside := func(i int) bool { return f.fleet.Engines[i].Object.Domain == partitionedDomain }
	outside := func(i int) bool { return !inside(i) }
	bound := f.gapBound(sameSize(fairSize, weights), weights)
	return []Row{
		f.row("cut/utilisation-inside", during.utilisation(inside), "ratio", AtLeast(utilisationBound)),
		f.row("cut/utilisation-outside", during.utilisation(outside), "ratio", AtLeast(utilisationBound)),
		f.row("cut/gap-after", after.gap(weights), "units", AtMost(bound)),
		f.row("cut/utilisation-after", after.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, ctx.Err()
}

// measureRouterKill kills a router during the flood and restarts it.
func measureRouterKill(ctx context.Context, p Params) ([]Row, error) {
	f, err := startFair(ctx, p, modeFleet, false, floodContracts())
	if err != nil {
		return nil, err
	}
	defer f.close()
	load := StartLoad(ctx, f.seed, append(f.steadyFlows(), f.floodFlow())...)
	defer load.Stop()
	pause(ctx, fairWarmup)
	if err := killAndRestart(ctx, f.fleet.Routers[killedRouter]); err != nil {
		return nil, err
	}
	pause(ctx, recoveryTime)
	from := time.Now()
	pause(ctx, fairWindow)
	observed := f.probe.since(from)
	return []Row{
		f.row("kill/gap-after", observed.gap(floodWeights), "units", AtMost(f.floodGapBound())),
		f.row("kill/utilisation-after", observed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, ctx.Err()
}

func killAndRestart(ctx context.Context, r *harness.Router) error {
	if err := r.Kill(); err != nil {
		return err
	}
	pause(ctx, killedRouterDownTime)
	return r.Restart(ctx)
}
