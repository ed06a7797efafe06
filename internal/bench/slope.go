package bench

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/harness"
)

const (
	slopeCallers  = 16
	slopeRequests = 3000
	// slopeShort and slopeLong are two response lengths in tokens. The difference in
	// cost between them gives the cost of a token.
	slopeShort = 1
	slopeLong  = 64
	// slopeTokensPerSecond is high enough that the engine is not the bottleneck.
	slopeTokensPerSecond = 20_000
)

// The load of one node expected in two years: 150,000 requests and 41 million
// tokens per second over 1,200 nodes.
const (
	futureRequestsPerNode = 150_000.0 / 1_200
	futureTokensPerNode   = 41e6 / 1_200
)

// measureSlope measures a router's CPU time per request and per token. The users'
// requirements set no bound for the cost of the data path; the row of cores per
// node shows the cost at the size expected in two years.
func measureSlope(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, harness.Spec{Domains: []harness.Domain{{
		Name:    "a",
		Routers: 1,
		Engines: []harness.Engine{{Models: []string{"m"}, Concurrency: latencySlots, TokensPerSecond: slopeTokensPerSecond}},
	}}})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.ApplyContract(ctx, harness.Contract("ws", 1)); err != nil {
		return nil, err
	}
	if _, err := requestCost(ctx, fleet.Routers[0], slopeShort); err != nil {
		return nil, err
	}
	short, err := requestCost(ctx, fleet.Routers[0], slopeShort)
	if err != nil {
		return nil, err
	}
	long, err := requestCost(ctx, fleet.Routers[0], slopeLong)
	if err != nil {
		return nil, err
	}
	token := (long - short) / (slopeLong - slopeShort)
	cores := short.Seconds()*futureRequestsPerNode + token.Seconds()*futureTokensPerNode
	return []Row{
		{Name: "slope/request-cpu", Value: float64(short.Microseconds()), Unit: "us", Bound: Info(), Seed: p.Seed},
		{Name: "slope/token-cpu", Value: float64(token.Nanoseconds()) / 1000, Unit: "us", Bound: Info(), Seed: p.Seed},
		{Name: "slope/data-path-cores", Value: cores, Unit: "cores a node in two years", Bound: Info(), Seed: p.Seed},
	}, nil
}

// requestCost returns the router's mean CPU time for one streamed request of the
// given length.
func requestCost(ctx context.Context, r *harness.Router, tokens int) (time.Duration, error) {
	before, err := processCPU(r.PID())
	if err != nil {
		return 0, err
	}
	var remaining, failed atomic.Int64
	remaining.Store(slopeRequests)
	callers := pool.New()
	for range slopeCallers {
		callers.Go(func() {
			caller := r.Caller("ws")
			defer caller.Close()
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				req := harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: tokens, Stream: true}
				if harness.CheckResponse(req, caller.Complete(ctx, req)) != harness.VerdictCorrect {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if n := failed.Load(); n > 0 {
		return 0, errors.Newf("slope: %d requests without a correct response", n)
	}
	after, err := processCPU(r.PID())
	return (after - before) / slopeRequests, err
}
