// Package fairfuzz_test joins a handful of schedulers by a list of messages
// that delays, drops, repeats and reorders, and holds what they decide against
// an oracle that knows the true service.
package fairfuzz_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

const (
	pace        = 50.0 // units a second of one slot
	progressGap = 100 * time.Millisecond
	frame       = 18 // bytes of a message on a link besides its own
	loadGap     = time.Second
	refusedGap  = 500 * time.Millisecond // until a refused caller comes again
	memberLag   = 200 * time.Millisecond // until all routers know a change of the routers
	configLag   = time.Second            // until all routers know a change of the targets
)

var epoch = time.Unix(1_000_000, 0)

type timed struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// node is a router.
type node struct {
	name   ids.Instance
	domain ids.Domain
	s      *sched.Scheduler
	inc    ids.Incarnation
	alive  bool
	bytes  int
	refuse map[string]int
}

// engine is a target: it runs up to its concurrency and keeps the rest in line.
type engine struct {
	sched.Target
	running, line []*job
	peak          int
	busy          float64 // slot seconds
	busyAt        time.Time
	leftAt        time.Time // since when no router may send it new work
}

type job struct {
	id        sched.RequestID
	ws        ids.Workspace
	node      *node
	inc       ids.Incarnation
	cost      float64
	src       *source
	submitted time.Time
	at        *engine
	began     time.Time
	done      bool
}

// source keeps a number of a workspace's requests waiting at a router, or
// submits at random intervals.
type source struct {
	ws     ids.Workspace
	node   *node
	pool   ids.Pool
	depth  int
	gap    float64 // mean seconds between arrivals, for open sources
	cost   func() float64
	hint   func(cost float64) float64
	held   int
	wait   []time.Duration
	on     bool
	solo   bool
	retry  bool // a refused caller is about to come again
	served int
}

type world struct {
	now     time.Time
	seq     int
	agenda  agenda
	rng     *rand.Rand
	nodes   []*node
	engines map[ids.Target]*engine
	order   []ids.Target
	shares  []sched.Share
	jobs    map[sched.RequestID]*job
	nextID  sched.RequestID
	sources []*source
	cut     map[ids.Domain]bool
	mode    sched.Mode
	tune    func(*sched.Settings)
	delay   time.Duration
	loss    float64
	repeat  float64
	reorder float64

	served   map[ids.Workspace]float64 // of finished jobs
	inflight float64                   // units of the requests that run at engines
	flightUp float64                   // the greatest so far

	onDispatch func(*job, *engine)
}

func newWorld(seed uint64, mode sched.Mode) *world {
	return &world{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), engines: map[ids.Target]*engine{},
		jobs: map[sched.RequestID]*job{}, cut: map[ids.Domain]bool{}, mode: mode,
		delay: 500 * time.Microsecond, served: map[ids.Workspace]float64{},
	}
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, timed{at: w.now.Add(d), seq: w.seq, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		t := heap.Pop(&w.agenda).(timed)
		w.now = t.at
		t.do()
	}
	w.now = end
}

func (w *world) addNodes(n int, domains ...ids.Domain) {
	for i := range n {
		w.nodes = append(w.nodes, &node{
			name: ids.Instance(fmt.Sprintf("r%d", len(w.nodes)+1)), domain: domains[i%len(domains)],
			refuse: map[string]int{},
		})
	}
}

func (w *world) addEngines(n, concurrency int, pool ids.Pool, domains ...ids.Domain) {
	for i := range n {
		id := ids.Target(fmt.Sprintf("%s-%d", pool, i+1))
		w.engines[id] = &engine{busyAt: w.now, Target: sched.Target{
			ID: id, Domain: domains[i%len(domains)], Pools: []ids.Pool{pool}, Concurrency: concurrency,
		}}
		w.order = append(w.order, id)
	}
}

// start starts all routers.
func (w *world) start() {
	for _, n := range w.nodes {
		w.boot(n)
	}
	w.members()
}

func (w *world) boot(n *node) {
	n.inc++
	n.alive = true
	cfg := sched.Settings{
		Self: n.name, Domain: n.domain, Incarnation: n.inc<<8 + ids.Incarnation(len(n.name)), Seed: 1, Mode: w.mode,
	}
	if w.tune != nil {
		w.tune(&cfg)
	}
	n.s = sched.New(cfg)
	w.step(n, sched.SetShares{Shares: w.shares})
	w.step(n, sched.SetTargets{Targets: w.targets()})
	w.step(n, sched.SetRouters{Routers: []sched.Router{{Instance: n.name, Domain: n.domain}}})
	inc := n.inc
	w.at(time.Duration(w.rng.Int64N(int64(sched.TickInterval))), func() { w.tick(n, inc) })
	w.at(time.Duration(w.rng.Int64N(int64(loadGap))), func() { w.load(n, inc) })
}

func (w *world) targets() []sched.Target {
	var out []sched.Target
	for _, id := range w.order {
		out = append(out, w.engines[id].Target)
	}
	return out
}

func (w *world) tick(n *node, inc ids.Incarnation) {
	if !n.alive || n.inc != inc {
		return
	}
	w.step(n, sched.Tick{})
	w.at(sched.TickInterval, func() { w.tick(n, inc) })
}

