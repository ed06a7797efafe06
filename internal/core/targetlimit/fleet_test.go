package targetlimit

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umberhill/umberhill/internal/ids"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a model of routers before targets that name a limit. Callers' requests arrive at
// the routers at random and wait there for a permit of any target until they give up.
type fleet struct {
	routers, targets int
	// perSecond is the limit of each target, demand the rate of requests for each.
	perSecond, demand float64
	// named is when the targets begin to name their limit, and ended when they stop.
	named, ended time.Duration
	duration     time.Duration
	// change is called at each step, to start, stop and partition routers.
	change func(s *simulation)
}

const (
	// step is the interval at which routers look for permits.
	step = 10 * time.Millisecond
	// latency is the time from a request to the head of its response.
	latency = 100 * time.Millisecond
	// patience is how long a request waits.
	patience = 400 * time.Millisecond
	// meshRouters is the largest number of routers that report to each other directly.
	meshRouters                     = 12
	meshReportEvery, hubReportEvery = 50 * time.Millisecond, 80 * time.Millisecond
)

// simulation is the state of one run of a fleet; now is since its start.
type simulation struct {
	fleet
	random  *rand.Rand
	now     time.Duration
	routers []*modelRouter
	// hubs hold the demand of the routers that a hub on either side of a partition hears,
	// or has heard.
	hubs map[bool]*Tracker
	// arrivals holds when requests reached each target.
	arrivals [][]time.Duration
	// firstNamed holds when each target first named its limit, 0 if it has not.
	firstNamed []time.Duration
	pending    []response
}

type modelRouter struct {
	*Limiter
	name    ids.Instance
	waiting []time.Duration
	// isDown is set while the router does not run, isCut while no reports pass between it
	// and routers that are not cut.
	isDown, isCut bool
	// isFrozen is set while the router neither acts nor receives anything.
	isFrozen bool
	weight   float64
	// reports and demand are the hubs' last sum.
	reports []Report
	demand  Demand
}

// response is the head of a response on its way to a router.
type response struct {
	at, sentAt time.Duration
	router     *modelRouter
	limiter    *Limiter
	target     int
	st         Statement
}

func (f fleet) run(seed uint64) *simulation {
	s := &simulation{fleet: f, random: rand.New(rand.NewPCG(seed, 5)), arrivals: make([][]time.Duration, f.targets), firstNamed: make([]time.Duration, f.targets), hubs: map[bool]*Tracker{false: NewTracker(), true: NewTracker()}}
	for i := range f.routers {
		r := &modelRouter{name: ids.Instance(fmt.Sprintf("r%d", i)), weight: 0.5 + s.random.Float64()}
		s.routers = append(s.routers, r)
		s.restart(r)
	}
	for ; s.now < f.duration; s.now += step {
		if f.change != nil {
			f.change(s)
		}
		s.step()
	}
	return s
}

// restart replaces a router's state by that of one that has just started.
func (s *simulation) restart(r *modelRouter) {
	r.Limiter, r.waiting, r.isDown = New(rand.New(rand.NewPCG(s.random.Uint64(), 7))), nil, false
	var others []ids.Instance
	for _, o := range s.routers {
		if o != r {
			others = append(others, o.name)
		}
	}
	for i := len(others) + 1; i < s.fleet.routers; i++ {
		others = append(others, ids.Instance(fmt.Sprintf("r%d", i)))
	}
	r.SetRouters(others)
}

// stop stops a router; its peers see its link close.
func (s *simulation) stop(r *modelRouter) {
	r.isDown, r.waiting = true, nil
	for _, o := range s.routers {
		o.RecordLinkEnd(s.time(), r.name)
	}
	for _, h := range s.hubs {
		h.RecordLinkEnd(s.time(), r.name)
	}
}

func (s *simulation) time() time.Time { return start.Add(s.now) }

