package admit

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/umberhill/umberhill/internal/core/share"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/routing"
)

const (
	// patience is the part of a request's time after which it is refused if it
	// still waits, so that the caller has time to come back.
	patience = 0.25
	// retryFirst and retryLast bound the Retry-After of a refusal.
	retryFirst = 300 * time.Millisecond
	retryLast  = 4 * time.Second
	// retrySpread spreads the returns of callers that were refused together.
	retrySpread = 0.5
	// noTargetRetry is the Retry-After where a service has no usable target:
	// about the time of a target's restart.
	noTargetRetry = time.Second
	// startShare is the part of the objective that must be left for a request
	// to be taken into the line.
	startShare = 0.9
	// fullLife is how long the finding holds that no target has room for
	// workspaces beyond their share, so that a flood costs no look each.
	fullLife = 5 * time.Millisecond
	// maxLooks bounds the requests at the head of a line for which a target is
	// looked for at a time.
	maxLooks = 24
	// maxLine bounds the requests that wait for one service.
	maxLine = 2000
)

// Options of a Line.
type Options struct {
	// Domain of this router.
	Domain ids.Domain
	// Window over which fair shares are kept.
	Window time.Duration
	// Seed of the spread of Retry-After.
	Seed uint64
}

// Line is the state machine of one router. It is not safe for concurrent use.
type Line struct {
	opts     Options
	random   *rand.Rand
	window   *share.Window
	services map[string]*service
	targets  map[ids.Target]*target
	flights  map[ID]*flight
	// news are changes of what is believed of targets, until taken.
	news []News
	// throughput of all engines in tokens a second, 0 where not known.
	throughput float64
}

// New returns an empty line.
func New(o Options) *Line {
	return &Line{
		opts:     o,
		random:   rand.New(rand.NewPCG(o.Seed, o.Seed^0x9e3779b97f4a7c15)),
		window:   share.New(o.Window),
		services: make(map[string]*service),
		targets:  make(map[ids.Target]*target),
		flights:  make(map[ID]*flight),
	}
}

// SetConfig takes a configuration into account.
func (l *Line) SetConfig(c *routing.Config) {
	l.throughput = c.Limits.TokensPerSecond
	for name, conf := range c.Services {
		l.service(name).conf = conf
	}
	l.setPriors()
}

// SetTargets replaces the known targets. A later run of a target starts with
// nothing of what was known of the earlier one.
func (l *Line) SetTargets(all []routing.Target) {
	for _, s := range l.services {
		s.targets = nil
	}
	seen := make(map[ids.Target]bool, len(all))
	for _, t := range all {
		seen[t.ID] = true
		known := l.targets[t.ID]
		if known == nil || !known.SameRun(t) {
			known = newTarget(t)
			l.targets[t.ID] = known
		}
		known.Target = t
		s := l.service(t.Service)
		s.targets = append(s.targets, known)
	}
	for id := range l.targets {
		if !seen[id] {
			delete(l.targets, id)
		}
	}
	for _, s := range l.services {
		slices.SortFunc(s.targets, func(a, b *target) int { return compare(a.ID, b.ID) })
	}
	l.setPriors()
}

func compare(a, b ids.Target) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// setPriors derives the reading rate expected of an engine until it is learned.
func (l *Line) setPriors() {
	engines := 0
	for _, s := range l.services {
		if s.engine() {
			engines += len(s.targets)
		}
	}
	for _, s := range l.services {
		if s.fit != nil || (s.engine() && engines == 0) {
			continue
		}
		prior := 0.0
		if s.engine() {
			prior = l.throughput / float64(engines) / 1000
		}
		s.fit = newFit(prior)
	}
}

func (l *Line) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{name: name, backlog: make(map[ids.Instance]peerBacklog), saturated: make(map[time.Duration]saturation)}
		l.services[name] = s
	}
	return s
}

// Submit decides on a request: it goes to a target, waits, or is refused.
func (l *Line) Submit(now time.Time, r Request) Verdict {
	s := l.services[r.Service]
	if s == nil || s.fit == nil {
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: l.spread(noTargetRetry)}
	}
	s.noteObjective(now, r.Objective)
	if s.engine() {
		l.window.Ask(now, r.Workspace, r.tokens())
	}
	rank := l.rank(now, s, &r)
	if rank == share.Beyond {
		return l.submitBeyond(now, s, &r)
	}
	c, found := s.choose(now, &r, l.opts.Domain, rank)
	if !found {
		return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: l.spread(noTargetRetry)}
	}
	wait := s.lineWait(now)
	c.inputs.LineWait = wait
	if c.room && !s.line.before(rank) {
		return l.send(now, s, &r, c)
	}
	return l.hold(now, s, &r, c, wait)
}

