package fairfuzz_test

import (
	"fmt"
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
)

func (sim *simulation) dispatch(n *node, x sched.Dispatch) {
	j := sim.jobs[x.ID]
	e := sim.engines[x.Target]
	if j == nil || j.engine != nil {
		panic(fmt.Sprintf("request %d dispatched twice, or after it ended", x.ID))
	}
	j.source.waiting--
	j.source.waits = append(j.source.waits, sim.now.Sub(j.submitted))
	j.engine = e
	if sim.onDispatch != nil && sim.canReach(n, e) {
		sim.onDispatch(j, e)
	}
	if !sim.canReach(n, e) {
		sim.after(time.Second, func() { sim.complete(j, true) })
	} else {
		e.queue = append(e.queue, j)
		sim.startQueued(e)
	}
	sim.after(0, func() { sim.fillSources(n) })
}

func (sim *simulation) startQueued(e *engine) {
	sim.updateBusy(e)
	for len(e.queue) > 0 && len(e.running) < e.Concurrency {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, j)
		j.started = sim.now
		if e.Pools[0] == modelPool {
			sim.inflightUnits += j.cost
			sim.maxInflightUnits = math.Max(sim.maxInflightUnits, sim.inflightUnits)
		}
		sim.after(time.Duration(j.cost/unitsPerSecond*float64(time.Second)), func() { sim.finish(e, j) })
		sim.after(progressInterval, func() { sim.reportProgress(j) })
	}
	e.peakRequests = max(e.peakRequests, len(e.running)+len(e.queue))
}

// updateBusy adds the slot seconds used since its last call to busySlotSeconds.
func (sim *simulation) updateBusy(e *engine) {
	e.busySlotSeconds += sim.now.Sub(e.busyUpdated).Seconds() * float64(len(e.running))
	e.busyUpdated = sim.now
}

func (sim *simulation) reportProgress(j *job) {
	if j.done {
		return
	}
	if j.node.alive && j.node.incarnation == j.incarnation {
		sim.step(j.node, sched.Progress{ID: j.id, Units: sim.now.Sub(j.started).Seconds() * unitsPerSecond})
	}
	sim.after(progressInterval, func() { sim.reportProgress(j) })
}

func (sim *simulation) finish(e *engine, j *job) {
	sim.updateBusy(e)
	for i, x := range e.running {
		if x == j {
			e.running = append(e.running[:i:i], e.running[i+1:]...)
		}
	}
	sim.servedUnits[j.workspace] += j.cost
	if e.Pools[0] == modelPool {
		sim.inflightUnits -= j.cost
	}
	j.source.servedCount++
	sim.complete(j, false)
	sim.startQueued(e)
}

func (sim *simulation) complete(j *job, failed bool) {
	j.done = true
	delete(sim.jobs, j.id)
	if j.node.alive && j.node.incarnation == j.incarnation {
		units := j.cost
		if failed {
			units = 0
		}
		sim.step(j.node, sched.Finish{ID: j.id, Units: units, Failed: failed})
	}
}