func (w *world) load(n *node, inc ids.Incarnation) {
	if !n.alive || n.inc != inc {
		return
	}
	for _, t := range n.s.Owned() {
		if e := w.engines[t]; e != nil && w.reaches(n, e) {
			w.step(n, sched.Load{Target: t, Running: len(e.running), Waiting: len(e.line)})
		}
	}
	w.at(loadGap, func() { w.load(n, inc) })
}

// members tells each router the live ones that it can reach, each a little
// later.
func (w *world) members() {
	for _, n := range w.nodes {
		w.at(time.Duration(w.rng.Int64N(int64(memberLag))), func() { w.tellMembers(n) })
	}
}

func (w *world) tellMembers(n *node) {
	if !n.alive {
		return
	}
	var rs []sched.Router
	for _, m := range w.nodes {
		if m.alive && w.connected(n, m) {
			rs = append(rs, sched.Router{Instance: m.name, Domain: m.domain})
		}
	}
	w.step(n, sched.SetRouters{Routers: rs})
}

func (w *world) connected(a, b *node) bool {
	return a.domain == b.domain || (!w.cut[a.domain] && !w.cut[b.domain])
}

func (w *world) reaches(n *node, e *engine) bool {
	return n.domain == e.Domain || (!w.cut[n.domain] && !w.cut[e.Domain])
}

// setTargets tells all routers the targets, each a little later.
func (w *world) setTargets() {
	for _, n := range w.nodes {
		w.at(time.Duration(w.rng.Int64N(int64(configLag))), func() {
			if n.alive {
				w.step(n, sched.SetTargets{Targets: w.targets()})
			}
		})
	}
}

// kill ends a router without notice; its requests go on at the engines.
func (w *world) kill(n *node) {
	n.alive = false
	for _, src := range w.sources {
		if src.node == n {
			src.held = 0
		}
	}
	w.at(3*time.Second, w.members)
}

func (w *world) restart(n *node) {
	w.boot(n)
	w.members()
	w.fill(n)
}

// setCut cuts a failure domain off, or joins it again; the routers notice
// after the link timeout.
func (w *world) setCut(d ids.Domain, on bool) {
	w.cut[d] = on
	lag := 100 * time.Millisecond
	if on {
		lag = 3 * time.Second
	}
	w.at(lag, w.members)
}

func (w *world) step(n *node, ev sched.Event) {
	for _, a := range n.s.Step(w.now, ev) {
		switch x := a.(type) {
		case sched.Dispatch:
			w.dispatch(n, x)
		case sched.Refuse:
			w.refused(n, x)
		case sched.Send:
			w.send(n, x)
		}
	}
}

func (w *world) send(n *node, x sched.Send) {
	b, err := proto.Marshal(x.Msg)
	if err != nil {
		panic(err)
	}
	n.bytes += len(b) + frame
	copies := 1
	if w.rng.Float64() < w.loss {
		copies = 0
	} else if w.rng.Float64() < w.repeat {
		copies = 2
	}
	for range copies {
		d := w.delay
		if w.rng.Float64() < w.reorder {
			d += time.Duration(w.rng.Int64N(int64(time.Second)))
		}
		w.at(d, func() { w.deliver(n, x.To, b) })
	}
}

func (w *world) deliver(from *node, to ids.Instance, b []byte) {
	for _, n := range w.nodes {
		if n.name != to || !n.alive || !w.connected(from, n) {
			continue
		}
		m := &schedv1.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			panic(err)
		}
		w.step(n, sched.Receive{From: from.name, Msg: m})
	}
}

func (w *world) refused(n *node, x sched.Refuse) {
	n.refuse[string(x.Code)]++
	if j := w.jobs[x.ID]; j != nil {
		delete(w.jobs, x.ID)
		j.src.held--
		if j.src.gap == 0 && !j.src.retry {
			j.src.retry = true
			w.at(refusedGap, func() {
				j.src.retry = false
				w.fill(n)
			})
		}
	}
}

// fill tops up the closed sources of a router.
func (w *world) fill(n *node) {
	for _, src := range w.sources {
		if src.node != n || !src.on || src.gap > 0 || !n.alive {
			continue
		}
		for range src.depth - src.held {
			w.submit(src)
		}
	}
}

func (w *world) submit(src *source) {
	w.nextID++
	j := &job{
		id: w.nextID, ws: src.ws, node: src.node, inc: src.node.inc, cost: src.cost(), src: src, submitted: w.now,
	}
	w.jobs[j.id] = j
	src.held++
	r := sched.Request{ID: j.id, Workspace: src.ws, Pool: src.pool, Solo: src.solo}
	if src.hint != nil {
		r.Hint = src.hint(j.cost)
	}
	w.step(src.node, sched.Submit{Request: r})
}

// add starts a source.
func (w *world) add(src *source) *source {
	src.on = true
	w.sources = append(w.sources, src)
	if src.gap > 0 {
		w.arrive(src)
	} else {
		w.fill(src.node)
	}
	return src
}

func (w *world) arrive(src *source) {
	w.at(time.Duration(w.rng.ExpFloat64()*src.gap*float64(time.Second)), func() {
		if src.node.alive && src.on {
			w.submit(src)
		}
		w.arrive(src)
	})
}
