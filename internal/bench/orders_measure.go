package bench

import (
	"context"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/harness"
)

// measuredOrderCount is the least number of orders of the measurement.
const measuredOrderCount = 3000

// measureOrders measures the cost of claims without faults: the duration of an
// order and the calls to the platform.
func measureOrders(ctx context.Context, p Params) ([]Row, error) {
	fleet, err := harness.Start(ctx, p.Binaries, OrdersFleet())
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.ApplyContract(ctx, harness.Contract(OrdersWorkspace, 1)); err != nil {
		return nil, err
	}
	before, err := fleet.Platform.Stats(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	orders := OrdersRun{
		Seed: p.Seed, MinOrders: measuredOrderCount, NotBefore: start,
		EntryRouters: len(fleet.Routers),
		NewCaller:    func(n int) *harness.Caller { return fleet.Routers[n].Caller(OrdersWorkspace) },
	}.Do(ctx)
	elapsedSeconds := time.Since(start).Seconds()
	after, err := fleet.Platform.Stats(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := ServiceRuns(fleet)
	if err != nil {
		return nil, err
	}
	n := float64(len(orders))
	row := func(name string, value float64, unit string, bound Bound) Row {
		return Row{Name: "orders/" + name, Value: value, Unit: unit, Bound: bound, Seed: p.Seed}
	}
	result := CheckOrders(orders, runs)
	return []Row{
		row("doubled", float64(result.RanMoreThanOnce), "orders", Exactly(0)),
		row("unknown", float64(result.Unknown), "orders", Exactly(0)),
		row("rate", n/elapsedSeconds, "orders/s", Info()),
		row("p50", firstSendQuantileMS(orders, 0.5), "ms", Info()),
		row("p99", firstSendQuantileMS(orders, 0.99), "ms", Info()),
		row("writes-per-order", float64(after.Writes-before.Writes)/n, "calls", Info()),
		row("reads-per-order", float64(after.Reads-before.Reads)/n, "calls", Info()),
		row("writes-per-second", float64(after.Writes-before.Writes)/elapsedSeconds, "calls/s", AtMost(maxPlatformWritesPerSecond)),
	}, nil
}

// maxPlatformWritesPerSecond is the rate of write calls that the platform can
// sustain.
const maxPlatformWritesPerSecond = 400

// firstSendQuantileMS returns a quantile, in ms, of the first send's duration
// over the orders with a key. The duration includes the run at the service.
func firstSendQuantileMS(orders []*Order, q float64) float64 {
	var durations []time.Duration
	for _, o := range orders {
		if o.Key != "" {
			durations = append(durations, o.FirstSendTime)
		}
	}
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return float64(durations[int(q*float64(len(durations)-1))].Microseconds()) / 1000
}
