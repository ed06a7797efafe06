package fairfuzz_test

import (
	"fmt"
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
)

func (w *world) dispatch(n *node, x sched.Dispatch) {
	j := w.jobs[x.ID]
	e := w.engines[x.Target]
	if j == nil || j.at != nil {
		panic(fmt.Sprintf("request %d dispatched twice, or after its end", x.ID))
	}
	j.src.held--
	j.src.wait = append(j.src.wait, w.now.Sub(j.submitted))
	j.at = e
	if w.onDispatch != nil && w.reaches(n, e) {
		w.onDispatch(j, e)
	}
	if !w.reaches(n, e) {
		w.at(time.Second, func() { w.leave(j, true) })
	} else {
		e.line = append(e.line, j)
		w.admit(e)
	}
	w.at(0, func() { w.fill(n) })
}

func (w *world) admit(e *engine) {
	w.account(e)
	for len(e.line) > 0 && len(e.running) < e.Concurrency {
		j := e.line[0]
		e.line = e.line[1:]
		e.running = append(e.running, j)
		j.began = w.now
		if e.Pools[0] == model {
			w.inflight += j.cost
			w.flightUp = math.Max(w.flightUp, w.inflight)
		}
		w.at(time.Duration(j.cost/pace*float64(time.Second)), func() { w.end(e, j) })
		w.at(progressGap, func() { w.progress(j) })
	}
	e.peak = max(e.peak, len(e.running)+len(e.line))
}

// account adds up the slot seconds in use.
func (w *world) account(e *engine) {
	e.busy += w.now.Sub(e.busyAt).Seconds() * float64(len(e.running))
	e.busyAt = w.now
}

func (w *world) progress(j *job) {
	if j.done {
		return
	}
	if j.node.alive && j.node.inc == j.inc {
		w.step(j.node, sched.Progress{ID: j.id, Units: w.now.Sub(j.began).Seconds() * pace})
	}
	w.at(progressGap, func() { w.progress(j) })
}

func (w *world) end(e *engine, j *job) {
	w.account(e)
	for i, x := range e.running {
		if x == j {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
		}
	}
	w.served[j.ws] += j.cost
	if e.Pools[0] == model {
		w.inflight -= j.cost
	}
	j.src.served++
	w.leave(j, false)
	w.admit(e)
}

func (w *world) leave(j *job, failed bool) {
	j.done = true
	delete(w.jobs, j.id)
	if j.node.alive && j.node.inc == j.inc {
		units := j.cost
		if failed {
			units = 0
		}
		w.step(j.node, sched.Finish{ID: j.id, Units: units, Failed: failed})
	}
}
