package admit_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
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
	// burst returns a factor of perSecond at a time since the start; nil stands for 1.
	burst func(at time.Duration) float64
	// speeds are the speeds of the targets in turn; nil stands for 1.
	speeds []float64
	// hasStopped and isCutOff report whether a router has stopped, and whether it gets and
	// sends no reports, at a time since the start; nil stands for never.
	hasStopped, isCutOff func(router int, at time.Duration) bool
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
type plainResult struct {
	requests, onTime, late, refused, arrivals, rejected int
	// busiest has, for each second, the work of the busiest target over the mean. The work is
	// the time that requests take at the target, so it is weighted by speed.
	busiest []float64
}

// nineOfTen returns the ratio that nine of ten seconds from the second one on do not exceed.
func (r plainResult) nineOfTen() float64 {
	sorted := slices.Sorted(slices.Values(r.busiest[1:]))
	return sorted[(len(sorted)*9+9)/10-1]
}

// plainTarget is a target of the model.
type plainTarget struct {
	running int
	queue   []func()
	speed   float64
	// work is the time that the requests of this second take.
	work time.Duration
}

// plainRequest is one attempt of a request at a router.
type plainRequest struct {
	id        admit.ID
	router    *admit.Controller
	arrivedAt time.Time
	exclude   []ids.Target
}

// plainSimulation is the state of one run of a plainFleet; now is since its start.
type plainSimulation struct {
	plainFleet
	random  *rand.Rand
	now     time.Duration
	events  plainEvents
	targets map[ids.Target]*plainTarget
	routers []*admit.Controller
	waiting map[admit.ID]plainRequest
	lastID  admit.ID
	result  plainResult
	// reported are the last loads of each router that reached the hubs, as of reportedAt.
	reported   [][]admit.Load
	reportedAt []time.Duration
}

func (f plainFleet) run(seed uint64) plainResult {
	s := &plainSimulation{
		plainFleet: f, random: rand.New(rand.NewPCG(seed, 2)),
		targets: make(map[ids.Target]*plainTarget), waiting: make(map[admit.ID]plainRequest),
	}
	s.addRouters()
	for i, r := range s.routers {
		s.generate(r, i, f.rateOf(i))
	}
	s.after(time.Second, func() { s.every(time.Second, s.recordWork) })
	s.every(plainReportEvery, s.exchangeReports)
	s.every(10*time.Millisecond, s.pollRouters)
	for len(s.events) > 0 && s.events[0].at < f.duration+time.Second {
		e := heap.Pop(&s.events).(plainEvent)
		s.now = e.at
		e.run()
	}
	return s.result
}

// rateOf returns the requests per second at a router.
func (f plainFleet) rateOf(router int) float64 {
	rate := f.perSecond / float64(f.routers)
	if router%f.domains == 0 {
		return rate * f.skew
	}
	return rate * (float64(f.domains) - f.skew) / float64(f.domains-1)
}

func (s *plainSimulation) time() time.Time { return start.Add(s.now) }

func (s *plainSimulation) after(d time.Duration, run func()) {
	heap.Push(&s.events, plainEvent{s.now + d, run})
}

func (s *plainSimulation) every(interval time.Duration, run func()) {
	run()
	s.after(interval, func() { s.every(interval, run) })
}

func (s *plainSimulation) addRouters() {
	var list []routing.Target
	for i := range s.domains {
		id := ids.Target(fmt.Sprintf("p%d", i))
		list = append(list, routing.Target{ID: id, Service: "app", Domain: ids.Domain(fmt.Sprint(i)), Slots: s.slots})
		s.targets[id] = &plainTarget{speed: 1}
		if len(s.speeds) > 0 {
			s.targets[id].speed = s.speeds[i%len(s.speeds)]
		}
	}
	s.reported, s.reportedAt = make([][]admit.Load, s.plainFleet.routers), make([]time.Duration, s.plainFleet.routers)
	for i := range s.plainFleet.routers {
		r := admit.New(admit.Options{Domain: ids.Domain(fmt.Sprint(i % s.domains)), ShareWindow: 4 * time.Second, Seed: uint64(i)})
		r.SetConfig(&routing.Config{Services: map[string]*routing.Service{"app": {Name: "app"}}})
		r.SetTargets(list)
		s.routers = append(s.routers, r)
	}
}

// generate schedules the requests at a router. Those of a router that has stopped go to the next.
func (s *plainSimulation) generate(router *admit.Controller, index int, perSecond float64) {
	for due := time.Duration(0); due < s.duration; {
		rate := perSecond
		if s.burst != nil {
			rate *= s.burst(due)
		}
		due += time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		s.after(due, func() {
			s.result.requests++
			at := router
			for i := index; s.hasStopped != nil && s.hasStopped(i, s.now); {
				i = (i + 1) % len(s.routers)
				at = s.routers[i]
			}
			s.submit(plainRequest{router: at, arrivedAt: s.time()})
		})
	}
}

