package replay

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/ids"
)

// Parameters of the model. Load reports are as frequent as those of real routers.
const (
	// reportInterval is the default interval of the load reports between routers;
	// defaultReportDelay is the time until they arrive on direct links.
	reportInterval     = 50 * time.Millisecond
	defaultReportDelay = 5 * time.Millisecond
	// transferSetupTime is the time until the first byte of another engine's cache arrives.
	transferSetupTime = 5 * time.Millisecond
	// pollInterval is the interval at which routers dispatch from their queues.
	pollInterval = 10 * time.Millisecond
	// eventTimeout is how long a caller waits for the next event.
	eventTimeout = 3 * time.Second
	// maxAttempts bounds a caller's attempts, the first included.
	maxAttempts = 2
	// lateResponseWorth is the worth of a late response; a response on time has the worth 1.
	lateResponseWorth = 0.3
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_000_000, 0)

// Result is the outcome of a simulation.
type Result struct {
	Pattern string
	Policy  Policy
	// Requests is the number of requests; the other four fields count them by outcome.
	// A request is abandoned when its caller times out waiting for an event.
	Requests, OnTime, Late, Refused, Abandoned int
	// TurnedAway counts the attempts that engines turned away. Of those that a router sent to
	// one engine together, one counts.
	TurnedAway int
	// Worth is the share of requests answered on time, with each late response counted as
	// lateResponseWorth.
	Worth float64
	// WorstWorkspaceWorth is the lowest worth of a workspace, without the workspace that
	// floods.
	WorstWorkspaceWorth float64
	// WorstShare is the least share of what it was due that a workspace received within
	// a few seconds in which it was denied requests, from 0 to 1. A workspace is due what
	// it requests, or what the workspace that received most did if that is less.
	WorstShare float64
	// RepeatedPrefillShare is the share of prefilled tokens that belong to shared parts which
	// some engine had prefilled before.
	RepeatedPrefillShare float64
	// Utilisation is the mean time in which an engine ran steps, divided by the pattern's
	// duration. It can exceed 1, since steps after the end of the pattern count too.
	Utilisation float64
	// MostOverLimit is the most requests beyond what its limit allows that an engine got in
	// limitWindow, from limitLearnTime after it first named the limit, and 0 if none got
	// more. It allows limitFactor times the limit and limitExtra requests.
	MostOverLimit float64
	// BusiestEngine is the number of requests that the engine with most of them got, divided
	// by the mean.
	BusiestEngine float64
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation is the state of one simulation; times are since its start.
type simulation struct {
	pattern        *Pattern
	now            time.Duration
	events         eventHeap
	seq            int
	engines        []*engine
	routers        []dispatcher
	queued         map[admit.ID]*request
	inFlight       map[admit.ID]*request
	lastID         admit.ID
	engineIndex    map[ids.Target]int
	prefilledParts map[uint64]bool
	servedWorth    map[ids.Workspace]float64
	requests       map[ids.Workspace]int
	shares         shareRecord
	// turnedAwayAt is when an engine last turned an attempt of a router away.
	turnedAwayAt map[[2]int]time.Duration
	// limits hold the requests that each engine got and its limit.
	limits []engineLimit
	// hub sums up what the routers have observed of the engines' speeds.
	hub    *speedHub
	result Result
}

// Simulate runs a pattern with a policy. Equal arguments give equal results.
func Simulate(p Pattern, policy Policy, seed uint64) Result {
	s := &simulation{
		pattern: &p, queued: make(map[admit.ID]*request), inFlight: make(map[admit.ID]*request),
		prefilledParts: make(map[uint64]bool), servedWorth: make(map[ids.Workspace]float64), requests: make(map[ids.Workspace]int),
		engineIndex: make(map[ids.Target]int), turnedAwayAt: make(map[[2]int]time.Duration), hub: newSpeedHub(), result: Result{Pattern: p.Name, Policy: policy},
	}
	for i, t := range newTargets(&p) {
		s.engineIndex[t.ID] = i
	}
	for range p.Engines {
		s.limits = append(s.limits, engineLimit{})
		s.engines = append(s.engines, &engine{spec: p.Spec, cache: partCache{limitTokens: p.Spec.MemoryTokens}})
	}
	for i := range p.Routers {
		if policy == Admit {
			s.routers = append(s.routers, newAdmitDispatcher(&p, i))
		} else {
			s.routers = append(s.routers, newBaselineDispatcher(policy, &p, i))
		}
	}
	for _, r := range p.generate(rand.New(rand.NewPCG(seed, 1))) {
		s.schedule(r.arrivedAt, func() { s.submit(r) })
	}
	s.scheduleEvery(cmp.Or(p.ReportInterval, reportInterval), s.exchangeReports)
	s.scheduleEvery(pollInterval, s.pollRouters)
	s.scheduleFailures()
	s.runUntil(p.Duration + 20*time.Second)
	return s.summarize()
}

// schedule adds an event that calls run after a delay. Events of the same time run in the
// order in which they were scheduled.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + delay, seq: s.seq, run: run})
}

