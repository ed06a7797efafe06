package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/umberhill/umberhill/internal/faultlink"
	"github.com/umberhill/umberhill/internal/harness"
	"github.com/umberhill/umberhill/internal/standin/platform"
	"github.com/umberhill/umberhill/internal/standin/service"
)

// Durations of faults and of the pauses between them.
const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 1500 * time.Millisecond
	// maxFreezeTime exceeds every timeout of OrdersSettings.
	maxFreezeTime = 4 * time.Second
	// maxFaultGap bounds the time between two faults of a kind.
	maxFaultGap = 1500 * time.Millisecond
	// quiescenceTime is the time without a new run after which a run of orders
	// ends.
	quiescenceTime    = 2 * time.Second
	quiescenceTimeout = 30 * time.Second
)

// randomDuration returns a duration from lo up to, but not including, hi.
func randomDuration(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}

// InjectOrderFaults injects seeded faults into routers, platform, links and
// services until ctx ends. It leaves everything running without faults.
func InjectOrderFaults(ctx context.Context, fleet *harness.Fleet, seed uint64) error {
	p := pool.New().WithErrors()
	for i, f := range []func(context.Context, *harness.Fleet, *rand.Rand) error{
		routerFault, routerFault, platformFault, linkFault, serviceFault,
	} {
		rng := rand.New(rand.NewPCG(seed, 1<<32+uint64(i)))
		// The two loops that fault routers each use their own half of the
		// routers.
		scope := faultScope(fleet, i)
		p.Go(func() error {
			for pause(ctx, randomDuration(rng, 0, maxFaultGap)) {
				if err := f(ctx, scope, rng); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := p.Wait()
	return errors.CombineErrors(err, ClearFaults(context.WithoutCancel(ctx), fleet))
}

// faultScope returns the fleet reduced to the routers that a fault loop may stop.
func faultScope(fleet *harness.Fleet, loop int) *harness.Fleet {
	if loop > 1 {
		return fleet
	}
	half := *fleet
	half.Routers = nil
	for i, r := range fleet.Routers {
		if i%2 == loop {
			half.Routers = append(half.Routers, r)
		}
	}
	return &half
}

// ClearFaults clears all faults and starts the processes that are not running.
func ClearFaults(ctx context.Context, fleet *harness.Fleet) error {
	if err := fleet.Platform.SetFaults(ctx, platform.Faults{}); err != nil {
		return err
	}
	fleet.Links.Clear()
	for _, s := range fleet.Services {
		s.Resume()
		if err := SetServiceFaults(ctx, s, service.Faults{}); err != nil {
			return err
		}
	}
	for _, r := range fleet.Routers {
		r.Resume()
		if r.IsRunning() {
			continue
		}
		if err := r.Restart(ctx); err != nil {
			return err
		}
	}
	return nil
}

// SetServiceFaults replaces a service's faults. It first starts a service that is not
// running: an earlier fault may stop it also after that fault was cleared, at the end
// of a call that had begun before.
func SetServiceFaults(ctx context.Context, s *harness.Target, faults service.Faults) error {
	for {
		if !s.IsRunning() {
			if err := s.Restart(ctx); err != nil {
				return err
			}
		}
		err := s.SetFaults(ctx, faults)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if !pause(ctx, minFaultTime/10) {
			return ctx.Err()
		}
	}
}

// routerFault kills or freezes a router. A killed router is started again and
// need not be ready before the next fault.
func routerFault(ctx context.Context, fleet *harness.Fleet, rng *rand.Rand) error {
	r := fleet.Routers[rng.IntN(len(fleet.Routers))]
	if rng.IntN(2) == 0 {
		r.Freeze()
		pause(ctx, randomDuration(rng, minFaultTime, maxFreezeTime))
		r.Resume()
		return nil
	}
	if err := r.Kill(); err != nil {
		return err
	}
	pause(ctx, randomDuration(rng, 0, maxFaultTime))
	return r.Start()
}

// platformFault applies one kind of platform fault for a random time.
func platformFault(ctx context.Context, fleet *harness.Fleet, rng *rand.Rand) error {
	kinds := []platform.Faults{
		{Down: platform.DownClose},
		{Down: platform.DownRefuse},
		{DelayMS: 20 + rng.IntN(300)},
		{DelayMS: 400 + rng.IntN(300)},
		{DropResponseEvery: 1 + rng.IntN(4)},
		{DropResponseEvery: 1 + rng.IntN(4), DelayMS: rng.IntN(100)},
		{WritesPerSecond: 20 + rng.IntN(100)},
		{Stale: true},
	}
	callCtx := context.WithoutCancel(ctx)
	if err := fleet.Platform.SetFaults(callCtx, kinds[rng.IntN(len(kinds))]); err != nil {
		return err
	}
	pause(ctx, randomDuration(rng, minFaultTime, maxFaultTime))
	return fleet.Platform.SetFaults(callCtx, platform.Faults{})
}

// linkFault holds or resets the connections from a router to the platform or to a
// target. Held data arrives late.
func linkFault(ctx context.Context, fleet *harness.Fleet, rng *rand.Rand) error {
	r := fleet.Routers[rng.IntN(len(fleet.Routers))]
	rules := []faultlink.Rule{
		{Reset: true},
		{Forward: faultlink.Impairment{Hold: true}},
		{Backward: faultlink.Impairment{Hold: true}},
		faultlink.Partition(),
	}
	rule := rules[rng.IntN(len(rules))]
	if rng.IntN(2) == 0 {
		fleet.Links.SetPlatformRule(r, rule)
		pause(ctx, randomDuration(rng, minFaultTime, maxFreezeTime))
		fleet.Links.SetPlatformRule(r, faultlink.Rule{})
		return nil
	}
	t := fleet.Services[rng.IntN(len(fleet.Services))]
	fleet.Links.SetTargetRule(r, t, rule)
	pause(ctx, randomDuration(rng, minFaultTime, maxFreezeTime))
	fleet.Links.SetTargetRule(r, t, faultlink.Rule{})
	return nil
}

// serviceFault kills a service's process, freezes it, makes it drop responses, or
// makes it exit at a crash point of a call.
func serviceFault(ctx context.Context, fleet *harness.Fleet, rng *rand.Rand) error {
	s := fleet.Services[rng.IntN(len(fleet.Services))]
	callCtx := context.WithoutCancel(ctx)
	switch rng.IntN(6) {
	case 0:
		if err := s.Kill(); err != nil {
			return err
		}
	case 1:
		s.Freeze()
		pause(ctx, randomDuration(rng, minFaultTime, maxFreezeTime))
		s.Resume()
		return nil
	case 2:
		if err := SetServiceFaults(callCtx, s, service.Faults{DropResponseEvery: 1 + rng.IntN(3)}); err != nil {
			return err
		}
	default:
		points := []service.CrashPoint{service.CrashBeforeRun, service.CrashDuringRun, service.CrashAfterRun}
		f := service.Faults{CrashAt: points[rng.IntN(len(points))], CrashCall: 1 + rng.IntN(10)}
		if err := SetServiceFaults(callCtx, s, f); err != nil {
			return err
		}
	}
	pause(ctx, randomDuration(rng, minFaultTime, maxFaultTime))
	return SetServiceFaults(callCtx, s, service.Faults{})
}

// AwaitQuiescence waits until the services have run nothing new for
// quiescenceTime, at most quiescenceTimeout, and returns the number of their
// runs.
func AwaitQuiescence(ctx context.Context, fleet *harness.Fleet) (int, error) {
	last, since := -1, time.Now()
	for deadline := time.Now().Add(quiescenceTimeout); ; {
		runs, err := ServiceRuns(fleet)
		if err != nil {
			return 0, err
		}
		if len(runs) != last {
			last, since = len(runs), time.Now()
		}
		if time.Since(since) > quiescenceTime || time.Now().After(deadline) {
			return last, nil
		}
		if !pause(ctx, minFaultTime) {
			return last, ctx.Err()
		}
	}
}

// RunOrders sends orders to all routers of a fleet under faults and checks their
// results.
func RunOrders(ctx context.Context, fleet *harness.Fleet, seed uint64, minOrders int, duration time.Duration) (OrdersResult, error) {
	if err := fleet.ApplyContract(ctx, harness.Contract(OrdersWorkspace, 1)); err != nil {
		return OrdersResult{}, err
	}
	faultCtx, stop := context.WithCancel(ctx)
	defer stop()
	faults := pool.New().WithErrors()
	faults.Go(func() error { return InjectOrderFaults(faultCtx, fleet, seed) })
	sent := OrdersRun{
		Seed: seed, MinOrders: minOrders, NotBefore: time.Now().Add(duration),
		EntryRouters: len(fleet.Routers),
		NewCaller:    func(n int) *harness.Caller { return fleet.Routers[n].Caller(OrdersWorkspace) },
	}.Do(ctx)
	stop()
	if err := faults.Wait(); err != nil {
		return OrdersResult{}, err
	}
	if _, err := AwaitQuiescence(ctx, fleet); err != nil {
		return OrdersResult{}, err
	}
	runs, err := ServiceRuns(fleet)
	return CheckOrders(sent, runs), err
}

// soakOrders runs RunOrders as a soak scenario.
func soakOrders(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, OrdersFleet())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	result, err := RunOrders(ctx, fleet, p.Seed, soakOrderCount, p.Duration)
	if err != nil {
		return nil, err
	}
	rows := result.Rows("orders/", p.Seed)
	rows[0].Bound = AtLeast(soakOrderCount)
	return rows, nil
}
