package fairfuzz_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	modelPool   = ids.Pool("model/m")
	servicePool = ids.Pool("service/s")
)

// standardFleet returns a simulation of the fleet that all scenarios use: 8 routers,
// 9 engines and 3 plain services in 3 domains, for 16 workspaces.
func standardFleet(seed uint64, mode sched.Mode, editSettings func(*sched.Settings)) *simulation {
	sim := newSimulation(seed, mode)
	sim.editSettings = editSettings
	sim.addNodes(8, "a", "b", "c")
	sim.addEngines(9, 8, modelPool, "a", "b", "c")
	sim.addEngines(3, 4, servicePool, "a", "b", "c")
	return sim
}

// startAndConnect starts the routers and waits until they are connected before any
// request arrives, as the readiness check of a router does.
func (sim *simulation) startAndConnect() {
	sim.start()
	sim.run(time.Second)
}

func workspaceID(i int) ids.Workspace { return ids.Workspace(fmt.Sprintf("w%d", i)) }

// result holds the measurements of a scenario.
type result struct {
	gap, bound   float64       // service gap and its bound, in units
	utilisation  float64       // share of the model's slot seconds in use
	maxByteRate  float64       // control traffic in bytes per second, maximum over the routers
	meanByteRate float64       // the same, mean over the routers
	lightP95Wait time.Duration // p95 wait of the light workspaces
}

func (r result) String() string {
	return fmt.Sprintf("gap %.0f of %.0f, utilisation %.3f, %.0f B/s (mean %.0f), light p95 %v",
		r.gap, r.bound, r.utilisation, r.maxByteRate, r.meanByteRate, r.lightP95Wait.Round(time.Millisecond))
}

// measure runs the simulation for d and measures that period.
func (sim *simulation) measure(d time.Duration, backlogged ...ids.Workspace) result {
	g := sim.newGapMeter(backlogged...)
	busy := sim.busySeconds(modelPool)
	before := map[*node]int{}
	for _, n := range sim.nodes {
		before[n] = n.sentBytes
	}
	for _, s := range sim.sources {
		s.waits = nil
	}
	sim.run(d)
	g.stopped = true
	r := result{gap: g.gap(), bound: sim.gapBound(), lightP95Wait: sim.lightWait()}
	r.utilisation = (sim.busySeconds(modelPool) - busy) / d.Seconds() / float64(sim.slots(modelPool))
	for _, n := range sim.nodes {
		b := float64(n.sentBytes-before[n]) / d.Seconds()
		r.maxByteRate = max(r.maxByteRate, b)
		r.meanByteRate += b / float64(len(sim.nodes))
	}
	return r
}

// lightWait returns the p95 of the waits at the open sources of the model.
func (sim *simulation) lightWait() time.Duration {
	var all []time.Duration
	for _, s := range sim.sources {
		if s.meanGap > 0 && s.pool == modelPool {
			all = append(all, s.waits...)
		}
	}
	return p95(all)
}

// addLightLoad adds open sources for n workspaces at all routers. Together they submit
// rate requests per second.
func (sim *simulation) addLightLoad(first, n int, pool ids.Pool, rate, cost float64) {
	gap := float64(n*len(sim.nodes)) / rate
	for i := range n {
		for _, nd := range sim.nodes {
			sim.addSource(&source{workspace: workspaceID(first + i), node: nd, pool: pool, meanGap: gap, cost: sim.costAround(cost)})
		}
	}
}

// addBacklog adds closed sources that keep 40 requests of a workspace waiting at each
// of the nodes.
func (sim *simulation) addBacklog(workspace ids.Workspace, cost func() float64, nodes ...*node) {
	for _, n := range nodes {
		sim.addSource(&source{workspace: workspace, node: n, pool: modelPool, depth: 40, cost: cost})
	}
}

const (
	warmup      = 5 * time.Second
	measureTime = 40 * time.Second
	// recoveryBound bounds the time for which a fault leaves permits unused: 4 report
	// intervals until the permits of a holder that sends no messages expire, one more
	// until the next round, and the time of a request.
	recoveryBound = 5*sched.DefaultReportInterval + time.Second
)

