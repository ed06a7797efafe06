package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// futureWorkspaces is the number of workspaces in two years.
	futureWorkspaces = 46_000
	// inForceSeconds within which each change must be in force.
	inForceSeconds = 6
	// controlMemoryMB is what control may take of a node's memory.
	controlMemoryMB = 128
	// capacitySoftMB is the routers' soft limit of memory.
	capacitySoftMB  = 100
	capacityWriters = 32
	capacityChanges = 20
	// capacityPatience bounds the wait for all contracts to be in force.
	capacityTimeout = 30 * time.Second
)

// measureCapacity runs two routers with as many contracts as in two years: the
// memory of a router that holds them, and how soon a change is in force.
func measureCapacity(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, harness.Spec{Domains: []harness.Domain{{
		Name:    "a",
		Routers: 2,
		Engines: []harness.Engine{{Models: []string{"m"}}},
	}}, EditSettings: func(s *settings.Settings) { s.MemorySoftMB = capacitySoftMB }})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	empty, err := residentMB(fleet.Routers[0].PID())
	if err != nil {
		return nil, err
	}
	if err := putContracts(ctx, fleet, futureWorkspaces); err != nil {
		return nil, err
	}
	last := workspaceName(futureWorkspaces - 1)
	if err := awaitServed(ctx, fleet, last, capacityTimeout); err != nil {
		return nil, err
	}
	if err := restartRouter(ctx, fleet.Routers[1]); err != nil {
		return nil, err
	}
	if err := awaitServed(ctx, fleet, last, capacityTimeout); err != nil {
		return nil, err
	}
	full, err := residentMB(fleet.Routers[1].PID())
	if err != nil {
		return nil, err
	}
	slowest, err := slowestChange(ctx, fleet)
	if err != nil {
		return nil, err
	}
	return []Row{
		{Name: "capacity/memory-empty", Value: empty, Unit: "MB", Bound: Info(), Seed: p.Seed},
		{Name: "capacity/memory-46000", Value: full, Unit: "MB", Bound: AtMost(controlMemoryMB), Seed: p.Seed},
		{Name: "capacity/change-in-force", Value: slowest.Seconds(), Unit: "s", Bound: AtMost(inForceSeconds), Seed: p.Seed},
	}, nil
}

func workspaceName(i int) string { return fmt.Sprintf("workspace-%d", i) }

func futureContract(i int) api.Contract {
	c := harness.Contract(workspaceName(i), 1)
	c.Limits = api.Limits{RequestsPerSecond: 50, Concurrency: 64, QueueLength: 512}
	c.Routes = []api.Route{
		{Service: "orders", Methods: []string{"POST"}, Class: api.ClassOnceOnly},
		{Model: "m", Class: api.ClassDeferrable},
	}
	return c
}

func putContracts(ctx context.Context, fleet *harness.Fleet, n int) error {
	var next atomic.Int64
	writers := pool.New().WithErrors()
	for range capacityWriters {
		writers.Go(func() error {
			for {
				i := int(next.Add(1)) - 1
				if i >= n || ctx.Err() != nil {
					return ctx.Err()
				}
				if err := fleet.Platform.Put(ctx, api.KindContract, workspaceName(i), futureContract(i)); err != nil {
					return err
				}
			}
		})
	}
	return writers.Wait()
}

// changeTimes writes contracts anew and returns the longest time until a new
// one was in force on all routers.
func slowestChange(ctx context.Context, fleet *harness.Fleet) (time.Duration, error) {
	slowest := time.Duration(0)
	for i := range capacityChanges {
		start := time.Now()
		n := futureWorkspaces + i
		if err := fleet.Platform.Put(ctx, api.KindContract, workspaceName(n), futureContract(n)); err != nil {
			return 0, err
		}
		if err := awaitServed(ctx, fleet, workspaceName(n), capacityTimeout); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(start))
	}
	return slowest, nil
}

// awaitServed waits until all routers know a workspace's key.
func awaitServed(ctx context.Context, fleet *harness.Fleet, workspace string, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, r := range fleet.Routers {
		caller := r.Caller(workspace)
		for !isServed(ctx, caller) {
			if time.Now().After(deadline) {
				caller.Close()
				return errors.Newf("capacity: %s does not know %s\n%s", r.ID, workspace, r.Log())
			}
			pause(ctx, latencyWarmup/100)
		}
		caller.Close()
	}
	return nil
}

func isServed(ctx context.Context, caller *harness.Caller) bool {
	ask := harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: 1}
	return harness.CheckResponse(ask, caller.Complete(ctx, ask)) == harness.VerdictCorrect
}

// restart ends a router and starts it again, so that its memory is that of one
// that has taken the whole configuration at once.
func restartRouter(ctx context.Context, r *harness.Router) error {
	r.Terminate()
	if _, err := r.Wait(capacityTimeout); err != nil {
		return err
	}
	return r.Restart(ctx)
}

// residentMB returns the resident memory of a process in MB.
func residentMB(pid int) (float64, error) {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	return float64(pages*os.Getpagesize()) / 1e6, errors.Wrap(err, "read memory")
}
