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
	// cutSettle is how long after the cut each side may take to notice it.
	partitionDetectTime = 4 * time.Second
	// healTime after which the gap must be within the bound again.
	recoveryTime         = 5 * time.Second
	killedRouterDownTime = 2 * time.Second
	// killed is the index of the router that is killed; no caller that counts
	// for the gap enters there alone.
	killedRouter = 2
)

// costWeights are four backlogged workspaces of which one has large requests.
var costWeights = map[string]float64{"small-1": 1, "small-2": 1, "small-3": 1, "costly": 1}

// costSizes have hints that are wrong by 4 times, either way.
func costSizes() map[string]Size {
	const prompt, tokens = 4, 8
	costly := costFactor*(prompt+tokens) - prompt
	return map[string]Size{
		"small-1": {Prompt: prompt, Tokens: tokens, Hint: tokens * hintFactor},
		"small-2": {Prompt: prompt, Tokens: tokens, Hint: tokens / hintFactor},
		"small-3": {Prompt: prompt, Tokens: tokens, Hint: tokens * hintFactor},
		"costly":  {Prompt: prompt, Tokens: costly, Hint: costly / hintFactor},
	}
}

// measureCost measures requests of unequal cost.
func measureCost(ctx context.Context, p Params) ([]Row, error) {
	f, err := startFair(ctx, p, modeFleet, false, contractsOf(costWeights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	sizes := costSizes()
	seen, _, err := f.observe(ctx, costWindow,
		f.backlogFlow("small-1", sizes["small-1"], 0, 1, 2),
		f.backlogFlow("small-2", sizes["small-2"], 3),
		f.backlogFlow("small-3", sizes["small-3"], 4, 5, 6, 7),
		f.backlogFlow("costly", sizes["costly"], 0, 1, 2, 3, 4, 5, 6, 7),
	)
	if err != nil {
		return nil, err
	}
	return []Row{
		f.row("cost/gap", seen.gap(costWeights), "units", AtMost(f.gapBound(sizes, costWeights))),
		f.row("cost/utilisation", seen.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, nil
}

// measureOneSided measures utilisation where the work comes from one side.
func measureOneSided(ctx context.Context, p Params) ([]Row, error) {
	weights := map[string]float64{"single": 1, "one-domain-1": 1, "one-domain-2": 1, "one-domain-3": 1}
	f, err := startFair(ctx, p, modeFleet, false, contractsOf(weights))
	if err != nil {
		return nil, err
	}
	defer f.close()
	single := f.backlogFlow("single", fairSize, 0)
	single.InFlight = 2 * fairTotalSlots
	seen, _, err := f.observe(ctx, shortWindow, single)
	if err != nil {
		return nil, err
	}
	rows := []Row{f.row("one-sided/router-utilisation", seen.utilisation(allEngines), "ratio", AtLeast(utilisationBound))}
	seen, _, err = f.observe(ctx, shortWindow,
		f.backlogFlow("one-domain-1", fairSize, 0),
		f.backlogFlow("one-domain-2", fairSize, 1),
		f.backlogFlow("one-domain-3", fairSize, 0, 1, 2),
	)
	if err != nil {
		return nil, err
	}
	return append(rows,
		f.row("one-sided/domain-utilisation", seen.utilisation(allEngines), "ratio", AtLeast(utilisationBound))), nil
}

// measureCut cuts a failure domain off for a while under a backlog.
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
	apart := f.probe.since(from)
	f.fleet.Links.Clear()
	pause(ctx, recoveryTime)
	from = time.Now()
	pause(ctx, fairWindow)
	healed := f.probe.since(from)
	inside := func(i int) bool { return f.fleet.Engines[i].Object.Domain == partitionedDomain }
	outside := func(i int) bool { return !inside(i) }
	bound := f.gapBound(sameSize(fairSize, weights), weights)
	return []Row{
		f.row("cut/utilisation-inside", apart.utilisation(inside), "ratio", AtLeast(utilisationBound)),
		f.row("cut/utilisation-outside", apart.utilisation(outside), "ratio", AtLeast(utilisationBound)),
		f.row("cut/gap-after", healed.gap(weights), "units", AtMost(bound)),
		f.row("cut/utilisation-after", healed.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, ctx.Err()
}

// measureKill kills a router in the flood and starts it again.
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
	seen := f.probe.since(from)
	return []Row{
		f.row("kill/gap-after", seen.gap(floodWeights), "units", AtMost(f.floodGapBound())),
		f.row("kill/utilisation-after", seen.utilisation(allEngines), "ratio", AtLeast(utilisationBound)),
	}, ctx.Err()
}

func killAndRestart(ctx context.Context, r *harness.Router) error {
	if err := r.Kill(); err != nil {
		return err
	}
	pause(ctx, killedRouterDownTime)
	return r.Restart(ctx)
}