// flood runs one workspace with 10 times the capacity waiting at two routers, a
// second one that is backlogged at all routers, and light ones that use a third of
// the capacity. Without flooding only the light ones run.
func flood(mode sched.Mode, editSettings func(*sched.Settings), flooding bool) result {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	sim.addLightLoad(3, 14, modelPool, 24, 50)
	sim.addLightLoad(3, 14, servicePool, 10, 20)
	if flooding {
		sim.addSource(&source{workspace: workspaceID(1), node: sim.nodes[0], pool: modelPool, depth: 360, cost: sim.costAround(50)})
		sim.addSource(&source{workspace: workspaceID(1), node: sim.nodes[1], pool: modelPool, depth: 360, cost: sim.costAround(50)})
		sim.addBacklog(workspaceID(2), sim.costAround(50), sim.nodes...)
	}
	sim.run(warmup)
	return sim.measure(measureTime, workspaceID(1), workspaceID(2))
}

// skew runs four workspaces that are backlogged at 1, 2, 4 and 8 routers.
func skew(mode sched.Mode, editSettings func(*sched.Settings)) result {
	sim := standardFleet(1, mode, editSettings)
	for i, weight := range []float64{1, 1, 2, 4} {
		sim.shares = append(sim.shares, sched.Share{Workspace: workspaceID(i + 1), Weight: weight})
	}
	sim.startAndConnect()
	sim.addLightLoad(5, 12, servicePool, 10, 20)
	for i := range 4 {
		sim.addBacklog(workspaceID(i+1), sim.costAround(50), sim.nodes[:1<<i]...)
	}
	sim.run(warmup)
	return sim.measure(measureTime, workspaceID(1), workspaceID(2), workspaceID(3), workspaceID(4))
}

// mixedCost runs a workspace whose requests cost 20 times as much as those of two
// others, with cost hints that are wrong by a factor of 4.
func mixedCost(mode sched.Mode, editSettings func(*sched.Settings)) result {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	wrong := func(c float64) float64 {
		if sim.rng.IntN(2) == 0 {
			return c / 4
		}
		return c * 4
	}
	for _, n := range sim.nodes {
		sim.addSource(&source{workspace: workspaceID(1), node: n, pool: modelPool, depth: 20, cost: sim.costAround(400), hint: wrong})
	}
	for _, n := range sim.nodes[:4] {
		sim.addSource(&source{workspace: workspaceID(2), node: n, pool: modelPool, depth: 40, cost: sim.costAround(20), hint: wrong})
		sim.addSource(&source{workspace: workspaceID(3), node: n, pool: modelPool, depth: 40, cost: sim.costAround(20), hint: wrong})
	}
	sim.run(warmup)
	return sim.measure(2*measureTime, workspaceID(1), workspaceID(2), workspaceID(3))
}

// oneRouter runs one workspace at one router. All other routers are idle.
func oneRouter(mode sched.Mode, editSettings func(*sched.Settings)) result {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	sim.addBacklog(workspaceID(1), sim.costAround(50), sim.nodes[0])
	sim.run(warmup)
	return sim.measure(measureTime)
}

// oneDomain runs two workspaces that are backlogged at the routers of one failure
// domain only.
func oneDomain(mode sched.Mode, editSettings func(*sched.Settings)) result {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	for _, n := range sim.nodes {
		if n.domain == "a" {
			sim.addBacklog(workspaceID(1), sim.costAround(50), n)
			sim.addBacklog(workspaceID(2), sim.costAround(50), n)
		}
	}
	sim.run(warmup)
	return sim.measure(measureTime, workspaceID(1), workspaceID(2))
}

// domainPartition partitions a failure domain for 10 s while two workspaces are
// backlogged. It measures during the partition, and from 5 s after its end.
func domainPartition(mode sched.Mode, editSettings func(*sched.Settings)) (during, after result) {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	sim.addBacklog(workspaceID(1), sim.costAround(50), sim.nodes[0], sim.nodes[1])
	sim.addBacklog(workspaceID(2), sim.costAround(50), sim.nodes...)
	sim.run(warmup)
	sim.setPartitioned("c", true)
	sim.run(recoveryBound)
	during = sim.measure(10*time.Second - recoveryBound)
	sim.setPartitioned("c", false)
	sim.run(5 * time.Second)
	return during, sim.measure(measureTime, workspaceID(1), workspaceID(2))
}

// routerKill kills a router while two workspaces are backlogged, and starts it
// again. It measures while the router is down, and from 5 s after the start.
func routerKill(mode sched.Mode, editSettings func(*sched.Settings)) (during, after result) {
	sim := standardFleet(1, mode, editSettings)
	sim.startAndConnect()
	sim.addBacklog(workspaceID(1), sim.costAround(50), sim.nodes[0], sim.nodes[1])
	sim.addBacklog(workspaceID(2), sim.costAround(50), sim.nodes...)
	sim.run(warmup)
	sim.kill(sim.nodes[1])
	sim.run(recoveryBound)
	during = sim.measure(5 * time.Second)
	sim.restart(sim.nodes[1])
	sim.run(5 * time.Second)
	return during, sim.measure(measureTime, workspaceID(1), workspaceID(2))
}