func (s *simulation) scheduleEvery(interval time.Duration, run func()) {
	s.schedule(interval, func() {
		run()
		s.scheduleEvery(interval, run)
	})
}

func (s *simulation) runUntil(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

func (s *simulation) virtualTime() time.Time { return epoch.Add(s.now) }

func (s *simulation) submit(r *request) {
	if r.isFirstAttempt {
		s.result.Requests++
		s.requests[r.Workspace]++
		r.ArrivedAt = s.virtualTime()
		r.Deadline = r.ArrivedAt.Add(r.kind.Deadline)
	}
	r.attempts++
	s.shares.recordRequested(s.now, r)
	s.lastID++
	r.ID = s.lastID
	s.applyVerdict(r, s.routers[r.router].submit(s.virtualTime(), r))
}

func (s *simulation) applyVerdict(r *request, v admit.Verdict) {
	switch {
	case v.Waiting:
		s.queued[r.ID] = r
	case v.Refused != "":
		s.retryOrRefuse(r, v.RetryAfter)
	default:
		s.dispatch(r, v)
	}
}

// retryOrRefuse schedules the caller's retry at another router after the given delay,
// or counts the request as refused after maxAttempts attempts or where the delay is
// more than a third of the time left until the deadline.
func (s *simulation) retryOrRefuse(r *request, after time.Duration) {
	s.shares.recordDenied(s.now, r)
	remaining := r.arrivedAt + r.kind.Deadline - s.now
	if r.attempts >= maxAttempts || after > remaining/3 {
		s.result.Refused++
		return
	}
	r.isFirstAttempt = false
	s.schedule(after, func() {
		r.router = (r.router + 1) % r.routersReached
		s.submit(r)
	})
}

func (s *simulation) dispatch(r *request, v admit.Verdict) {
	s.inFlight[r.ID] = r
	i := s.engineIndex[v.Target.ID]
	if s.isDown(i) {
		s.failAttempt(r, admit.End{Result: admit.Unreachable, NotRun: true})
		return
	}
	if s.turnsAway(i) {
		s.routers[r.router].targetStated(s.virtualTime(), r.ID, admit.Statement{RetryAfter: s.pattern.RetryAfter})
		s.recordTurnedAway(r.router, i)
		s.failAttempt(r, admit.End{Result: admit.Rejected, NotRun: true})
		return
	}
	j := &job{req: r, engine: i, lastEventAt: s.now}
	id := r.ID
	s.schedule(eventTimeout, func() { s.abandonIfStalled(i, j, id) })
	if v.FetchFrom.ID == "" {
		s.enqueue(i, j)
		return
	}
	source := s.engines[s.engineIndex[v.FetchFrom.ID]]
	tokens := s.engines[i].fetchParts(source, r.Parts)
	s.schedule(transferSetupTime+s.pattern.Spec.routingConfig().FetchTime(tokens), func() {
		if s.inFlight[id] != nil {
			s.enqueue(i, j)
		}
	})
}

// enqueue adds a request to an engine's queue.
func (s *simulation) enqueue(i int, j *job) {
	if s.isDown(i) {
		s.failAttempt(j.req, admit.End{Result: admit.Failed})
		return
	}
	s.engines[i].arrivals++
	s.limits[i].arrivedAt = append(s.limits[i].arrivedAt, s.now)
	s.engines[i].waiting = append(s.engines[i].waiting, j)
	s.startStep(i)
}

// recordTurnedAway counts an attempt that an engine turned away, unless the router sent it
// together with another one and could not know yet.
func (s *simulation) recordTurnedAway(router, engine int) {
	key := [2]int{router, engine}
	if at, ok := s.turnedAwayAt[key]; !ok || at != s.now {
		s.result.TurnedAway++
	}
	s.turnedAwayAt[key] = s.now
}

func (s *simulation) isDown(i int) bool { return s.pattern.IsDown != nil && s.pattern.IsDown(i, s.now) }

// speed returns the present speed of an engine.
func (s *simulation) speed(i int) float64 {
	speed := s.pattern.Spec.speed(i)
	if s.pattern.Slowdown != nil {
		speed /= s.pattern.Slowdown(i, s.now)
	}
	return speed
}

func (s *simulation) turnsAway(i int) bool {
	return s.pattern.TurnsAway != nil && s.pattern.TurnsAway(i, s.now)
}

// failAttempt ends an attempt that an engine did not serve; the caller may retry.
func (s *simulation) failAttempt(r *request, end admit.End) {
	delete(s.inFlight, r.ID)
	s.routers[r.router].attemptEnded(s.virtualTime(), r.ID, end)
	s.retryOrRefuse(r, 100*time.Millisecond)
}

// abandonIfStalled ends a request whose caller has received no event for eventTimeout.
func (s *simulation) abandonIfStalled(i int, j *job, id admit.ID) {
	if s.inFlight[id] == nil {
		return
	}
	if s.now-j.lastEventAt < eventTimeout {
		s.schedule(eventTimeout-(s.now-j.lastEventAt), func() { s.abandonIfStalled(i, j, id) })
		return
	}
	e := s.engines[i]
	isSameJob := func(o *job) bool { return o == j }
	e.waiting = slices.DeleteFunc(e.waiting, isSameJob)
	e.running = slices.DeleteFunc(e.running, isSameJob)
	delete(s.inFlight, id)
	s.routers[j.req.router].attemptEnded(s.virtualTime(), id, admit.End{Result: admit.Canceled})
	s.result.Abandoned++
	s.shares.recordDenied(s.now, j.req)
}

// startStep starts an engine's next step unless one runs or the engine has no requests.
func (s *simulation) startStep(i int) {
	e := s.engines[i]
	if e.isStepping {
		return
	}
	e.admitWaiting(s.prefilledParts)
	if len(e.running) == 0 {
		return
	}
	e.isStepping = true
	s.schedule(e.runStep(s.speed(i)), func() {
		e.isStepping = false
		s.finishStep(i)
		s.startStep(i)
	})
}

func (s *simulation) finishStep(i int) {
	e := s.engines[i]
	if s.isDown(i) {
		for _, j := range append(e.running, e.waiting...) {
			s.failAttempt(j.req, admit.End{Result: admit.Failed})
		}
		e.running, e.waiting, e.cache = nil, nil, partCache{limitTokens: e.spec.MemoryTokens}
		return
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if j.remainingPromptTokens == 0 {
			s.addToken(j)
		}
		if j.outputTokens < j.req.OutputTokens {
			kept = append(kept, j)
			continue
		}
		s.completeRequest(j)
	}
	e.running = kept
}

func (s *simulation) addToken(j *job) {
	if !j.hasStarted {
		j.hasStarted = true
		s.nameLimit(j)
		s.routers[j.req.router].answerStarted(s.virtualTime(), j.req.ID)
		s.shares.recordBegun(s.now, j.req)
		j.longestGap = 0
		j.firstEventAt, j.lastEventAt, j.events = s.now, s.now, 1
	}
	j.outputTokens++
	if j.outputTokens%s.pattern.Spec.TokensPerEvent == 0 {
		j.longestGap = max(j.longestGap, s.now-j.lastEventAt)
		j.lastEventAt = s.now
		j.events++
	}
	if j.outputTokens == 1 {
		j.isOnTime = s.now-j.req.arrivedAt <= j.req.Objective
	}
}

func (s *simulation) completeRequest(j *job) {
	r := j.req
	delete(s.inFlight, r.ID)
	s.routers[r.router].attemptEnded(s.virtualTime(), r.ID, admit.End{Result: admit.Served, Events: j.events, Streamed: j.lastEventAt - j.firstEventAt})
	if j.isOnTime && j.longestGap <= s.pattern.EventGapObjective {
		s.result.OnTime++
		s.servedWorth[r.Workspace]++
		return
	}
	s.result.Late++
	s.servedWorth[r.Workspace] += lateResponseWorth
}

func (s *simulation) pollRouters() {
	for _, d := range s.routers {
		for _, v := range d.poll(s.virtualTime()) {
			r := s.queued[v.ID]
			if r == nil {
				continue
			}
			delete(s.queued, v.ID)
			s.applyVerdict(r, v)
		}
	}
}

// exchangeReports sends each router's load to the others, which receive it after the
// pattern's ReportDelay.
func (s *simulation) exchangeReports() {
	reports := make([]report, 0, len(s.routers))
	for _, d := range s.routers {
		from, ok := d.(admitDispatcher)
		if !ok {
			return
		}
		reports = append(reports, newReport(s.virtualTime(), from.controller))
	}
	s.schedule(s.pattern.ReportDelay, func() {
		if s.pattern.ReportsAreSummed {
			total := sumReports(reports)
			if s.now < s.pattern.SpeedsLostFrom || s.now >= s.pattern.SpeedsLostTo {
				total.speeds = s.hub.sum(s.virtualTime(), reports)
			}
			s.applyTotal(total)
			return
		}
		for i, r := range reports {
			for k, receiver := range s.routers {
				if k != i {
					receiver.(admitDispatcher).controller.ApplyPeerReport(s.virtualTime(), ids.Instance(rune('A'+i)), r.loads, r.backlogs, r.usage)
					receiver.(admitDispatcher).controller.ApplyPeerLimits(s.virtualTime(), ids.Instance(rune('A'+i)), r.limits)
					receiver.(admitDispatcher).controller.ApplyPeerSpeeds(s.virtualTime(), r.speeds)
				}
			}
		}
	})
}

func (s *simulation) applyTotal(total report) {
	for _, receiver := range s.routers {
		r := total.clone()
		receiver.(admitDispatcher).controller.ApplyFleetReport(s.virtualTime(), r.loads, r.backlogs, r.usage)
		receiver.(admitDispatcher).controller.ApplyFleetLimits(s.virtualTime(), r.limits)
		receiver.(admitDispatcher).controller.ApplyFleetSpeeds(s.virtualTime(), r.speeds)
	}
}

func (s *simulation) summarize() Result {
	r := &s.result
	r.Worth = (float64(r.OnTime) + lateResponseWorth*float64(r.Late)) / float64(max(1, r.Requests))
	r.WorstWorkspaceWorth = 1
	for ws, requests := range s.requests {
		if isFlooding := s.pattern.FloodFactor != nil && ws == "a"; !isFlooding {
			r.WorstWorkspaceWorth = min(r.WorstWorkspaceWorth, s.servedWorth[ws]/float64(requests))
		}
	}
	r.WorstShare = s.shares.worstShare()
	for i := range s.limits {
		r.MostOverLimit = max(r.MostOverLimit, s.limits[i].mostOver())
	}
	prefilled, repeated, busy := 0, 0, time.Duration(0)
	arrivals, most := 0, 0
	for _, e := range s.engines {
		prefilled += e.prefilledTokens
		repeated += e.repeatedTokens
		busy += e.busyTime
		arrivals += e.arrivals
		most = max(most, e.arrivals)
	}
	r.BusiestEngine = float64(most*len(s.engines)) / float64(max(1, arrivals))
	r.RepeatedPrefillShare = float64(repeated) / float64(max(1, prefilled))
	r.Utilisation = float64(busy) / float64(s.pattern.Duration) / float64(len(s.engines))
	return *r
}
