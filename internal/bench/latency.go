package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/umberhill/umberhill/internal/harness"
)

// Bounds of the latency that a router adds to the time to first byte. Callers
// wait 430 ms for the first token of a response, and the network takes 3 ms one
// way. The added latency must be negligible beside both: at the median it is
// below the network's, and at the 99th percentile it is at most a fortieth of the
// time to first token.
const (
	maxAddedMedianMS = 2
	maxAddedP99MS    = 10
)

const (
	latencyWarmup = time.Second
	latencyWindow = 7 * time.Second
	latencySlots  = 2048
)

// latencyCase is a load with a fixed number of requests in flight. Its response
// length sets the request rate, so that neither the engine nor the machine is the
// bottleneck.
type latencyCase struct {
	inFlight int
	model    string
	tokens   int
	runTime  time.Duration
}

// The models of the two engines, which generate tokens at different rates.
const (
	quickModel = "quick"
	slowModel  = "slow"

	quickTokensPerSecond = 40
	slowTokensPerSecond  = 4
)

var latencyCases = []latencyCase{
	{inFlight: 1, model: quickModel, tokens: 1, runTime: time.Second / quickTokensPerSecond},
	{inFlight: 64, model: quickModel, tokens: 8, runTime: 8 * time.Second / quickTokensPerSecond},
	{inFlight: 512, model: slowModel, tokens: 4, runTime: 4 * time.Second / slowTokensPerSecond},
}

// measureLatency compares the time to first byte through a router with that of
// direct calls to the same engine. The direct calls run at the same time and with
// the same concurrency.
func measureLatency(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, harness.Spec{Domains: []harness.Domain{{
		Name:    "a",
		Routers: 1,
		Engines: []harness.Engine{
			{Models: []string{quickModel}, Concurrency: latencySlots, TokensPerSecond: quickTokensPerSecond},
			{Models: []string{slowModel}, Concurrency: latencySlots, TokensPerSecond: slowTokensPerSecond},
		},
	}}})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.ApplyContract(ctx, harness.Contract("ws", 1)); err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range latencyCases {
		rows = append(rows, c.run(ctx, fleet, p.Seed)...)
	}
	return rows, ctx.Err()
}

func (c latencyCase) run(ctx context.Context, fleet *harness.Fleet, seed uint64) []Row {
	engine := fleet.Engines[0]
	if c.model == slowModel {
		engine = fleet.Engines[1]
	}
	flow := func(name string, caller *harness.Caller) Flow {
		return Flow{
			Workspace: name,
			Callers:   []*harness.Caller{caller},
			Model:     c.model,
			Size:      Size{Prompt: 8, Tokens: c.tokens},
			Stream:    true,
			InFlight:  c.inFlight,
			Spread:    c.runTime,
		}
	}
	direct := harness.NewCaller(engine.Address, "")
	routed := fleet.Routers[0].Caller("ws")
	defer direct.Close()
	defer routed.Close()
	load := StartLoad(ctx, seed, flow("direct", direct), flow("routed", routed))
	pause(ctx, latencyWarmup+c.runTime)
	load.Reset()
	pause(ctx, latencyWindow)
	directTimes, _ := load.Tally("direct").histograms()
	routedTimes, _ := load.Tally("routed").histograms()
	load.Stop()
	return c.rows(seed, directTimes, routedTimes, load.Tally("routed"))
}

func (c latencyCase) rows(seed uint64, direct, routed *durationHistogram, tally *Tally) []Row {
	name := func(figure string) string { return fmt.Sprintf("latency/%d/%s", c.inFlight, figure) }
	added := func(percent float64) float64 {
		return milliseconds(routed.quantile(percent) - direct.quantile(percent))
	}
	failed := tally.Refused.Load() + tally.VisiblyTruncated.Load() + tally.SilentlyTruncated.Load() + tally.Wrong.Load()
	return []Row{
		{Name: name("added-p50"), Value: added(50), Unit: "ms", Bound: AtMost(maxAddedMedianMS), Seed: seed},
		{Name: name("added-p99"), Value: added(99), Unit: "ms", Bound: AtMost(maxAddedP99MS), Seed: seed},
		{Name: name("direct-p50"), Value: milliseconds(direct.quantile(50)), Unit: "ms", Bound: Info(), Seed: seed},
		{Name: name("direct-p99"), Value: milliseconds(direct.quantile(99)), Unit: "ms", Bound: Info(), Seed: seed},
		{Name: name("answers"), Value: float64(routed.count()), Unit: "requests", Bound: Above(0), Seed: seed},
		{Name: name("failed"), Value: float64(failed), Unit: "requests", Bound: Exactly(0), Seed: seed},
	}
}
