package admit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

// plainFleet is a model of many routers before a few plain targets with slots and a queue
// of bounded length. The routers know each other's load through sums.
type plainFleet struct {
	routers, domains   int
	slots, queueLength int
	perSecond          float64
	// skew is how much more requests the first domain gets than the mean, as a factor.
	skew     float64
	duration time.Duration
}

const (
	plainObjective   = 150 * time.Millisecond
	plainWork        = 30 * time.Millisecond
	plainReportEvery = 80 * time.Millisecond
	plainReportDelay = 160 * time.Millisecond
)

type plainEvent struct {
	at  time.Duration
	run func()
}

type plainEvents []plainEvent

func (e plainEvents) Len() int           { return len(e) }
func (e plainEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e plainEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *plainEvents) Push(x any)        { *e = append(*e, x.(plainEvent)) }
func (e *plainEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// plainResult counts requests, and arrivals at targets that these rejected.
type plainResult struct{ requests, onTime, late, refused, arrivals, rejected int }

type plainTarget struct {
	running int
	queue   []func()
}

func (f plainFleet) run(t *testing.T, seed uint64) plainResult {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	var res plainResult
	var events plainEvents
	var now time.Duration
	after := func(d time.Duration, run func()) { heap.Push(&events, plainEvent{now + d, run}) }
	at := func() time.Time { return start.Add(now) }
	var targets []routing.Target
	for i := range f.domains {
		targets = append(targets, routing.Target{ID: ids.Target(fmt.Sprintf("p%d", i)), Service: "app", Domain: ids.Domain(fmt.Sprint(i)), Slots: f.slots})
	}
	state := make(map[ids.Target]*plainTarget)
	for _, target := range targets {
		state[target.ID] = new(plainTarget)
	}
	controllers := make([]*admit.Controller, f.routers)
	for i := range controllers {
		c := admit.New(admit.Options{Domain: ids.Domain(fmt.Sprint(i % f.domains)), ShareWindow: 4 * time.Second, Seed: uint64(i)})
		c.SetConfig(&routing.Config{Services: map[string]*routing.Service{"app": {Name: "app"}}})
		c.SetTargets(targets)
		controllers[i] = c
	}
	lastID := admit.ID(0)
	waiting := make(map[admit.ID]func(admit.Verdict))
	var submit func(c *admit.Controller, arrived time.Time, exclude []ids.Target)
	submit = func(c *admit.Controller, arrived time.Time, exclude []ids.Target) {
		lastID++
		id := lastID
		var handle func(v admit.Verdict)
		handle = func(v admit.Verdict) {
			switch {
			case v.Waiting:
				waiting[id] = handle
				return
			case v.Refused != "":
				res.refused++
				return
			}
			res.arrivals++
			target := state[v.Target.ID]
			work := time.Duration(float64(plainWork) * math.Exp(0.5*random.NormFloat64()-0.125))
			if random.Float64() < 0.01 {
				work *= 5
			}
			begin := func() {
				target.running++
				after(work, func() {
					target.running--
					if len(target.queue) > 0 {
						next := target.queue[0]
						target.queue = target.queue[1:]
						next()
					}
					c.AttemptEnded(at(), id, admit.End{Result: admit.Served})
					if at().Sub(arrived) <= plainObjective {
						res.onTime++
					} else {
						res.late++
					}
				})
			}
			switch {
			case target.running < f.slots:
				begin()
			case len(target.queue) < f.queueLength:
				target.queue = append(target.queue, begin)
			default:
				res.rejected++
				c.AttemptEnded(at(), id, admit.End{Result: admit.Rejected, NotRun: true})
				if len(exclude) > 0 {
					res.refused++
					return
				}
				submit(c, arrived, []ids.Target{v.Target.ID})
			}
		}
		handle(c.Submit(at(), admit.Request{ID: id, Service: "app", Workspace: "w", ArrivedAt: arrived, Deadline: arrived.Add(time.Second), Objective: plainObjective, Exclude: exclude}))
	}
	for i := range f.routers {
		rate := f.perSecond / float64(f.routers)
		if i%f.domains == 0 {
			rate *= f.skew
		} else {
			rate *= (float64(f.domains) - f.skew) / float64(f.domains-1)
		}
		for due := time.Duration(0); due < f.duration; {
			due += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			after(due, func() { res.requests++; submit(controllers[i], at(), nil) })
		}
	}
	var report, poll func()
	report = func() {
		sum := make(map[ids.Target]int)
		backlog := admit.Backlog{Service: "app"}
		for _, c := range controllers {
			loads, backlogs, _ := c.LocalReport(at())
			for _, l := range loads {
				sum[l.Target] += l.Running
			}
			for _, b := range backlogs {
				backlog.Requests += b.Requests
			}
		}
		after(plainReportDelay, func() {
			for _, c := range controllers {
				var loads []admit.Load
				for target, n := range sum {
					loads = append(loads, admit.Load{Target: target, Running: n})
				}
				c.ApplyFleetReport(at(), loads, []admit.Backlog{backlog}, nil)
			}
		})
		after(plainReportEvery, report)
	}
	report()
	poll = func() {
		for _, c := range controllers {
			for _, v := range c.Poll(at()) {
				if handle := waiting[v.ID]; handle != nil {
					delete(waiting, v.ID)
					handle(v)
				}
			}
		}
		after(10*time.Millisecond, poll)
	}
	poll()
	for len(events) > 0 && events[0].at < f.duration+time.Second {
		e := heap.Pop(&events).(plainEvent)
		now = e.at
		e.run()
	}
	return res
}

// Guards against routers that all send to the plain target which the last report showed as
// idle, and all wait for one that it showed as full: with nine tenths of the load that the
// targets can serve a third of the requests was late or refused. At least 0.85 of what the
// targets can serve must be on time.
func TestManyRoutersShareAFewPlainTargets(t *testing.T) {
	const capacityPerSecond = 900
	for _, routers := range []int{30, 120, 300} {
		for _, load := range []float64{0.7, 0.9, 1.2} {
			t.Run(fmt.Sprintf("%d routers, load %.1f", routers, load), func(t *testing.T) {
				t.Parallel()
				f := plainFleet{routers: routers, domains: 5, slots: 6, queueLength: 24, perSecond: load * capacityPerSecond, skew: 1.25, duration: 8 * time.Second}
				r := f.run(t, 1)
				got, want := float64(r.onTime)/float64(r.requests), 0.85*min(1, 1/load)
				if got < want {
					t.Errorf("%.3f of the requests on time (%+v), want at least %.3f", got, r, want)
				}
			})
		}
	}
}
