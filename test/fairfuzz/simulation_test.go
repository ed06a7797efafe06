// Package fairfuzz_test simulates a small fleet of schedulers in simulated time. The
// simulated network delays, drops, duplicates and reorders their messages. The
// tests compare the decisions of the schedulers with an oracle that has the true
// service of each workspace.
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
	unitsPerSecond   = 50.0 // units that one slot of an engine serves per second
	progressInterval = 100 * time.Millisecond
	frameBytes       = 18 // bytes that a link adds to each message
	loadInterval     = time.Second
	retryDelay       = 500 * time.Millisecond // until a source submits again after a refusal
	membershipDelay  = 200 * time.Millisecond // until all routers have a change of the router list
	configDelay      = time.Second            // until all routers have a change of the target list
)

var epoch = time.Unix(1_000_000, 0)

// event is a function to run at a point of simulated time. Events of the same time
// run in the order of seq.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events ordered by time, then seq.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// node is a simulated router.
type node struct {
	name        ids.Instance
	domain      ids.Domain
	scheduler   *sched.Scheduler
	incarnation ids.Incarnation
	alive       bool
	sentBytes   int
	refusals    map[string]int
}

// engine is a simulated target. It runs requests up to its concurrency and queues
// the rest.
type engine struct {
	sched.Target
	running, queue  []*job
	peakRequests    int
	busySlotSeconds float64   // use of the slots until busyUpdated
	busyUpdated     time.Time // last update of busySlotSeconds
	drainingSince   time.Time // last change of Draining; no router may send new requests configDelay after it was set
}

// job is a request in the simulation. Its engine is nil until it is dispatched.
type job struct {
	id          sched.RequestID
	workspace   ids.Workspace
	node        *node
	incarnation ids.Incarnation
	cost        float64
	source      *source
	submitted   time.Time
	engine      *engine
	started     time.Time
	done        bool
}

// source submits the requests of a workspace at a router. A closed source, with
// meanGap 0, keeps depth requests waiting; an open one submits at random intervals.
type source struct {
	workspace    ids.Workspace
	node         *node
	pool         ids.Pool
	depth        int
	meanGap      float64 // mean seconds between arrivals of an open source
	cost         func() float64
	hint         func(cost float64) float64
	waiting      int
	waits        []time.Duration
	active       bool
	solo         bool
	retryPending bool // the source submits again after retryDelay
	servedCount  int
}

// simulation runs a fleet of schedulers, engines and callers in simulated time.
type simulation struct {
	now           time.Time
	seq           int
	events        eventQueue
	rng           *rand.Rand
	nodes         []*node
	engines       map[ids.Target]*engine
	engineIDs     []ids.Target
	shares        []sched.Share
	jobs          map[sched.RequestID]*job
	nextID        sched.RequestID
	sources       []*source
	partitioned   map[ids.Domain]bool
	mode          sched.Mode
	editSettings  func(*sched.Settings)
	delay         time.Duration
	lossRate      float64
	duplicateRate float64
	reorderRate   float64

	servedUnits      map[ids.Workspace]float64 // service of finished jobs
	inflightUnits    float64                   // units of the requests that run at engines of the model
	maxInflightUnits float64                   // maximum of inflightUnits so far

	onDispatch func(*job, *engine)
}

func newSimulation(seed uint64, mode sched.Mode) *simulation {
	return &simulation{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 7)), engines: map[ids.Target]*engine{},
		jobs: map[sched.RequestID]*job{}, partitioned: map[ids.Domain]bool{}, mode: mode,
		delay: 500 * time.Microsecond, servedUnits: map[ids.Workspace]float64{},
	}
}

// after schedules fn to run after a delay d.
func (sim *simulation) after(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, run: fn})
}

// run advances the time by d and runs the events that are due.
func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		ev := heap.Pop(&sim.events).(event)
		sim.now = ev.at
		ev.run()
	}
	sim.now = end
}

func (sim *simulation) addNodes(n int, domains ...ids.Domain) {
	for i := range n {
		sim.nodes = append(sim.nodes, &node{
			name: ids.Instance(fmt.Sprintf("r%d", len(sim.nodes)+1)), domain: domains[i%len(domains)],
			refusals: map[string]int{},
		})
	}
}

