package replay

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// The model's own figures; reports go as often as the routers' do.
const (
	// reportEvery and reportDelay are how often routers tell each other their
	// load and how late that arrives.
	reportEvery = 50 * time.Millisecond
	reportDelay = 5 * time.Millisecond
	// transferSetup is the time before an engine gets the first byte of another's cache.
	transferSetup = 5 * time.Millisecond
	// pollEvery is how often queues are looked at.
	pollEvery = 10 * time.Millisecond
	// patience of a caller for the next event.
	patience = 3 * time.Second
	// maxTries of a caller, the first included.
	maxTries = 2
	// lateWorth is what an answer that is late counts.
	lateWorth = 0.3
)

// epoch is the virtual time's start.
var epoch = time.Unix(1_000_000, 0)

// Result is what a policy made of a pattern.
type Result struct {
	Pattern string
	Policy  Policy
	// Asked counts requests, the others how they ended.
	Asked, OnTime, Late, Refused, Abandoned int
	// Worth is the share of on-time answers, late ones counted by lateWorth.
	Worth float64
	// WorstWorkspace is the least share served among workspaces that stayed
	// within their usual load.
	WorstWorkspace float64
	// Reread is the share of read tokens that were shared parts read before.
	Reread float64
	// Utilisation is the share of time that engines were at work.
	Utilisation float64
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one play.
type world struct {
	pattern  *Pattern
	now      time.Duration
	queue    events
	seq      int
	engines  []*engine
	routers  []decider
	waiting  map[admit.ID]*request
	flying   map[admit.ID]*request
	lastID   admit.ID
	index    map[ids.Target]int
	everRead map[uint64]bool
	served   map[ids.Workspace]float64
	asked    map[ids.Workspace]int
	result   Result
}

// Play plays a pattern with a policy.
func Play(p Pattern, policy Policy, seed uint64) Result {
	w := &world{
		pattern: &p, waiting: make(map[admit.ID]*request), flying: make(map[admit.ID]*request),
		everRead: make(map[uint64]bool), served: make(map[ids.Workspace]float64), asked: make(map[ids.Workspace]int),
		index: make(map[ids.Target]int), result: Result{Pattern: p.Name, Policy: policy},
	}
	for i, t := range targets(p.Engines) {
		w.index[t.ID] = i
	}
	for range p.Engines {
		w.engines = append(w.engines, &engine{spec: p.Spec, cache: partCache{limit: p.Spec.MemoryTokens}})
	}
	for i := range p.Routers {
		if policy == Admit {
			w.routers = append(w.routers, newAdmit(&p, uint64(i)))
		} else {
			w.routers = append(w.routers, newSender(policy, &p, i))
		}
	}
	for _, r := range p.generate(rand.New(rand.NewPCG(seed, 1))) {
		w.after(r.at, func() { w.arrive(r) })
	}
	w.every(reportEvery, w.report)
	w.every(pollEvery, w.poll)
	w.run(p.Length + 20*time.Second)
	return w.finish()
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.seq, do: do})
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at < until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) arrive(r *request) {
	if r.firstTry {
		w.result.Asked++
		w.asked[r.Workspace]++
		r.Arrived = w.time()
		r.Deadline = r.Arrived.Add(r.kind.Deadline)
	}
	r.tries++
	w.lastID++
	r.ID = w.lastID
	w.decide(r, w.routers[r.router].submit(w.time(), r))
}

func (w *world) decide(r *request, v admit.Verdict) {
	switch {
	case v.Waiting:
		w.waiting[r.ID] = r
	case v.Refused != "":
		w.refused(r, v.RetryAfter)
	default:
		w.send(r, v)
	}
}

// refused lets a caller come back once, at another router.
func (w *world) refused(r *request, after time.Duration) {
	left := r.at + r.kind.Deadline - w.now
	if r.tries >= maxTries || after > left/3 {
		w.result.Refused++
		return
	}
	r.firstTry = false
	w.after(after, func() {
		r.router = (r.router + 1) % len(w.routers)
		w.arrive(r)
	})
}

func (w *world) send(r *request, v admit.Verdict) {
	w.flying[r.ID] = r
	i := w.index[v.Target.ID]
	if w.down(i) {
		w.lose(r, admit.Unreachable)
		return
	}
	j := &job{req: r, lastEvent: w.now}
	id := r.ID
	w.after(patience, func() { w.giveUp(i, j, id) })
	if v.FetchFrom.ID == "" {
		w.put(i, j)
		return
	}
	source := w.engines[w.index[v.FetchFrom.ID]]
	tokens := w.engines[i].take(source, r.Parts)
	w.after(transferSetup+w.pattern.Spec.config().FetchTime(tokens), func() {
		if w.flying[id] != nil {
			w.put(i, j)
		}
	})
}

