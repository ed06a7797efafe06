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
	// settleTime after the last fault until the bounds hold again.
	settleTime = 5 * time.Second
	// checkTime over which they are then checked.
	checkTime = 10 * time.Second
	// starvePatience in the longest request's times, and as many times 2 s, is
	// the longest that a workspace goes unserved at a router: 8 for each of the
	// 4 that may take turns.
	starvePatience = 4 * 8
	// maxEngines bounds the fleet.
	maxEngines = 7
)

// fuzzed is a world with the state that the actions need.
type fuzzed struct {
	*world
	lastFault time.Time
	faulty    bool
	longest   float64
}

// TestFuzz drives a few schedulers through random faults. While it goes on no
// target is given more than its concurrency, but within the healing bound after
// a fault; once the faults are over the oracle checks the rest.
func TestFuzz(t *testing.T) {
	seeds(t, func(t *testing.T) { rapid.Check(t, fuzz) })
}

func fuzz(t *rapid.T) {
	f := newFuzzed(t)
	for range rapid.IntRange(3, 12).Draw(t, "actions") {
		f.act(t)
		f.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		f.checkLimits(t)
	}
	f.heal()
	f.run(settleTime)
	f.checkAll(t)
}

func newFuzzed(t *rapid.T) *fuzzed {
	f := &fuzzed{world: newWorld(rapid.Uint64().Draw(t, "seed"), sched.ModeFleet)}
	f.delay = time.Duration(rapid.IntRange(100, 20_000).Draw(t, "delay us")) * time.Microsecond
	f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(t, "loss")
	f.repeat = rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "repeat")
	f.reorder = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "reorder")
	f.addNodes(rapid.IntRange(2, 6).Draw(t, "nodes"), "a", "b")
	f.addEngines(rapid.IntRange(2, 5).Draw(t, "engines"), rapid.IntRange(2, 6).Draw(t, "concurrency"), model, "a", "b")
	for i := range 4 {
		weight := rapid.SampledFrom([]float64{1, 2, 4}).Draw(t, "weight")
		f.shares = append(f.shares, sched.Share{Workspace: ws(i + 1), Weight: weight})
	}
	f.onDispatch = func(j *job, e *engine) { f.checkDispatch(t, j, e) }
	f.start()
	f.fault()
	return f
}

// checkDispatch checks that a leaving target gets nothing, and that a request
// that must be alone at its target is.
func (f *fuzzed) checkDispatch(t *rapid.T, j *job, e *engine) {
	if e.Draining && f.now.Sub(e.leftAt) > configLag {
		t.Fatalf("%s got a request %v after it was leaving", e.ID, f.now.Sub(e.leftAt))
	}
	if f.recovering() {
		return
	}
	others := append(append([]*job(nil), e.running...), e.line...)
	for _, o := range others {
		if j.src.solo || o.src.solo {
			t.Fatalf("a request that must be alone is not at %s", e.ID)
		}
	}
}

func (f *fuzzed) act(t *rapid.T) {
	n := f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(t, "node")]
	action := rapid.SampledFrom([]string{"backlog", "backlog", "light", "stop", "kill", "restart", "cut", "join", "solo", "leave", "return", "new"}).Draw(t, "action")
	switch action {
	case "backlog":
		f.source(t, n, rapid.IntRange(1, 60).Draw(t, "depth"), 0)
	case "light":
		f.source(t, n, 0, 0.05+rapid.Float64Range(0, 2).Draw(t, "gap"))
	case "stop":
		if len(f.sources) > 0 {
			f.sources[rapid.IntRange(0, len(f.sources)-1).Draw(t, "source")].on = false
		}
	case "solo":
		f.add(&source{
			ws: ws(1), node: n, pool: model, gap: 2, cost: f.around(10), solo: true,
		})
	case "leave", "return":
		f.leaving(rapid.IntRange(0, len(f.order)-1).Draw(t, "target"), action == "leave")
	case "new":
		if len(f.order) < maxEngines {
			f.fault()
			id := ids.Target(fmt.Sprintf("new-%d", len(f.order)))
			e := *f.engines[f.order[0]]
			f.engines[id] = &engine{busyAt: f.now, Target: e.Target}
			f.engines[id].ID, f.engines[id].Draining = id, false
			f.order = append(f.order, id)
			f.setTargets()
		}
	case "kill":
		if n.alive {
			f.fault()
			f.kill(n)
		}
	case "restart":
		if !n.alive {
			f.fault()
			f.restart(n)
		}
	case "cut":
		f.fault()
		f.setCut("b", true)
	case "join":
		f.fault()
		f.setCut("b", false)
	}
}

func (f *fuzzed) source(t *rapid.T, n *node, depth int, gap float64) {
	cost := rapid.SampledFrom([]float64{10, 50, 200}).Draw(t, "cost")
	f.longest = math.Max(f.longest, 1.5*cost)
	f.add(&source{
		ws: ws(rapid.IntRange(1, 4).Draw(t, "workspace")), node: n, pool: model, depth: depth, gap: gap, cost: f.around(cost),
	})
}