func (sim *simulation) addEngines(n, concurrency int, pool ids.Pool, domains ...ids.Domain) {
	for i := range n {
		id := ids.Target(fmt.Sprintf("%s-%d", pool, i+1))
		sim.engines[id] = &engine{busyUpdated: sim.now, Target: sched.Target{
			ID: id, Domain: domains[i%len(domains)], Pools: []ids.Pool{pool}, Concurrency: concurrency,
		}}
		sim.engineIDs = append(sim.engineIDs, id)
	}
}

// start starts all nodes.
func (sim *simulation) start() {
	for _, n := range sim.nodes {
		sim.startNode(n)
	}
	sim.updateMembership()
}

func (sim *simulation) startNode(n *node) {
	n.incarnation++
	n.alive = true
	cfg := sched.Settings{
		Self: n.name, Domain: n.domain, Incarnation: n.incarnation<<8 + ids.Incarnation(len(n.name)), Seed: 1, Mode: sim.mode,
	}
	if sim.editSettings != nil {
		sim.editSettings(&cfg)
	}
	n.scheduler = sched.New(cfg)
	sim.step(n, sched.SetShares{Shares: sim.shares})
	sim.step(n, sched.SetTargets{Targets: sim.targets()})
	sim.step(n, sched.SetRouters{Routers: []sched.Router{{Instance: n.name, Domain: n.domain}}})
	inc := n.incarnation
	sim.after(time.Duration(sim.rng.Int64N(int64(sched.TickInterval))), func() { sim.tick(n, inc) })
	sim.after(time.Duration(sim.rng.Int64N(int64(loadInterval))), func() { sim.reportLoad(n, inc) })
}

func (sim *simulation) targets() []sched.Target {
	var out []sched.Target
	for _, id := range sim.engineIDs {
		out = append(out, sim.engines[id].Target)
	}
	return out
}

func (sim *simulation) tick(n *node, inc ids.Incarnation) {
	if !n.alive || n.incarnation != inc {
		return
	}
	sim.step(n, sched.Tick{})
	sim.after(sched.TickInterval, func() { sim.tick(n, inc) })
}

func (sim *simulation) reportLoad(n *node, inc ids.Incarnation) {
	if !n.alive || n.incarnation != inc {
		return
	}
	for _, t := range n.scheduler.Owned() {
		if e := sim.engines[t]; e != nil && sim.canReach(n, e) {
			sim.step(n, sched.Load{Target: t, Running: len(e.running), Waiting: len(e.queue)})
		}
	}
	sim.after(loadInterval, func() { sim.reportLoad(n, inc) })
}

// updateMembership sends each router the list of live routers that it can reach,
// each after a random delay.
func (sim *simulation) updateMembership() {
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rng.Int64N(int64(membershipDelay))), func() { sim.setRouters(n) })
	}
}

func (sim *simulation) setRouters(n *node) {
	if !n.alive {
		return
	}
	var rs []sched.Router
	for _, m := range sim.nodes {
		if m.alive && sim.isConnected(n, m) {
			rs = append(rs, sched.Router{Instance: m.name, Domain: m.domain})
		}
	}
	sim.step(n, sched.SetRouters{Routers: rs})
}

func (sim *simulation) isConnected(a, b *node) bool {
	return a.domain == b.domain || (!sim.partitioned[a.domain] && !sim.partitioned[b.domain])
}

func (sim *simulation) canReach(n *node, e *engine) bool {
	return n.domain == e.Domain || (!sim.partitioned[n.domain] && !sim.partitioned[e.Domain])
}

// publishTargets sends all routers the list of targets, each after a random delay.
func (sim *simulation) publishTargets() {
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rng.Int64N(int64(configDelay))), func() {
			if n.alive {
				sim.step(n, sched.SetTargets{Targets: sim.targets()})
			}
		})
	}
}

