package fairfuzz_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	model   = ids.Pool("model/m")
	service = ids.Pool("service/s")
)

// agency returns the fleet of today: 8 routers, 9 engines and 3 plain services
// in 3 domains, 16 workspaces.
func agency(seed uint64, mode sched.Mode, tune func(*sched.Settings)) *world {
	w := newWorld(seed, mode)
	w.tune = tune
	w.addNodes(8, "a", "b", "c")
	w.addEngines(9, 8, model, "a", "b", "c")
	w.addEngines(3, 4, service, "a", "b", "c")
	return w
}

// begin starts the routers and lets them find each other before any caller
// comes, as their readiness does.
func (w *world) begin() {
	w.start()
	w.run(time.Second)
}

func ws(i int) ids.Workspace { return ids.Workspace(fmt.Sprintf("w%d", i)) }

// result is what a scenario showed.
type result struct {
	gap, bound  float64
	utilisation float64       // of the engines of the model
	bytes       float64       // a second and router, the greatest
	mean        float64       // the same, over the routers
	light       time.Duration // p95 wait of the light workspaces
}

func (r result) String() string {
	return fmt.Sprintf("gap %.0f of %.0f, utilisation %.3f, %.0f B/s (mean %.0f), light p95 %v",
		r.gap, r.bound, r.utilisation, r.bytes, r.mean, r.light.Round(time.Millisecond))
}

// measure runs on and measures from now.
func (w *world) measure(d time.Duration, backlogged ...ids.Workspace) result {
	g := w.meter(backlogged...)
	busy := w.busySeconds(model)
	before := map[*node]int{}
	for _, n := range w.nodes {
		before[n] = n.bytes
	}
	for _, s := range w.sources {
		s.wait = nil
	}
	w.run(d)
	g.stopped = true
	r := result{gap: g.gap(), bound: w.bound(), light: w.lightWait()}
	r.utilisation = (w.busySeconds(model) - busy) / d.Seconds() / float64(w.slots(model))
	for _, n := range w.nodes {
		b := float64(n.bytes-before[n]) / d.Seconds()
		r.bytes = max(r.bytes, b)
		r.mean += b / float64(len(w.nodes))
	}
	return r
}

// lightWait returns the p95 wait over the open sources.
func (w *world) lightWait() time.Duration {
	var all []time.Duration
	for _, s := range w.sources {
		if s.gap > 0 && s.pool == model {
			all = append(all, s.wait...)
		}
	}
	return p95(all)
}

// light adds open sources of n workspaces at all routers, which offer rate
// requests a second in all.
func (w *world) light(first, n int, pool ids.Pool, rate, cost float64) {
	gap := float64(n*len(w.nodes)) / rate
	for i := range n {
		for _, nd := range w.nodes {
			w.add(&source{ws: ws(first + i), node: nd, pool: pool, gap: gap, cost: w.around(cost)})
		}
	}
}

// backlog keeps requests of a workspace waiting at some routers.
func (w *world) backlog(who ids.Workspace, cost func() float64, nodes ...*node) {
	for _, n := range nodes {
		w.add(&source{ws: who, node: n, pool: model, depth: 40, cost: cost})
	}
}

const (
	warm = 5 * time.Second
	span = 40 * time.Second
	// healing is the bound on how long a fault leaves permits unused: the
	// lapse of 4 reporting intervals, one more until the next round, and the
	// time of a request.
	healing = 5*sched.DefaultReportInterval + time.Second
)

// flood has one workspace with 10 times the capacity waiting at two routers,
// another one backlogged at all, and light ones that use a third.
func flood(mode sched.Mode, tune func(*sched.Settings), on bool) result {
	w := agency(1, mode, tune)
	w.begin()
	w.light(3, 14, model, 24, 50)
	w.light(3, 14, service, 10, 20)
	if on {
		w.add(&source{ws: ws(1), node: w.nodes[0], pool: model, depth: 360, cost: w.around(50)})
		w.add(&source{ws: ws(1), node: w.nodes[1], pool: model, depth: 360, cost: w.around(50)})
		w.backlog(ws(2), w.around(50), w.nodes...)
	}
	w.run(warm)
	return w.measure(span, ws(1), ws(2))
}

// skew has four backlogged workspaces that enter at 1, 2, 4 and 8 routers.
func skew(mode sched.Mode, tune func(*sched.Settings)) result {
	w := agency(1, mode, tune)
	for i, weight := range []float64{1, 1, 2, 4} {
		w.shares = append(w.shares, sched.Share{Workspace: ws(i + 1), Weight: weight})
	}
	w.begin()
	w.light(5, 12, service, 10, 20)
	for i := range 4 {
		w.backlog(ws(i+1), w.around(50), w.nodes[:1<<i]...)
	}
	w.run(warm)
	return w.measure(span, ws(1), ws(2), ws(3), ws(4))
}

// cost has a workspace with requests of 20 times the others' cost, and hints
// that are wrong by 4.
func cost(mode sched.Mode, tune func(*sched.Settings)) result {
	w := agency(1, mode, tune)
	w.begin()
	wrong := func(c float64) float64 {
		if w.rng.IntN(2) == 0 {
			return c / 4
		}
		return c * 4
	}
	for _, n := range w.nodes {
		w.add(&source{ws: ws(1), node: n, pool: model, depth: 20, cost: w.around(400), hint: wrong})
	}
	for _, n := range w.nodes[:4] {
		w.add(&source{ws: ws(2), node: n, pool: model, depth: 40, cost: w.around(20), hint: wrong})
		w.add(&source{ws: ws(3), node: n, pool: model, depth: 40, cost: w.around(20), hint: wrong})
	}
	w.run(warm)
	return w.measure(2*span, ws(1), ws(2), ws(3))
}

