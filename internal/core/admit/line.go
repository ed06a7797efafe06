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