func (s *simulation) step() {
	s.deliver()
	s.report()
	sum := 0.0
	for _, r := range s.routers {
		if !r.isDown {
			sum += r.weight
		}
	}
	for _, r := range s.routers {
		if r.isDown || r.isFrozen {
			continue
		}
		expected := s.demand * float64(s.targets) * r.weight / sum * step.Seconds()
		for range poisson(s.random, expected) {
			r.RecordRequest(s.time(), 1)
			r.waiting = append(r.waiting, s.now)
		}
		r.SetWaiting(len(r.waiting))
		s.send(r)
	}
}

// send sends the waiting requests of a router for which there are permits.
func (s *simulation) send(r *modelRouter) {
	for len(r.waiting) > 0 {
		target := s.targetWithPermit(r)
		if target < 0 {
			break
		}
		r.waiting = r.waiting[1:]
		r.SetWaiting(len(r.waiting))
		r.RecordSent(s.time(), run(target))
		s.arrivals[target] = append(s.arrivals[target], s.now)
		st := Statement{}
		if s.now >= s.named && s.now < s.ended {
			st.PerSecond = s.perSecond
			if s.firstNamed[target] == 0 {
				s.firstNamed[target] = s.now
			}
		}
		s.pending = append(s.pending, response{at: s.now + latency, sentAt: s.now, router: r, limiter: r.Limiter, target: target, st: st})
	}
	for len(r.waiting) > 0 && s.now-r.waiting[0] > patience {
		r.waiting = r.waiting[1:]
		r.SetWaiting(len(r.waiting))
	}
}

func run(target int) Run { return NewRun(ids.Target(fmt.Sprint(target)), 1) }

// targetWithPermit returns a random target to which the router may send, -1 for none.
func (s *simulation) targetWithPermit(r *modelRouter) int {
	for _, target := range s.random.Perm(s.targets) {
		if r.HasPermit(s.time(), run(target)) {
			return target
		}
	}
	return -1
}

func (s *simulation) deliver() {
	n := 0
	for n < len(s.pending) && s.pending[n].at <= s.now {
		p := s.pending[n]
		if p.limiter == p.router.Limiter && !p.router.isDown && !p.router.isFrozen {
			p.router.RecordStatement(s.time(), start.Add(p.sentAt), run(p.target), p.st)
		}
		n++
	}
	s.pending = s.pending[n:]
}

// report exchanges the routers' reports: directly in a small fleet, through hubs otherwise.
// Sums of hubs arrive an interval after the reports in them.
func (s *simulation) report() {
	if s.fleet.routers <= meshRouters {
		if s.now%meshReportEvery == 0 {
			s.reportToEach()
		}
		return
	}
	if s.now%hubReportEvery != 0 {
		return
	}
	for _, side := range []bool{false, true} {
		s.reportThroughHubs(side)
	}
}

func (s *simulation) reportToEach() {
	for _, r := range s.routers {
		if r.isDown || r.isFrozen {
			continue
		}
		reports := r.LocalReport(s.time())
		for _, o := range s.routers {
			if o != r && !o.isDown && !o.isFrozen && o.isCut == r.isCut {
				o.ApplyPeerReport(s.time(), r.name, slices.Clone(reports), Demand{Visible: r.OwnDemand(s.time())})
			}
		}
	}
}

// reportThroughHubs delivers the last sum to the routers of one side of a partition, and
// computes the next. The other side is absent from it.
func (s *simulation) reportThroughHubs(isCut bool) {
	var all []Report
	hub := s.hubs[isCut]
	isPartitioned := slices.ContainsFunc(s.routers, func(r *modelRouter) bool { return r.isCut })
	for _, r := range s.routers {
		if r.isDown || r.isFrozen || r.isCut != isCut && isPartitioned {
			continue
		}
		hub.Record(s.time(), r.name, Demand{Visible: r.OwnDemand(s.time())})
		if r.isCut != isCut {
			continue
		}
		if r.reports != nil {
			r.ApplyFleetReport(s.time(), aged(r.reports, hubReportEvery), r.demand)
		}
		all = append(all, r.LocalReport(s.time())...)
	}
	all = Sum(all)
	for _, r := range s.routers {
		if r.isCut == isCut {
			r.reports, r.demand = all, hub.Sum(s.time())
		}
	}
}

