package fairfuzz_test

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// trueService returns the units that a workspace has really received.
func (w *world) trueService(ws ids.Workspace) float64 {
	sum := w.served[ws]
	for _, id := range w.order {
		for _, j := range w.engines[id].running {
			if j.ws == ws {
				sum += w.now.Sub(j.began).Seconds() * pace
			}
		}
	}
	return sum
}

func (w *world) slots(p ids.Pool) int {
	n := 0
	for _, e := range w.engines {
		if e.Pools[0] == p {
			n += e.Concurrency
		}
	}
	return n
}

// busySeconds returns the slot seconds used so far.
func (w *world) busySeconds(p ids.Pool) float64 {
	sum := 0.0
	for _, id := range w.order {
		if e := w.engines[id]; e.Pools[0] == p {
			w.account(e)
			sum += e.busy
		}
	}
	return sum
}

// bound returns the stated bound: twice the work in flight and that of one
// reporting interval.
func (w *world) bound() float64 {
	return 2 * (w.flightUp + w.interval().Seconds()*float64(w.slots(model))*pace)
}

func (w *world) interval() time.Duration {
	cfg := sched.Settings{ReportInterval: sched.DefaultReportInterval}
	if w.tune != nil {
		w.tune(&cfg)
	}
	return cfg.ReportInterval
}

// gapMeter follows the differences in normalized service of backlogged
// workspaces; the gap is over any span of time since it was made.
type gapMeter struct {
	ws      []ids.Workspace
	weights map[ids.Workspace]float64
	lo, hi  map[[2]int]float64
	stopped bool
}

func (w *world) meter(ws ...ids.Workspace) *gapMeter {
	g := &gapMeter{ws: ws, weights: map[ids.Workspace]float64{}, lo: map[[2]int]float64{}, hi: map[[2]int]float64{}}
	for _, x := range ws {
		g.weights[x] = 1
	}
	for _, s := range w.shares {
		if s.Weight > 0 {
			g.weights[s.Workspace] = s.Weight
		}
	}
	w.sample(g)
	return g
}

func (w *world) sample(g *gapMeter) {
	if g.stopped {
		return
	}
	s := make([]float64, len(g.ws))
	for i, ws := range g.ws {
		s[i] = w.trueService(ws) / g.weights[ws]
	}
	for i := range s {
		for j := range i {
			k, d := [2]int{i, j}, s[i]-s[j]
			if _, ok := g.lo[k]; !ok {
				g.lo[k], g.hi[k] = d, d
			}
			g.lo[k], g.hi[k] = math.Min(g.lo[k], d), math.Max(g.hi[k], d)
		}
	}
	w.at(50*time.Millisecond, func() { w.sample(g) })
}

func (g *gapMeter) gap() float64 {
	worst := 0.0
	for k := range g.lo {
		worst = math.Max(worst, g.hi[k]-g.lo[k])
	}
	return worst
}

// around returns costs spread evenly from half to one and a half of a mean.
func (w *world) around(mean float64) func() float64 {
	return func() float64 { return mean * (0.5 + w.rng.Float64()) }
}

func p95(ds []time.Duration) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := append([]time.Duration(nil), ds...)
	for i := 1; i < len(s); i++ {
		for j := i; j > 0 && s[j] < s[j-1]; j-- {
			s[j], s[j-1] = s[j-1], s[j]
		}
	}
	return s[len(s)*95/100]
}
