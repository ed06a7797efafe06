package fairfuzz_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	// recoveryTime is the time after the last fault until the bounds hold again.
	recoveryTime = 5 * time.Second
	// checkTime is the time over which the bounds are then checked.
	checkTime = 10 * time.Second
	// starvationFactor times (2 s + the time of the longest request) bounds the time
	// that a backlogged workspace may go unserved at a router: 8 such periods for each
	// of the 4 workspaces that share the targets.
	starvationFactor = 4 * 8
	// maxEngines bounds the number of engines in a run.
	maxEngines = 7
)

// fuzzRun is a simulation with the state that random actions and checks need.
type fuzzRun struct {
	*simulation
	lastFault   time.Time
	hasFault    bool
	longestCost float64
}

// TestFuzz drives a few schedulers through random faults. It checks that no target
// gets more requests than its concurrency, except until the recovery bound after a
// fault. After the last fault it checks fairness, utilisation and starvation against
// the oracle.
func TestFuzz(t *testing.T) {
	runSeeds(t, func(t *testing.T) { rapid.Check(t, fuzz) })
}

func fuzz(t *rapid.T) {
	f := newFuzzRun(t)
	for range rapid.IntRange(3, 12).Draw(t, "actions") {
		f.runAction(t)
		f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		f.checkConcurrency(t)
	}
	f.endFaults()
	f.run(recoveryTime)
	f.checkAll(t)
}

func newFuzzRun(t *rapid.T) *fuzzRun {
	f := &fuzzRun{simulation: newSimulation(rapid.Uint64().Draw(t, "seed"), sched.ModeFleet)}
	f.delay = time.Duration(rapid.IntRange(100, 20_000).Draw(t, "delay us")) * time.Microsecond
	f.lossRate = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
	f.duplicateRate = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "repeat")
	f.reorderRate = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "reorder")
	f.addNodes(rapid.IntRange(2, 6).Draw(t, "nodes"), "a", "b")
	f.addEngines(rapid.IntRange(2, 5).Draw(t, "engines"), rapid.IntRange(2, 6).Draw(t, "concurrency"), modelPool, "a", "b")
	for i := range 4 {
		weight := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "weight")
		f.shares = append(f.shares, sched.Share{Workspace: workspaceID(i + 1), Weight: weight})
	}
	f.onDispatch = func(j *job, e *engine) { f.checkDispatch(t, j, e) }
	f.start()
	f.recordFault()
	return f
}

// checkDispatch checks that a draining target gets no request, and that a solo
// request shares its target with no other.
func (f *fuzzRun) checkDispatch(t *rapid.T, j *job, e *engine) {
	if e.Draining && f.now.Sub(e.drainingSince) > configDelay {
		t.Fatalf("%s got a request %v after it was set to draining", e.ID, f.now.Sub(e.drainingSince))
	}
	if f.isRecovering() {
		return
	}
	others := append(append([]*job(nil), e.running...), e.queue...)
	for _, o := range others {
		if j.source.solo || o.source.solo {
			t.Fatalf("a solo request shares target %s with other requests", e.ID)
		}
	}
}

// runAction draws one random action and applies it.
func (f *fuzzRun) runAction(t *rapid.T) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	action := rapid.SampledFrom([]string{"backlog", "backlog", "light", "stop", "kill", "restart", "partition", "heal", "solo", "drain", "undrain", "new"}).Draw(t, "action")
	switch action {
	case "backlog":
		f.addRandomSource(t, n, rapid.IntRange(1, 60).Draw(t, "depth"), 0)
	case "light":
		f.addRandomSource(t, n, 0, 0.05+rapid.Float64Range(0, 2).Draw(t, "gap"))
	case "stop":
		if len(f.sources) > 0 {
			f.sources[rapid.IntRange(0, len(f.sources)-1).Draw(t, "source")].active = false
		}
	case "solo":
		f.addSource(&source{
			workspace: workspaceID(1), node: n, pool: modelPool, meanGap: 2, cost: f.costAround(10), solo: true,
		})
	case "drain", "undrain":
		f.setDraining(rapid.IntRange(0, len(f.engineIDs)-1).Draw(t, "target"), action == "drain")
	case "new":
		if len(f.engineIDs) < maxEngines {
			f.recordFault()
			id := ids.Target(fmt.Sprintf("new-%d", len(f.engineIDs)))
			e := *f.engines[f.engineIDs[0]]
			f.engines[id] = &engine{busyUpdated: f.now, Target: e.Target}
			f.engines[id].ID, f.engines[id].Draining = id, false
			f.engineIDs = append(f.engineIDs, id)
			f.publishTargets()
		}
	case "kill":
		if n.alive {
			f.recordFault()
			f.kill(n)
		}
	case "restart":
		if !n.alive {
			f.recordFault()
			f.restart(n)
		}
	case "partition":
		f.recordFault()
		f.setPartitioned("b", true)
	case "heal":
		f.recordFault()
		f.setPartitioned("b", false)
	}
}

// addRandomSource starts a source of a random workspace and mean cost.
func (f *fuzzRun) addRandomSource(t *rapid.T, n *node, depth int, gap float64) {
	cost := rapid.SampledFrom([]float64{10, 50, 200}).Draw(t, "cost")
	f.longestCost = math.Max(f.longestCost, 1.5*cost)
	f.addSource(&source{
		workspace: workspaceID(rapid.IntRange(1, 4).Draw(t, "workspace")), node: n, pool: modelPool, depth: depth, meanGap: gap, cost: f.costAround(cost),
	})
}

// setDraining announces that a target is draining, or that it accepts requests again.
func (f *fuzzRun) setDraining(i int, on bool) {
	e := f.engines[f.engineIDs[i]]
	if e.Draining == on {
		return
	}
	if !on {
		f.recordFault()
	}
	e.Draining, e.drainingSince = on, f.now
	f.publishTargets()
}

