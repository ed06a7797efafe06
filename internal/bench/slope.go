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
	// slopeShort and slopeLong are the answers' lengths in tokens between
	// which the cost of a token is read.
	slopeShort = 1
	slopeLong  = 64
	// slopeTokensPerSecond is high enough that the engine does not matter.
	slopeTokensPerSecond = 20_000
)

// The size of the fleet in two years, for each node: 150,000 requests and
// 41 million tokens a second over 1,200 nodes.
const (
	futureRequestsPerNode = 150_000.0 / 1_200
	futureTokensPerNode   = 41e6 / 1_200
)

// measureSlope reads what a request and a token cost a router in CPU time. The
// cost of the data path has no bound of its own in the users' aims; the row of
// a node's cores at the size to come tells what it amounts to.
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

// requestCost returns the router's CPU time for one streamed request of a
// length.
func requestCost(ctx context.Context, r *harness.Router, tokens int) (time.Duration, error) {
	before, err := processCPU(r.PID())
	if err != nil {
		return 0, err
	}
	var left, failed atomic.Int64
	left.Store(slopeRequests)
	callers := pool.New()
	for range slopeCallers {
		callers.Go(func() {
			caller := r.Caller("ws")
			defer caller.Close()
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				ask := harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: tokens, Stream: true}
				if harness.CheckResponse(ask, caller.Complete(ctx, ask)) != harness.VerdictCorrect {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	if n := failed.Load(); n > 0 {
		return 0, errors.Newf("slope: %d requests failed", n)
	}
	after, err := processCPU(r.PID())
	return (after - before) / slopeRequests, err
}