// scenario is a simulation with the checks that its result must pass.
type scenario struct {
	name      string
	run       func(sched.Mode) result
	saturated bool // the backlog can use all engines: utilisation is checked
	bounded   bool // the service gap must stay within its bound
	// unfairModes are the baselines whose gap must exceed the bound, which shows that
	// the scenario tests fairness.
	unfairModes []sched.Mode
}

const (
	minUtilisation  = 0.97
	byteRateLimit   = 2000 // bytes per second and router
	meanRequestTime = time.Second
)

// withDefaults runs a scenario with the default settings.
func withDefaults(f func(sched.Mode, func(*sched.Settings)) result) func(sched.Mode) result {
	return func(m sched.Mode) result { return f(m, nil) }
}

// afterFault runs a scenario and returns its result after the fault.
func afterFault(f func(sched.Mode, func(*sched.Settings)) (during, after result)) func(sched.Mode) result {
	return func(m sched.Mode) result {
		_, after := f(m, nil)
		return after
	}
}

// duringFault runs a scenario and returns its result during the fault.
func duringFault(f func(sched.Mode, func(*sched.Settings)) (during, after result)) func(sched.Mode) result {
	return func(m sched.Mode) result {
		during, _ := f(m, nil)
		return during
	}
}

var scenarios = []scenario{
	{
		name: "flood", saturated: true, bounded: true, unfairModes: []sched.Mode{sched.ModeLocal, sched.ModeFIFO},
		run: func(m sched.Mode) result { return flood(m, nil, true) },
	},
	{name: "skew", run: withDefaults(skew), saturated: true, bounded: true, unfairModes: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "cost", run: withDefaults(mixedCost), saturated: true, bounded: true, unfairModes: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "one router", run: withDefaults(oneRouter), saturated: true},
	{name: "one domain", run: withDefaults(oneDomain), saturated: true, bounded: true},
	{name: "partitioned", run: duringFault(domainPartition), saturated: true},
	{name: "healed", run: afterFault(domainPartition), saturated: true, bounded: true, unfairModes: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "killed", run: duringFault(routerKill), saturated: true},
	{name: "restarted", run: afterFault(routerKill), saturated: true, bounded: true, unfairModes: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
}

func TestScenarios(t *testing.T) {
	for _, e := range scenarios {
		t.Run(e.name, func(t *testing.T) {
			r := e.run(sched.ModeFleet)
			t.Log("fleet:", r)
			if e.bounded && r.gap > r.bound {
				t.Errorf("service gap of %.0f units, want at most %.0f", r.gap, r.bound)
			}
			if e.saturated && r.utilisation < minUtilisation {
				t.Errorf("utilisation %.3f is too low", r.utilisation)
			}
			if r.maxByteRate > byteRateLimit {
				t.Errorf("control traffic of %.0f B/s per router is too high", r.maxByteRate)
			}
			for _, m := range e.unfairModes {
				b := e.run(m)
				t.Logf("%s: %v", m, b)
				if b.gap <= r.bound {
					t.Errorf("the gap of the %s baseline is within the bound, so the scenario does not test fairness", m)
				}
			}
		})
	}
}

// TestFloodDoesNotDelayLightWorkspaces checks that a flood of one workspace delays
// the requests of light workspaces by at most the time of a mean request.
func TestFloodDoesNotDelayLightWorkspaces(t *testing.T) {
	baseline := flood(sched.ModeFleet, nil, false)
	flooded := flood(sched.ModeFleet, nil, true)
	local := flood(sched.ModeLocal, nil, true)
	t.Logf("p95 wait %v without the flood, %v with it; gap %.0f, with local queues %.0f", baseline.lightP95Wait, flooded.lightP95Wait, flooded.gap, local.gap)
	if flooded.lightP95Wait > baseline.lightP95Wait+meanRequestTime {
		t.Errorf("p95 wait of light workspaces is %v in the flood, %v without it", flooded.lightP95Wait, baseline.lightP95Wait)
	}
	if flooded.gap > local.gap/5 {
		t.Errorf("gap %.0f is more than a fifth of the gap %.0f with local queues", flooded.gap, local.gap)
	}
}