func (f *fuzzRun) recordFault() { f.lastFault, f.hasFault = f.now, true }

// checkConcurrency checks that targets have no more requests than their concurrency.
// Recently after a fault they may have more, since the requests of a router that was
// killed or partitioned continue until they end.
func (f *fuzzRun) checkConcurrency(t *rapid.T) {
	if f.isRecovering() {
		return
	}
	for _, id := range f.engineIDs {
		e := f.engines[id]
		if n := len(e.running) + len(e.queue); n > e.Concurrency {
			t.Fatalf("%s has %d requests, want at most its concurrency of %d", id, n, e.Concurrency)
		}
	}
}

// isRecovering reports whether a fault is so recent that permits may be miscounted:
// not longer ago than the link timeout, the recovery bound and the time of the
// longest request together.
func (f *fuzzRun) isRecovering() bool {
	within := 3*time.Second + recoveryBound + time.Duration(f.longestCost/unitsPerSecond*float64(time.Second))
	return f.hasFault && f.now.Sub(f.lastFault) < within
}

// endFaults ends all faults, and the sources of solo requests, which leave the other
// slots of a target unused.
func (f *fuzzRun) endFaults() {
	for _, s := range f.sources {
		s.active = s.active && !s.solo
	}
	f.lossRate, f.duplicateRate, f.reorderRate = 0, 0, 0
	f.setPartitioned("b", false)
	for i := range f.engineIDs {
		f.setDraining(i, false)
	}
	for _, n := range f.nodes {
		if !n.alive {
			f.restart(n)
		}
	}
	f.recordFault()
}

// checkAll checks the guarantees over a period without faults.
func (f *fuzzRun) checkAll(t *rapid.T) {
	// Requests that started before the faults ended may still use slots without a
	// permit.
	f.run(time.Duration(f.longestCost / unitsPerSecond * float64(time.Second)))
	backlogged := f.backlogged()
	meter := f.newGapMeter(backlogged...)
	busy := f.busySeconds(modelPool)
	before := f.servedByQueue()
	f.run(checkTime)
	used := (f.busySeconds(modelPool) - busy) / checkTime.Seconds() / float64(f.slots(modelPool))
	if gap := meter.gap(); len(backlogged) > 1 && gap > f.fairBound() {
		t.Fatalf("service gap of %.0f units, want at most %.0f", gap, f.fairBound())
	}
	if f.isSaturated() && used < minUtilisation {
		f.dump(t)
		t.Fatalf("utilisation %.3f is too low while requests wait", used)
	}
	f.checkConcurrency(t)
	f.checkAccounts(t, backlogged)
	f.run(starvationFactor * (2*time.Second + time.Duration(f.longestCost/unitsPerSecond*float64(time.Second))))
	after := f.servedByQueue()
	for _, s := range f.sources {
		if k := (queueKey{s.workspace, s.node.name}); s.active && s.meanGap == 0 && after[k] == before[k] {
			t.Fatalf("workspace %s was served no request at router %s", s.workspace, s.node.name)
		}
	}
}

// dump logs the state of the schedulers and engines.
func (f *fuzzRun) dump(t *rapid.T) {
	for _, n := range f.nodes {
		v := n.scheduler.View()
		for _, x := range v.Targets {
			t.Logf("%s %+v", n.name, x)
		}
		for _, p := range v.Pools {
			t.Logf("%s %d waiting, backlogged %+v", n.name, p.Waiting, p.Backlogged)
		}
	}
	for _, id := range f.engineIDs {
		e := f.engines[id]
		t.Logf("%s runs %d, queued %d", id, len(e.running), len(e.queue))
	}
}

// queueKey identifies the queue of a workspace at a router.
type queueKey struct {
	workspace ids.Workspace
	node      ids.Instance
}

func (f *fuzzRun) servedByQueue() map[queueKey]int {
	out := map[queueKey]int{}
	for _, s := range f.sources {
		out[queueKey{s.workspace, s.node.name}] += s.servedCount
	}
	return out
}

// backlogged returns the workspaces with a closed source deep enough that their
// requests wait all the time.
func (f *fuzzRun) backlogged() []ids.Workspace {
	var out []ids.Workspace
	for i := range 4 {
		depth := 0
		for _, s := range f.sources {
			if s.workspace == workspaceID(i+1) && s.active && s.meanGap == 0 {
				depth = max(depth, s.depth)
			}
		}
		if depth > 2*f.slots(modelPool) {
			out = append(out, workspaceID(i+1))
		}
	}
	return out
}

func (f *fuzzRun) isSaturated() bool { return len(f.backlogged()) > 0 }

// fairBound is the bound on the gap in normalized service: gapBound divided by the
// least weight, which is one.
func (f *fuzzRun) fairBound() float64 { return f.gapBound() }

// checkAccounts checks that the routers' accounts of the service of each backlogged
// workspace differ by no more than gapBound: twice the sum of the work in flight and
// the work of one report interval.
func (f *fuzzRun) checkAccounts(t *rapid.T, workspaces []ids.Workspace) {
	for _, x := range workspaces {
		lo, hi := math.Inf(1), math.Inf(-1)
		for _, n := range f.nodes {
			for _, p := range n.scheduler.View().Pools {
				for _, b := range p.Backlogged {
					if b.Workspace == x {
						lo, hi = math.Min(lo, b.Units), math.Max(hi, b.Units)
					}
				}
			}
		}
		if hi-lo > f.gapBound() {
			t.Fatalf("routers differ by %.0f units in the service of %s: %s", hi-lo, x, fmt.Sprint(lo, hi))
		}
	}
}
