package bench

import (
	"context"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/harness"
)

// measuredOrderCount is the number of orders of the measurement.
const measuredOrderCount = 3000

// measureOrders measures what claims cost: the time of an order and the calls
// at the platform, without faults.
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
	began := time.Now()
	placed := OrdersRun{
		Seed: p.Seed, MinOrders: measuredOrderCount, NotBefore: began,
		EntryRouters: len(fleet.Routers),
		NewCaller:    func(n int) *harness.Caller { return fleet.Routers[n].Caller(OrdersWorkspace) },
	}.Do(ctx)
	took := time.Since(began).Seconds()
	after, err := fleet.Platform.Stats(ctx)
	if err != nil {
		return nil, err
	}
	runs, err := ServiceRuns(fleet)
	if err != nil {
		return nil, err
	}
	n := float64(len(placed))
	row := func(name string, value float64, unit string, bound Bound) Row {
		return Row{Name: "orders/" + name, Value: value, Unit: unit, Bound: bound, Seed: p.Seed}
	}
	result := CheckOrders(placed, runs)
	return []Row{
		row("doubled", float64(result.RanMoreThanOnce), "orders", Exactly(0)),
		row("unknown", float64(result.Unknown), "orders", Exactly(0)),
		row("rate", n/took, "orders/s", Info()),
		row("p50", firstSendQuantileMS(placed, 0.5), "ms", Info()),
		row("p99", firstSendQuantileMS(placed, 0.99), "ms", Info()),
		row("writes-per-order", float64(after.Writes-before.Writes)/n, "calls", Info()),
		row("reads-per-order", float64(after.Reads-before.Reads)/n, "calls", Info()),
		row("writes-per-second", float64(after.Writes-before.Writes)/took, "calls/s", AtMost(maxPlatformWritesPerSecond)),
	}, nil
}

// maxPlatformWritesPerSecond is the rate of writes that the platform takes, in calls per
// second.
const maxPlatformWritesPerSecond = 400

// firstSendQuantileMS returns a quantile of the times of keyed orders in ms, the time
// of the run itself included.
func firstSendQuantileMS(orders []*Order, q float64) float64 {
	var took []time.Duration
	for _, o := range orders {
		if o.Key != "" {
			took = append(took, o.FirstSendTime)
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return float64(took[int(q*float64(len(took)-1))].Microseconds()) / 1000
}
