// Package spread decides how a fleet of routers spreads its requests over targets whose loads
// each router knows only from old reports.
//
// If each router sent its next requests to the target with the least reported load, all of
// them would, and the target would get the requests of the whole fleet until a report shows
// them. Each router therefore draws targets at random, with weights that, followed by the
// whole fleet, make the loads per capacity equal. A report does not hold the requests that the
// fleet has sent within its age; they are taken from the weights of that time, which are about
// the same at all routers.
//
// The package has no I/O, no clock and no goroutines.
package spread

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

const (
	// minRateShare is the least rate of the fleet that is assumed, as a fraction of the rate
	// that the targets can serve. A report of an idle fleet says nothing of what follows it.
	minRateShare = 0.25
	// maxAge bounds the age of a report for which the requests sent since are
	// predicted: without reports for longer, peers' loads are dropped (peerReportTTL of admit).
	maxAge = 1500 * time.Millisecond
)

// Target is what is known of a target.
type Target struct {
	// Load is the number of requests at the target according to the last report.
	Load float64
	// Slots is the number of requests that the target serves at the same time. It must be
	// positive.
	Slots float64
	// Speed is the speed of the target relative to the others. It must be positive.
	Speed float64
	// Weight is the number of requests that the target should get of those which the fleet
	// sends within the horizon.
	Weight float64
	// unreported are the requests that the fleet has probably sent to the target and that the
	// reports do not hold yet.
	unreported float64
	// kept is the number of requests of now that are left at the horizon, gain the fraction of
	// those sent until then.
	kept, gain float64
}

// Plan holds the weights of the targets of a service.
type Plan struct {
	Targets []Target
	order   []int
	// sums are the sums of the weights of the targets up to each one.
	sums []float64
	// perSecond is the rate of the fleet, total the sum of the weights.
	perSecond, total float64
}

// Update computes the weights from what is known of the targets. The loads are of a time age
// ago, and elapsed is the time since the last update. Duration is the mean duration of a
// request. The horizon is the age of the report, since the next requests show after that time.
func (p *Plan) Update(age, elapsed, duration time.Duration) {
	age = min(max(age, time.Millisecond), maxAge)
	duration = max(duration, time.Millisecond)
	ages := age.Seconds() / duration.Seconds()
	forgotten := math.Exp(-elapsed.Seconds() / age.Seconds())
	load, capacity := 0.0, 0.0
	for i := range p.Targets {
		t := &p.Targets[i]
		if p.total > 0 {
			t.unreported = t.unreported*forgotten + p.perSecond*age.Seconds()*(t.Weight/p.total)*(1-forgotten)
		}
		ended := ages * t.Speed
		remaining := math.Exp(-ended)
		t.gain = (1 - remaining) / ended
		now := t.Load*remaining + t.unreported*t.gain
		t.kept = now * remaining
		load += now * t.Speed
		capacity += t.Slots * t.Speed
	}
	// By Little's law the fleet sends as many requests within their mean duration as are at
	// the targets.
	p.perSecond = max(load, minRateShare*capacity) / duration.Seconds()
	p.total = p.perSecond * age.Seconds()
	p.fill()
}

// fill sets the weights so that their sum is total and the targets with a weight have the same
// load per slot at the horizon, the others a higher one.
func (p *Plan) fill() {
	p.order = p.order[:0]
	for i := range p.Targets {
		p.order = append(p.order, i)
	}
	slices.SortFunc(p.order, func(a, b int) int { return cmp.Compare(p.Targets[a].level(), p.Targets[b].level()) })
	load, slots, level := p.total, 0.0, 0.0
	for k, i := range p.order {
		t := &p.Targets[i]
		load += t.kept / t.gain
		slots += t.Slots / t.gain
		level = load / slots
		if k+1 == len(p.order) || level <= p.Targets[p.order[k+1]].level() {
			break
		}
	}
	p.sums = p.sums[:0]
	sum := 0.0
	for i := range p.Targets {
		t := &p.Targets[i]
		t.Weight = max(0, level*t.Slots-t.kept) / t.gain
		sum += t.Weight
		p.sums = append(p.sums, sum)
	}
}

func (t *Target) level() float64 { return t.kept / t.Slots }

// Pick returns the index of the target at a fraction, 0 to 1, of the weights of the targets from
// index from up to, but not including, index to; -1 if all their weights are zero.
func (p *Plan) Pick(from, to int, fraction float64) int {
	if from >= to || to > len(p.sums) {
		return -1
	}
	below := 0.0
	if from > 0 {
		below = p.sums[from-1]
	}
	sum := p.sums[to-1] - below
	if sum <= 0 {
		return -1
	}
	at := below + fraction*sum
	i := from + sort.Search(to-from, func(i int) bool { return p.sums[from+i] > at })
	// Rounding may make the last sum not exceed at.
	return min(i, to-1)
}