func (s *plainSimulation) submit(r plainRequest) {
	s.lastID++
	r.id = s.lastID
	s.apply(r, r.router.Submit(s.time(), admit.Request{
		ID: r.id, Service: "app", Workspace: "w", ArrivedAt: r.arrivedAt, Deadline: r.arrivedAt.Add(time.Second),
		Objective: plainObjective, Exclude: r.exclude,
	}))
}

func (s *plainSimulation) apply(r plainRequest, v admit.Verdict) {
	switch {
	case v.Waiting:
		s.waiting[r.id] = r
	case v.Refused != "":
		s.result.refused++
	default:
		s.result.arrivals++
		s.arrive(r, v.Target.ID)
	}
}

// arrive handles a request at a target: it begins, waits, or is rejected. A router tries a
// second target.
func (s *plainSimulation) arrive(r plainRequest, id ids.Target) {
	target := s.targets[id]
	switch {
	case target.running < s.slots:
		s.begin(r, target)
	case len(target.queue) < s.queueLength:
		target.queue = append(target.queue, func() { s.begin(r, target) })
	default:
		s.result.rejected++
		r.router.AttemptEnded(s.time(), r.id, admit.End{Result: admit.Rejected, NotRun: true})
		if len(r.exclude) > 0 {
			s.result.refused++
			return
		}
		r.exclude = []ids.Target{id}
		s.submit(r)
	}
}

func (s *plainSimulation) begin(r plainRequest, target *plainTarget) {
	work := time.Duration(float64(plainWork) * math.Exp(0.5*s.random.NormFloat64()-0.125))
	if s.random.Float64() < 0.01 {
		work *= 5
	}
	work = time.Duration(float64(work) / target.speed)
	target.work += work
	target.running++
	s.after(work, func() {
		target.running--
		if len(target.queue) > 0 {
			next := target.queue[0]
			target.queue = target.queue[1:]
			next()
		}
		r.router.AttemptEnded(s.time(), r.id, admit.End{Result: admit.Served})
		if s.time().Sub(r.arrivedAt) <= plainObjective {
			s.result.onTime++
		} else {
			s.result.late++
		}
	})
}

// recordWork records how evenly the targets got work in the last second.
func (s *plainSimulation) recordWork() {
	if s.now > s.duration {
		return
	}
	var most, sum time.Duration
	for _, t := range s.targets {
		most, sum = max(most, t.work), sum+t.work
		t.work = 0
	}
	s.result.busiest = append(s.result.busiest, float64(most)*float64(len(s.targets))/float64(max(1, sum)))
}

// plainReportTTL is how long hubs include the last report of a router.
const plainReportTTL = 1500 * time.Millisecond

// exchangeReports sends the sum of all routers' loads to each of them.
func (s *plainSimulation) exchangeReports() {
	running := make(map[ids.Target]int)
	backlog := admit.Backlog{Service: "app"}
	for i, r := range s.routers {
		if s.isReporting(i) {
			loads, backlogs, _ := r.LocalReport(s.time(), 0)
			s.reported[i], s.reportedAt[i] = loads, s.now
			for _, b := range backlogs {
				backlog.Requests += b.Requests
			}
		}
		if s.now-s.reportedAt[i] < plainReportTTL {
			for _, l := range s.reported[i] {
				running[l.Target] += l.Running
			}
		}
	}
	s.after(plainReportDelay, func() {
		for i, r := range s.routers {
			if !s.isReporting(i) {
				continue
			}
			var loads []admit.Load
			for target, n := range running {
				loads = append(loads, admit.Load{Target: target, Running: n})
			}
			r.ApplyFleetReport(s.time(), loads, []admit.Backlog{backlog}, nil)
		}
	})
}

// isReporting reports whether a router sends and gets reports.
func (s *plainSimulation) isReporting(router int) bool {
	return (s.hasStopped == nil || !s.hasStopped(router, s.now)) && (s.isCutOff == nil || !s.isCutOff(router, s.now))
}

func (s *plainSimulation) pollRouters() {
	for _, r := range s.routers {
		for _, v := range r.Poll(s.time()) {
			if waiting, ok := s.waiting[v.ID]; ok {
				delete(s.waiting, v.ID)
				s.apply(waiting, v)
			}
		}
	}
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
				r := f.run(1)
				got, want := float64(r.onTime)/float64(r.requests), 0.85*min(1, 1/load)
				if got < want {
					t.Errorf("%.3f of the requests on time (%+v), want at least %.3f", got, r, want)
				}
			})
		}
	}
}