// put hands a request to an engine.
func (w *world) put(i int, j *job) {
	if w.down(i) {
		w.lose(j.req, admit.Failed)
		return
	}
	w.engines[i].waiting = append(w.engines[i].waiting, j)
	w.kick(i)
}

func (w *world) down(i int) bool { return w.pattern.Down != nil && w.pattern.Down(i, w.now) }

// lose ends a request whose engine is gone; its caller comes back.
func (w *world) lose(r *request, result admit.Result) {
	delete(w.flying, r.ID)
	w.routers[r.router].ended(w.time(), r.ID, result)
	w.refused(r, 100*time.Millisecond)
}

// giveUp ends a request whose caller has seen no event for too long.
func (w *world) giveUp(i int, j *job, id admit.ID) {
	if w.flying[id] == nil {
		return
	}
	if w.now-j.lastEvent < patience {
		w.after(patience-(w.now-j.lastEvent), func() { w.giveUp(i, j, id) })
		return
	}
	e := w.engines[i]
	same := func(o *job) bool { return o == j }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
	delete(w.flying, id)
	w.routers[j.req.router].ended(w.time(), id, admit.Canceled)
	w.result.Abandoned++
}

// kick starts an engine's next step.
func (w *world) kick(i int) {
	e := w.engines[i]
	if e.stepping {
		return
	}
	e.admitWaiting(w.everRead)
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	w.after(e.step(), func() {
		e.stepping = false
		w.stepped(i)
		w.kick(i)
	})
}

func (w *world) stepped(i int) {
	e := w.engines[i]
	if w.down(i) {
		for _, j := range append(e.running, e.waiting...) {
			w.lose(j.req, admit.Failed)
		}
		e.running, e.waiting, e.cache = nil, nil, partCache{limit: e.spec.MemoryTokens}
		return
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if j.unread == 0 {
			w.token(j)
		}
		if j.made < j.req.OutputTokens {
			kept = append(kept, j)
			continue
		}
		w.done(j)
	}
	e.running = kept
}

func (w *world) token(j *job) {
	if !j.began {
		j.began = true
		w.routers[j.req.router].began(w.time(), j.req.ID)
		j.worstGap = 0
		j.lastEvent = w.now
	}
	j.made++
	if j.made%w.pattern.Spec.EventTokens == 0 {
		j.worstGap = max(j.worstGap, w.now-j.lastEvent)
		j.lastEvent = w.now
	}
	if j.made == 1 {
		j.onTime = w.now-j.req.at <= j.req.Objective
	}
}

func (w *world) done(j *job) {
	r := j.req
	delete(w.flying, r.ID)
	w.routers[r.router].ended(w.time(), r.ID, admit.Served)
	if j.onTime && j.worstGap <= w.pattern.GapObjective {
		w.result.OnTime++
		w.served[r.Workspace]++
		return
	}
	w.result.Late++
	w.served[r.Workspace] += lateWorth
}

func (w *world) poll() {
	for _, d := range w.routers {
		for _, v := range d.poll(w.time()) {
			r := w.waiting[v.ID]
			if r == nil {
				continue
			}
			delete(w.waiting, v.ID)
			w.decide(r, v)
		}
	}
}

// report tells each router's load to the others, a little late.
func (w *world) report() {
	for i, d := range w.routers {
		from, ok := d.(admitDecider)
		if !ok {
			return
		}
		loads, backlogs, use := from.ac.LocalReport(w.time())
		w.after(reportDelay, func() {
			for k, other := range w.routers {
				if to, ok := other.(admitDecider); ok && k != i {
					to.ac.ApplyPeerReport(w.time(), ids.Instance(rune('A'+i)), loads, backlogs, use)
				}
			}
		})
	}
}

func (w *world) finish() Result {
	r := &w.result
	r.Worth = (float64(r.OnTime) + lateWorth*float64(r.Late)) / float64(max(1, r.Asked))
	r.WorstWorkspace = 1
	for ws, asked := range w.asked {
		if flooded := w.pattern.Flood != nil && ws == "a"; !flooded {
			r.WorstWorkspace = min(r.WorstWorkspace, w.served[ws]/float64(asked))
		}
	}
	read, reread, busy := 0, 0, time.Duration(0)
	for _, e := range w.engines {
		read += e.read
		reread += e.reread
		busy += e.busy
	}
	r.Reread = float64(reread) / float64(max(1, read))
	r.Utilisation = float64(busy) / float64(w.pattern.Length) / float64(len(w.engines))
	return *r
}