// leaving announces that a target leaves, or that it is back.
func (f *fuzzed) leaving(i int, on bool) {
	e := f.engines[f.order[i]]
	if e.Draining == on {
		return
	}
	if !on {
		f.fault()
	}
	e.Draining, e.leftAt = on, f.now
	f.setTargets()
}

func (f *fuzzed) fault() { f.lastFault, f.faulty = f.now, true }

// checkLimits checks that targets have no more than their concurrency. After a
// fault the work of a router that died, or that was cut off, may come on top
// until it has ended.
func (f *fuzzed) checkLimits(t *rapid.T) {
	if f.recovering() {
		return
	}
	for _, id := range f.order {
		e := f.engines[id]
		if n := len(e.running) + len(e.line); n > e.Concurrency {
			t.Fatalf("%s has %d requests, its concurrency is %d", id, n, e.Concurrency)
		}
	}
}

// recovering tells whether a fault is so recent that permits may be counted
// wrong: the timeout of links, the healing bound and a request's time.
func (f *fuzzed) recovering() bool {
	within := 3*time.Second + healing + time.Duration(f.longest/pace*float64(time.Second))
	return f.faulty && f.now.Sub(f.lastFault) < within
}

// heal ends all faults, and the requests for which the rest of a target must
// stay unused.
func (f *fuzzed) heal() {
	for _, s := range f.sources {
		s.on = s.on && !s.solo
	}
	f.loss, f.repeat, f.reorder = 0, 0, 0
	f.setCut("b", false)
	for i := range f.order {
		f.leaving(i, false)
	}
	for _, n := range f.nodes {
		if !n.alive {
			f.restart(n)
		}
	}
	f.fault()
}

// checkAll checks the promises over a span without faults.
func (f *fuzzed) checkAll(t *rapid.T) {
	// What ran before the faults ended may still hold slots of its own.
	f.run(time.Duration(f.longest / pace * float64(time.Second)))
	backlogged := f.backlogged()
	meter := f.meter(backlogged...)
	busy := f.busySeconds(model)
	before := f.servedByLine()
	f.run(checkTime)
	used := (f.busySeconds(model) - busy) / checkTime.Seconds() / float64(f.slots(model))
	if gap := meter.gap(); len(backlogged) > 1 && gap > f.fairBound() {
		t.Fatalf("gap %.0f above the bound %.0f", gap, f.fairBound())
	}
	if f.saturated() && used < minUtilisation {
		f.dump(t)
		t.Fatalf("utilisation %.3f while work waits", used)
	}
	f.checkLimits(t)
	f.checkCounters(t, backlogged)
	f.run(starvePatience * (2*time.Second + time.Duration(f.longest/pace*float64(time.Second))))
	after := f.servedByLine()
	for _, s := range f.sources {
		if l := (line{s.ws, s.node.name}); s.on && s.gap == 0 && after[l] == before[l] {
			t.Fatalf("%s starves at %s", s.ws, s.node.name)
		}
	}
}

// dump logs what the routers see.
func (f *fuzzed) dump(t *rapid.T) {
	for _, n := range f.nodes {
		v := n.s.View()
		for _, x := range v.Targets {
			t.Logf("%s %+v", n.name, x)
		}
		for _, p := range v.Pools {
			t.Logf("%s %d waiting, backlogged %+v", n.name, p.Waiting, p.Backlogged)
		}
	}
	for _, id := range f.order {
		e := f.engines[id]
		t.Logf("%s runs %d, in line %d", id, len(e.running), len(e.line))
	}
}

// line is a workspace at a router.
type line struct {
	ws   ids.Workspace
	node ids.Instance
}

func (f *fuzzed) servedByLine() map[line]int {
	out := map[line]int{}
	for _, s := range f.sources {
		out[line{s.ws, s.node.name}] += s.served
	}
	return out
}

// backlogged returns the workspaces with deep closed sources, which have
// requests waiting all the time.
func (f *fuzzed) backlogged() []ids.Workspace {
	var out []ids.Workspace
	for i := range 4 {
		depth := 0
		for _, s := range f.sources {
			if s.ws == ws(i+1) && s.on && s.gap == 0 {
				depth = max(depth, s.depth)
			}
		}
		if depth > 2*f.slots(model) {
			out = append(out, ws(i+1))
		}
	}
	return out
}

func (f *fuzzed) saturated() bool { return len(f.backlogged()) > 0 }

// fairBound is the stated bound, by the least weight, which is one.
func (f *fuzzed) fairBound() float64 { return f.bound() }

// checkCounters checks that the routers agree about the service of backlogged
// workspaces but for what is in flight and one interval's work each way.
func (f *fuzzed) checkCounters(t *rapid.T, who []ids.Workspace) {
	for _, x := range who {
		lo, hi := math.Inf(1), math.Inf(-1)
		for _, n := range f.nodes {
			for _, p := range n.s.View().Pools {
				for _, b := range p.Backlogged {
					if b.Workspace == x {
						lo, hi = math.Min(lo, b.Units), math.Max(hi, b.Units)
					}
				}
			}
		}
		if hi-lo > f.bound() {
			t.Fatalf("routers differ by %.0f units about %s: %s", hi-lo, x, fmt.Sprint(lo, hi))
		}
	}
}