func aged(reports []Report, age time.Duration) []Report {
	out := make([]Report, 0, len(reports))
	for _, r := range reports {
		out = append(out, r.Aged(age))
	}
	return out
}

// mostInWindow returns the most requests that a target got within a window that begins in
// the given time, once the fleet has had the time to learn its limit.
func (s *simulation) mostInWindow(from, to time.Duration) (most int) {
	for target, arrivals := range s.arrivals {
		learned := s.firstNamed[target] + learnTime
		if s.firstNamed[target] == 0 {
			continue
		}
		for i, at := range arrivals {
			if at < max(from, learned) || at >= to {
				continue
			}
			end, _ := slices.BinarySearch(arrivals, at+limitWindow)
			most = max(most, end-i)
		}
	}
	return most
}

// sentPerSecond returns the mean rate of a target's requests in the given time.
func (s *simulation) sentPerSecond(from, to time.Duration) float64 {
	n := 0
	for _, arrivals := range s.arrivals {
		first, _ := slices.BinarySearch(arrivals, from)
		last, _ := slices.BinarySearch(arrivals, to)
		n += last - first
	}
	return float64(n) / float64(s.targets) / (to - from).Seconds()
}

func poisson(random *rand.Rand, expected float64) int {
	n := 0
	for product := random.Float64(); product > math.Exp(-expected); n++ {
		product *= random.Float64()
	}
	return n
}

const (
	// limitWindow is the time over which a target's requests are compared with its limit.
	// It gets at most limitFactor times what the limit allows and limitExtra more in it,
	// from learnTime after it has first named it.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	learnTime   = 3 * time.Second
)

func allowed(perSecond float64) int {
	return int(limitFactor*perSecond*limitWindow.Seconds() + limitExtra)
}

var fleetSizes = []struct {
	routers, targets int
	perSecond        []float64
}{
	{1, 2, []float64{3, 30}},
	{8, 6, []float64{0.3, 3.5, 9, 40}},
	{80, 12, []float64{0.3, 3.5, 9, 40}},
	{300, 16, []float64{0.3, 3.5, 12}},
}

// Guards against a limit that each router keeps for itself, so that the fleet sends several
// times as much, and against limits that leave the target idle while requests wait.
func TestFleetKeepsTheLimitOfATargetAndUsesIt(t *testing.T) {
	t.Parallel()
	for _, size := range fleetSizes {
		for _, perSecond := range size.perSecond {
			t.Run(fmt.Sprintf("%d routers, %v a second", size.routers, perSecond), func(t *testing.T) {
				t.Parallel()
				const end = 14 * time.Second
				f := fleet{routers: size.routers, targets: size.targets, perSecond: perSecond, demand: 2 * max(perSecond, minPerSecond), named: time.Second, ended: end, duration: end}
				s := f.run(1)
				if most, want := s.mostInWindow(0, end), allowed(perSecond); most > want {
					t.Errorf("a target got %d requests in %v, want at most %d", most, limitWindow, want)
				}
				if sent := s.sentPerSecond(f.named+learnTime, end); sent < 0.85*perSecond {
					t.Errorf("targets got %.2f requests a second while others waited, want at least 0.85 of %v", sent, perSecond)
				}
				t.Logf("most %d of %d, mean %.2f", s.mostInWindow(0, end), allowed(perSecond), s.sentPerSecond(f.named+learnTime, end))
			})
		}
	}
}