// Hopeless tells whether a request is refused without a look at the targets,
// because one like it just was: its workspace has had its share and no target had
// room for such, or it could not have been in time either.
func (l *Line) Hopeless(now time.Time, r Request) (Verdict, bool) {
	s := l.services[r.Service]
	if s == nil || !s.engine() {
		return Verdict{}, false
	}
	sat := s.saturated[r.Objective]
	full, late := now.Before(s.full), now.Before(sat.until)
	if !full && !late {
		return Verdict{}, false
	}
	rank := l.rank(now, s, &r)
	switch {
	case full && rank == share.Beyond:
		l.window.Ask(now, r.Workspace, r.tokens())
		return l.submitBeyond(now, s, &r), true
	case late && rank >= sat.rank:
		l.window.Ask(now, r.Workspace, r.tokens())
		return Verdict{ID: r.ID, Refused: Saturated, RetryAfter: l.spread(sat.back), Inputs: Inputs{Rank: rank, LineWait: sat.back}}, true
	}
	return Verdict{}, false
}

// submitBeyond decides on a request of a workspace that has had its share: it
// goes to any target that has room, and never waits.
func (l *Line) submitBeyond(now time.Time, s *service, r *Request) Verdict {
	var c candidate
	if now.After(s.full) {
		var found bool
		if c, found = s.chooseRoom(now, r, l.opts.Domain); !found {
			return Verdict{ID: r.ID, Refused: NoTarget, RetryAfter: l.spread(noTargetRetry)}
		}
		if c.room && s.line.len() == 0 {
			return l.send(now, s, r, c)
		}
		s.full = now.Add(fullLife)
	}
	c.inputs.Rank = share.Beyond
	back := l.window.Again(now, r.Workspace)
	return Verdict{ID: r.ID, Refused: BeyondShare, RetryAfter: l.spread(back), Inputs: c.inputs}
}

// hold puts a request into the line, or refuses it where it can't be in time.
func (l *Line) hold(now time.Time, s *service, r *Request, c candidate, wait time.Duration) Verdict {
	v := Verdict{ID: r.ID, Inputs: c.inputs}
	starts := now.Add(max(wait, c.wait) + c.inputs.Predicted)
	latest := r.Arrived.Add(time.Duration(startShare * float64(r.Objective)))
	switch {
	case starts.After(latest), s.line.len() >= maxLine:
		v.Refused = Saturated
	default:
		v.Waiting = true
		s.line.add(&entry{req: r, rank: c.inputs.Rank, give: giveUp(r)})
		return v
	}
	s.saturated[r.Objective] = saturation{until: now.Add(fullLife), rank: c.inputs.Rank, back: wait}
	v.RetryAfter = l.spread(wait)
	return v
}

// giveUp is when a request that still waits is refused.
func giveUp(r *Request) time.Time {
	return r.Arrived.Add(max(r.Objective, time.Duration(patience*float64(r.Deadline.Sub(r.Arrived)))))
}

func (l *Line) rank(now time.Time, s *service, r *Request) share.Rank {
	if !s.engine() {
		return share.Owed
	}
	return l.window.Rank(now, r.Workspace, r.tokens(), l.throughput)
}

func (l *Line) spread(d time.Duration) time.Duration {
	d = min(max(d, retryFirst), retryLast)
	return d + time.Duration(l.random.Float64()*retrySpread*float64(d))
}

func (l *Line) send(now time.Time, s *service, r *Request, c candidate) Verdict {
	t := c.target
	f := &flight{req: r, target: t, sent: now, uncached: c.uncached, ahead: c.ahead}
	l.flights[r.ID] = f
	t.running++
	t.pending += f.uncached
	t.memory += r.Prompt + r.Output
	t.health.sent(r.ID)
	if s.engine() {
		l.window.Start(now, r.Workspace, r.tokens())
		t.cache.send(now, r.Parts)
	}
	return Verdict{ID: r.ID, Target: t.Target, Inputs: c.inputs}
}

// Began tells that a request's answer began: at an engine, its prompt has been
// read.
func (l *Line) Began(now time.Time, id ID) {
	f := l.flights[id]
	if f == nil || f.began {
		return
	}
	f.began, f.beganAt = true, now
	f.target.pending -= f.uncached
	s := l.services[f.req.Service]
	if s == nil || !s.engine() {
		return
	}
	took := now.Sub(f.sent)
	f.target.observeSlowness(now, took, s.fit.predict(f.ahead))
	s.fit.observe(f.ahead, took)
}

// Ended tells that a request has left its target.
func (l *Line) Ended(now time.Time, id ID, result Result) {
	f := l.flights[id]
	if f == nil {
		return
	}
	delete(l.flights, id)
	t := f.target
	t.running--
	t.memory -= f.req.Prompt + f.req.Output
	if !f.began {
		t.pending -= f.uncached
	}
	was := t.health.refusals
	t.health.result(now, id, result)
	if (was == 0) != (t.health.refusals == 0) {
		l.news = append(l.news, News{Target: t.ID, Reachable: t.health.refusals == 0, FailRate: t.health.rate(now)})
	}
	if s := l.services[f.req.Service]; s != nil && result == Served {
		took := now.Sub(f.sent)
		if !s.engine() {
			t.observeSlowness(now, took, s.fit.duration())
		}
		s.fit.ended(took)
	}
}