// oneRouter has one workspace at one router, all else idle.
func oneRouter(mode sched.Mode, tune func(*sched.Settings)) result {
	w := agency(1, mode, tune)
	w.begin()
	w.backlog(ws(1), w.around(50), w.nodes[0])
	w.run(warm)
	return w.measure(span)
}

// oneDomain has a backlog at the routers of one failure domain only.
func oneDomain(mode sched.Mode, tune func(*sched.Settings)) result {
	w := agency(1, mode, tune)
	w.begin()
	for _, n := range w.nodes {
		if n.domain == "a" {
			w.backlog(ws(1), w.around(50), n)
			w.backlog(ws(2), w.around(50), n)
		}
	}
	w.run(warm)
	return w.measure(span, ws(1), ws(2))
}

// cutting has a failure domain cut off for 10 s in a flood, and measures from
// 5 s after it has joined again.
func cutting(mode sched.Mode, tune func(*sched.Settings)) (during, after result) {
	w := agency(1, mode, tune)
	w.begin()
	w.backlog(ws(1), w.around(50), w.nodes[0], w.nodes[1])
	w.backlog(ws(2), w.around(50), w.nodes...)
	w.run(warm)
	w.setCut("c", true)
	w.run(healing)
	during = w.measure(10*time.Second - healing)
	w.setCut("c", false)
	w.run(5 * time.Second)
	return during, w.measure(span, ws(1), ws(2))
}

// killing kills a router in a flood and starts it again, and measures from 5 s
// after.
func killing(mode sched.Mode, tune func(*sched.Settings)) (during, after result) {
	w := agency(1, mode, tune)
	w.begin()
	w.backlog(ws(1), w.around(50), w.nodes[0], w.nodes[1])
	w.backlog(ws(2), w.around(50), w.nodes...)
	w.run(warm)
	w.kill(w.nodes[1])
	w.run(healing)
	during = w.measure(5 * time.Second)
	w.restart(w.nodes[1])
	w.run(5 * time.Second)
	return during, w.measure(span, ws(1), ws(2))
}

// outcome of a scenario against its targets.
type expect struct {
	name string
	run  func(sched.Mode) result
	full bool // the backlog can use all engines
	fair bool // the gap has a bound
	// breaks are the baselines that must break the bound.
	breaks []sched.Mode
}

const (
	minUtilisation = 0.97
	maxBytes       = 2000 // a second and router
	meanRequest    = time.Second
)

func plain(f func(sched.Mode, func(*sched.Settings)) result) func(sched.Mode) result {
	return func(m sched.Mode) result { return f(m, nil) }
}

func second(f func(sched.Mode, func(*sched.Settings)) (during, after result)) func(sched.Mode) result {
	return func(m sched.Mode) result {
		_, after := f(m, nil)
		return after
	}
}

func first(f func(sched.Mode, func(*sched.Settings)) (during, after result)) func(sched.Mode) result {
	return func(m sched.Mode) result {
		during, _ := f(m, nil)
		return during
	}
}

var expects = []expect{
	{
		name: "flood", full: true, fair: true, breaks: []sched.Mode{sched.ModeLocal, sched.ModeFIFO},
		run: func(m sched.Mode) result { return flood(m, nil, true) },
	},
	{name: "skew", run: plain(skew), full: true, fair: true, breaks: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "cost", run: plain(cost), full: true, fair: true, breaks: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "one router", run: plain(oneRouter), full: true},
	{name: "one domain", run: plain(oneDomain), full: true, fair: true},
	{name: "cut", run: first(cutting), full: true},
	{name: "joined", run: second(cutting), full: true, fair: true, breaks: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
	{name: "killed", run: first(killing), full: true},
	{name: "restarted", run: second(killing), full: true, fair: true, breaks: []sched.Mode{sched.ModeLocal, sched.ModeFIFO}},
}

func TestScenarios(t *testing.T) {
	for _, e := range expects {
		t.Run(e.name, func(t *testing.T) {
			r := e.run(sched.ModeFleet)
			t.Log("fleet:", r)
			if e.fair && r.gap > r.bound {
				t.Errorf("gap %.0f above the bound %.0f", r.gap, r.bound)
			}
			if e.full && r.utilisation < minUtilisation {
				t.Errorf("utilisation %.3f", r.utilisation)
			}
			if r.bytes > maxBytes {
				t.Errorf("control traffic %.0f B/s", r.bytes)
			}
			for _, m := range e.breaks {
				b := e.run(m)
				t.Logf("%s: %v", m, b)
				if b.gap <= r.bound {
					t.Errorf("the %s baseline keeps the bound: the scenario shows nothing", m)
				}
			}
		})
	}
}

func TestFloodLeavesLightWorkspacesAlone(t *testing.T) {
	calm := flood(sched.ModeFleet, nil, false)
	flooded := flood(sched.ModeFleet, nil, true)
	local := flood(sched.ModeLocal, nil, true)
	t.Logf("p95 wait %v calm, %v flooded; gap %.0f, local %.0f", calm.light, flooded.light, flooded.gap, local.gap)
	if flooded.light > calm.light+meanRequest {
		t.Errorf("p95 wait %v in the flood, %v without", flooded.light, calm.light)
	}
	if flooded.gap > local.gap/5 {
		t.Errorf("gap %.0f is more than a fifth of the own-queue baseline's %.0f", flooded.gap, local.gap)
	}
}