// Guards against routers that all take the unused rate of a target at the same time.
func TestBurstAfterCalmKeepsTheLimit(t *testing.T) {
	t.Parallel()
	for _, size := range fleetSizes {
		for _, perSecond := range size.perSecond {
			t.Run(fmt.Sprintf("%d routers, %v a second", size.routers, perSecond), func(t *testing.T) {
				t.Parallel()
				const end = 14 * time.Second
				f := fleet{routers: size.routers, targets: size.targets, perSecond: perSecond, demand: 0.3 * max(perSecond, minPerSecond), named: time.Second, ended: end, duration: end}
				f.change = func(s *simulation) {
					if s.now == 7*time.Second {
						s.demand *= 30
					}
				}
				s := f.run(1)
				if most, want := s.mostInWindow(0, end), allowed(perSecond); most > want {
					t.Errorf("a target got %d requests in %v, want at most %d", most, limitWindow, want)
				}
				t.Logf("most %d of %d, mean before %.2f after %.2f", s.mostInWindow(0, end), allowed(perSecond), s.sentPerSecond(f.named+learnTime, 7*time.Second), s.sentPerSecond(8*time.Second, end))
			})
		}
	}
}

// Guards against routers that have just started and take a limited target for theirs alone,
// against the part of routers that have stopped being left idle, and against both sides of a
// partition taking the whole limit.
func TestRestartsAndPartitionsKeepTheLimit(t *testing.T) {
	t.Parallel()
	const at, healed, end = 7 * time.Second, 12 * time.Second, 18 * time.Second
	type change struct {
		apply func(s *simulation, r *modelRouter)
		// usedFrom is when the limit has to be used again. The part of a router that is
		// silent is left to it.
		usedFrom time.Duration
	}
	changes := map[string]change{
		"half of the routers start anew":      {func(s *simulation, r *modelRouter) { s.restart(r) }, at + 2*time.Second},
		"half of the routers stop":            {func(s *simulation, r *modelRouter) { s.stop(r) }, at + 2*time.Second},
		"half of the routers are partitioned": {func(_ *simulation, r *modelRouter) { r.isCut = true }, at + 2*time.Second},
		"half of the routers freeze":          {func(_ *simulation, r *modelRouter) { r.isFrozen = true }, healed + time.Second},
	}
	for name, change := range changes {
		for _, size := range fleetSizes[1:] {
			for _, perSecond := range []float64{3.5, 9} {
				t.Run(fmt.Sprintf("%s, %d routers, %v a second", name, size.routers, perSecond), func(t *testing.T) {
					t.Parallel()
					f := fleet{routers: size.routers, targets: size.targets, perSecond: perSecond, demand: 2 * perSecond, named: time.Second, ended: end, duration: end}
					f.change = func(s *simulation) {
						for i, r := range s.routers {
							switch {
							case s.now == at && i%2 == 0:
								change.apply(s, r)
							case s.now == healed:
								r.isCut, r.isFrozen = false, false
							}
						}
					}
					s := f.run(1)
					if most, want := s.mostInWindow(0, end), allowed(perSecond); most > want {
						t.Errorf("a target got %d requests in %v, want at most %d", most, limitWindow, want)
					}
					if sent := s.sentPerSecond(change.usedFrom, end); sent < 0.85*perSecond {
						t.Errorf("targets got %.2f requests a second while others waited, want at least 0.85 of %v", sent, perSecond)
					}
				})
			}
		}
	}
}

// Guards against a target that stays almost unused after its limit has ended.
func TestTargetIsUsedAgainAfterItsLimit(t *testing.T) {
	t.Parallel()
	const ended, end = 8 * time.Second, 16 * time.Second
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d routers", size.routers), func(t *testing.T) {
			t.Parallel()
			const perSecond, demand = 2, 20
			s := fleet{routers: size.routers, targets: size.targets, perSecond: perSecond, demand: demand, named: time.Second, ended: ended, duration: end}.run(1)
			if sent := s.sentPerSecond(ended+6*time.Second, end); sent < 0.95*demand {
				t.Errorf("targets got %.2f requests a second 6 s after their limit, want %v", sent, demand)
			}
		})
	}
}