// TakeNews returns the changes of what is believed of targets since the last
// call.
func (l *Line) TakeNews() []News {
	news := l.news
	l.news = nil
	return news
}

// Withdraw takes a request out of the line and tells whether it was there.
func (l *Line) Withdraw(id ID) bool {
	for _, s := range l.services {
		if s.line.remove(id) {
			return true
		}
	}
	return false
}

// Waiting returns the number of requests in the line.
func (l *Line) Waiting() int {
	n := 0
	for _, s := range l.services {
		n += s.line.len()
	}
	return n
}

// Poll decides on the requests in the line, as far as they can be decided.
func (l *Line) Poll(now time.Time) []Verdict {
	var out []Verdict
	for _, s := range l.services {
		if s.line.len() > 0 {
			out = l.pollService(now, s, out)
		}
	}
	return out
}

func (l *Line) pollService(now time.Time, s *service, out []Verdict) []Verdict {
	s.line.order(now, func(r *Request) share.Rank { return l.rank(now, s, r) })
	kept := s.line.waiting[:0]
	waiting := s.line.waiting
	for i, e := range waiting {
		v, decided := l.decide(now, s, e, i < maxLooks)
		if decided {
			out = append(out, v)
			continue
		}
		kept = append(kept, e)
	}
	clear(waiting[len(kept):])
	s.line.waiting = kept
	return out
}

// decide looks for a target for a waiting request, or only at its time.
func (l *Line) decide(now time.Time, s *service, e *entry, look bool) (Verdict, bool) {
	if !look && now.Before(e.give) {
		return Verdict{}, false
	}
	c, found := s.choose(now, e.req, l.opts.Domain, e.rank)
	if found && c.room {
		return l.send(now, s, e.req, c), true
	}
	if now.Before(e.give) {
		return Verdict{}, false
	}
	v := Verdict{ID: e.req.ID, Refused: Expired, RetryAfter: l.spread(s.lineWait(now)), Inputs: c.inputs}
	if !found {
		v.Refused = NoTarget
	}
	return v, true
}

// Report takes a peer's load, backlog and use of workspaces.
func (l *Line) Report(now time.Time, peer ids.Instance, loads []Load, backlogs []Backlog, use map[ids.Workspace]share.Use) {
	said := make(map[ids.Target]bool, len(loads))
	for _, load := range loads {
		said[load.Target] = true
		if t := l.targets[load.Target]; t != nil {
			t.hear(now, peer, load, false)
			for _, key := range load.Cached {
				t.cache.touch(now, key)
			}
		}
	}
	for id, t := range l.targets {
		if _, had := t.peers[peer]; had && !said[id] {
			t.hear(now, peer, Load{}, true)
		}
	}
	for _, s := range l.services {
		delete(s.backlog, peer)
	}
	for _, b := range backlogs {
		if s := l.services[b.Service]; s != nil {
			s.backlog[peer] = peerBacklog{at: now, Backlog: b}
		}
	}
	l.window.Report(now, peer, use)
}

// fleetPeer stands for all other routers where their sum is reported.
const fleetPeer ids.Instance = "the fleet"

// ReportTotal takes the sum of the fleet, in which this router's own state is
// included as it was a moment ago.
func (l *Line) ReportTotal(now time.Time, loads []Load, backlogs []Backlog, use map[ids.Workspace]share.Use) {
	for i := range loads {
		if t := l.targets[loads[i].Target]; t != nil {
			loads[i].Running = max(0, loads[i].Running-t.running)
			loads[i].Pending = max(0, loads[i].Pending-t.pending)
			loads[i].Memory = max(0, loads[i].Memory-t.memory)
		}
	}
	for i := range backlogs {
		if s := l.services[backlogs[i].Service]; s != nil {
			backlogs[i].Requests = max(0, backlogs[i].Requests-s.line.len())
			backlogs[i].Tokens = max(0, backlogs[i].Tokens-s.line.tokens())
		}
	}
	for ws, own := range l.window.Own(now) {
		if u, ok := use[ws]; ok {
			use[ws] = share.Use{Asked: max(0, u.Asked-own.Asked), Started: max(0, u.Started-own.Started)}
		}
	}
	l.Report(now, fleetPeer, loads, backlogs, use)
}

// Own returns this router's load, backlog and use for a report to all peers.
// News of cached parts are in one report only.
func (l *Line) Own(now time.Time) ([]Load, []Backlog, map[ids.Workspace]share.Use) {
	var loads []Load
	for id, t := range l.targets {
		news := t.cache.takeNews()
		if t.running > 0 || len(news) > 0 {
			loads = append(loads, Load{Target: id, Running: t.running, Pending: t.pending, Memory: t.memory, Cached: news})
		}
	}
	var backlogs []Backlog
	for name, s := range l.services {
		if n := s.line.len(); n > 0 {
			backlogs = append(backlogs, Backlog{Service: name, Requests: n, Tokens: s.line.tokens()})
		}
	}
	return loads, backlogs, l.window.Own(now)
}
