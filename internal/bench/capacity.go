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
	// futureWorkspaces is the number of workspaces expected in two years.
	futureWorkspaces = 46_000
	// inForceSeconds is the time within which each change must be in force.
	inForceSeconds = 6
	// controlMemoryMB is the memory that the control plane may use on a node.
	controlMemoryMB = 128
	// capacitySoftMB is the routers' soft memory limit.
	capacitySoftMB  = 100
	capacityWriters = 32
	capacityChanges = 20
	// capacityTimeout bounds the wait for all contracts to be in force.
	capacityTimeout = 30 * time.Second
)

// measureCapacity runs two routers with as many contracts as are expected in two
// years. It measures the memory of a router that holds them and the time until a
// change is in force.
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
	lastWorkspace := workspaceName(futureWorkspaces - 1)
	if err := awaitServed(ctx, fleet, lastWorkspace, capacityTimeout); err != nil {
		return nil, err
	}
	if err := restartRouter(ctx, fleet.Routers[1]); err != nil {
		return nil, err
	}
	if err := awaitServed(ctx, fleet, lastWorkspace, capacityTimeout); err != nil {
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

// slowestChange writes new contracts one at a time and returns the longest time
// until one was in force on all routers.
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

// awaitServed waits until all routers accept a workspace's key.
func awaitServed(ctx context.Context, fleet *harness.Fleet, workspace string, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, r := range fleet.Routers {
		caller := r.Caller(workspace)
		for !isServed(ctx, caller) {
			if time.Now().After(deadline) {
				caller.Close()
				return errors.Newf("capacity: router %s does not accept the key of workspace %s\n%s", r.ID, workspace, r.Log())
			}
			pause(ctx, latencyWarmup/100)
		}
		caller.Close()
	}
	return nil
}

func isServed(ctx context.Context, caller *harness.Caller) bool {
	req := harness.CompletionRequest{Model: "m", Prompt: "p", MaxTokens: 1}
	return harness.CheckResponse(req, caller.Complete(ctx, req)) == harness.VerdictCorrect
}

// restartRouter stops a router and starts it again, so that its memory is that of
// a router that has loaded the whole configuration at once.
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
		return 0, errors.Wrap(err, "read resident memory")
	}
	pages, err := strconv.Atoi(strings.Fields(string(statm))[1])
	return float64(pages*os.Getpagesize()) / 1e6, errors.Wrap(err, "read resident memory")
}