// kill ends a router abruptly. Its requests continue at the engines.
func (sim *simulation) kill(n *node) {
	n.alive = false
	for _, src := range sim.sources {
		if src.node == n {
			src.waiting = 0
		}
	}
	sim.after(3*time.Second, sim.updateMembership)
}

func (sim *simulation) restart(n *node) {
	sim.startNode(n)
	sim.updateMembership()
	sim.fillSources(n)
}

// setPartitioned partitions a failure domain from the others, or ends the
// partition. The routers detect a partition after the link timeout of 3 s.
func (sim *simulation) setPartitioned(d ids.Domain, on bool) {
	sim.partitioned[d] = on
	delay := 100 * time.Millisecond
	if on {
		delay = 3 * time.Second
	}
	sim.after(delay, sim.updateMembership)
}

// step passes an event to a router's scheduler and performs the actions that it returns.
func (sim *simulation) step(n *node, ev sched.Event) {
	for _, action := range n.scheduler.Step(sim.now, ev) {
		switch x := action.(type) {
		case sched.Dispatch:
			sim.dispatch(n, x)
		case sched.Refuse:
			sim.handleRefusal(n, x)
		case sched.Send:
			sim.send(n, x)
		}
	}
}

func (sim *simulation) send(n *node, x sched.Send) {
	b, err := proto.Marshal(x.Msg)
	if err != nil {
		panic(err)
	}
	n.sentBytes += len(b) + frameBytes
	copies := 1
	if sim.rng.Float64() < sim.lossRate {
		copies = 0
	} else if sim.rng.Float64() < sim.duplicateRate {
		copies = 2
	}
	for range copies {
		d := sim.delay
		if sim.rng.Float64() < sim.reorderRate {
			d += time.Duration(sim.rng.Int64N(int64(time.Second)))
		}
		sim.after(d, func() { sim.deliver(n, x.To, b) })
	}
}

func (sim *simulation) deliver(from *node, to ids.Instance, b []byte) {
	for _, n := range sim.nodes {
		if n.name != to || !n.alive || !sim.isConnected(from, n) {
			continue
		}
		m := &schedv1.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			panic(err)
		}
		sim.step(n, sched.Receive{From: from.name, Msg: m})
	}
}

func (sim *simulation) handleRefusal(n *node, x sched.Refuse) {
	n.refusals[string(x.Code)]++
	if j := sim.jobs[x.ID]; j != nil {
		delete(sim.jobs, x.ID)
		j.source.waiting--
		if j.source.meanGap == 0 && !j.source.retryPending {
			j.source.retryPending = true
			sim.after(retryDelay, func() {
				j.source.retryPending = false
				sim.fillSources(n)
			})
		}
	}
}

// fillSources submits requests until each closed source of a router has depth
// requests waiting.
func (sim *simulation) fillSources(n *node) {
	for _, src := range sim.sources {
		if src.node != n || !src.active || src.meanGap > 0 || !n.alive {
			continue
		}
		for range src.depth - src.waiting {
			sim.submit(src)
		}
	}
}

func (sim *simulation) submit(src *source) {
	sim.nextID++
	j := &job{
		id: sim.nextID, workspace: src.workspace, node: src.node, incarnation: src.node.incarnation, cost: src.cost(), source: src, submitted: sim.now,
	}
	sim.jobs[j.id] = j
	src.waiting++
	r := sched.Request{ID: j.id, Workspace: src.workspace, Pool: src.pool, Solo: src.solo}
	if src.hint != nil {
		r.Hint = src.hint(j.cost)
	}
	sim.step(src.node, sched.Submit{Request: r})
}

// addSource starts a source.
func (sim *simulation) addSource(src *source) *source {
	src.active = true
	sim.sources = append(sim.sources, src)
	if src.meanGap > 0 {
		sim.scheduleArrival(src)
	} else {
		sim.fillSources(src.node)
	}
	return src
}

func (sim *simulation) scheduleArrival(src *source) {
	sim.after(time.Duration(sim.rng.ExpFloat64()*src.meanGap*float64(time.Second)), func() {
		if src.node.alive && src.active {
			sim.submit(src)
		}
		sim.scheduleArrival(src)
	})
}
