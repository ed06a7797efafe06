package fairfuzz_test

import (
	"math"
	"time"

	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// trueService returns the units of service that a workspace has received so far,
// including its running requests.
func (sim *simulation) trueService(ws ids.Workspace) float64 {
	sum := sim.servedUnits[ws]
	for _, id := range sim.engineIDs {
		for _, j := range sim.engines[id].running {
			if j.workspace == ws {
				sum += sim.now.Sub(j.started).Seconds() * unitsPerSecond
			}
		}
	}
	return sum
}

// slots returns the total concurrency of the engines of a pool.
func (sim *simulation) slots(p ids.Pool) int {
	n := 0
	for _, e := range sim.engines {
		if e.Pools[0] == p {
			n += e.Concurrency
		}
	}
	return n
}

// busySeconds returns the slot seconds used so far at the engines of a pool.
func (sim *simulation) busySeconds(p ids.Pool) float64 {
	sum := 0.0
	for _, id := range sim.engineIDs {
		if e := sim.engines[id]; e.Pools[0] == p {
			sim.updateBusy(e)
			sum += e.busySlotSeconds
		}
	}
	return sum
}

// gapBound returns the bound on the service gap, in units: twice the sum of the
// maximum work in flight and the work of one report interval.
func (sim *simulation) gapBound() float64 {
	return 2 * (sim.maxInflightUnits + sim.reportInterval().Seconds()*float64(sim.slots(modelPool))*unitsPerSecond)
}

func (sim *simulation) reportInterval() time.Duration {
	cfg := sched.Settings{ReportInterval: sched.DefaultReportInterval}
	if sim.editSettings != nil {
		sim.editSettings(&cfg)
	}
	return cfg.ReportInterval
}

// gapMeter samples the pairwise differences in normalized service, in units per
// weight, of backlogged workspaces. For each pair it keeps the lowest and highest
// difference, so that the gap covers any interval since the meter was created.
type gapMeter struct {
	workspaces []ids.Workspace
	weights    map[ids.Workspace]float64
	lo, hi     map[[2]int]float64
	stopped    bool
}

func (sim *simulation) newGapMeter(workspaces ...ids.Workspace) *gapMeter {
	g := &gapMeter{workspaces: workspaces, weights: map[ids.Workspace]float64{}, lo: map[[2]int]float64{}, hi: map[[2]int]float64{}}
	for _, x := range workspaces {
		g.weights[x] = 1
	}
	for _, s := range sim.shares {
		if s.Weight > 0 {
			g.weights[s.Workspace] = s.Weight
		}
	}
	sim.sampleGaps(g)
	return g
}

func (sim *simulation) sampleGaps(g *gapMeter) {
	if g.stopped {
		return
	}
	s := make([]float64, len(g.workspaces))
	for i, ws := range g.workspaces {
		s[i] = sim.trueService(ws) / g.weights[ws]
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
	sim.after(50*time.Millisecond, func() { sim.sampleGaps(g) })
}

// gap returns the greatest change of a difference, over all pairs.
func (g *gapMeter) gap() float64 {
	worst := 0.0
	for k := range g.lo {
		worst = math.Max(worst, g.hi[k]-g.lo[k])
	}
	return worst
}

// costAround returns a function that draws costs uniformly from 0.5 to 1.5 times
// the mean.
func (sim *simulation) costAround(mean float64) func() float64 {
	return func() float64 { return mean * (0.5 + sim.rng.Float64()) }
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
