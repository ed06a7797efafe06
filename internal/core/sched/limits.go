package sched

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/limit"
	"github.com/umberhill/umberhill/internal/ids"
)

// workspaceLimiter enforces a workspace's limits. While the concurrency limit is
// reached it parks the workspace's flows, each represented in parked by one of its
// requests.
type workspaceLimiter struct {
	*limit.Limiter
	key    uint64
	parked []*request
}

// rateScale converts rates per second to the thousandths used in messages.
const rateScale = 1000

// setShares replaces the shares of all workspaces.
func (s *Scheduler) setShares(shares []Share) {
	s.shares = make(map[ids.Workspace]Share, len(shares))
	s.limitedShares = map[uint64]Share{}
	for _, sh := range shares {
		s.putShare(sh)
	}
	for _, w := range s.limiterWorkspaces() {
		s.updateLimits(w)
	}
}

func (s *Scheduler) patchShares(p PatchShares) {
	for _, sh := range p.Put {
		s.putShare(sh)
		s.updateLimits(sh.Workspace)
	}
	for _, w := range p.Removed {
		delete(s.shares, w)
		delete(s.limitedShares, xxhash.Sum64String(string(w)))
		s.updateLimits(w)
	}
}

func (s *Scheduler) putShare(sh Share) {
	key := xxhash.Sum64String(string(sh.Workspace))
	s.shares[sh.Workspace] = sh
	delete(s.limitedShares, key)
	if limit.HasFleetLimits(sh.Limits) {
		s.limitedShares[key] = sh
	}
}

// updateLimits passes the present limits to a workspace's limiter, if it has one.
func (s *Scheduler) updateLimits(w ids.Workspace) {
	l := s.limiters[w]
	if l == nil {
		return
	}
	l.SetLimits(s.now, s.shares[w].Limits)
	s.unpark(l)
}

// limiterWorkspaces returns the workspaces that have a limiter, in order of name.
func (s *Scheduler) limiterWorkspaces() []ids.Workspace {
	out := make([]ids.Workspace, 0, len(s.limiters))
	for w := range s.limiters {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// limiterOf returns the limiter of a workspace and creates it if necessary. It
// returns nil if the contract has no limits.
func (s *Scheduler) limiterOf(w ids.Workspace) *workspaceLimiter {
	l := s.limiters[w]
	limits := s.shares[w].Limits
	if l != nil || !limit.HasFleetLimits(limits) {
		return l
	}
	l = &workspaceLimiter{Limiter: limit.NewLimiter(s.now, w, limits), key: xxhash.Sum64String(string(w))}
	l.SetRouters(len(s.routerNames))
	s.limiters[w] = l
	return l
}

// parkIfLimited parks the flow of a request if its workspace has reached its
// concurrency limit.
func (s *Scheduler) parkIfLimited(r *request) {
	l := s.limiters[r.Workspace]
	if l == nil || l.CanRun(s.now) {
		return
	}
	flow := r.pool.queue.Flow(r.queueAccount.Key)
	if flow == nil || flow.IsParked() {
		return
	}
	r.pool.queue.SetParked(r.queueAccount.Key, true)
	if len(l.parked) == 0 {
		s.parkedLimiters = append(s.parkedLimiters, l)
	}
	l.parked = append(l.parked, r)
	s.maybeIdle = append(s.maybeIdle, r)
}

// unparkAll unparks the flows of all workspaces that may run more requests.
func (s *Scheduler) unparkAll() {
	limiters := s.parkedLimiters
	s.parkedLimiters = nil
	for _, l := range limiters {
		s.unpark(l)
		if len(l.parked) > 0 {
			s.parkedLimiters = append(s.parkedLimiters, l)
		}
	}
}

// unpark unparks the flows of a workspace if it may run more requests.
func (s *Scheduler) unpark(l *workspaceLimiter) {
	if len(l.parked) == 0 || !l.CanRun(s.now) {
		return
	}
	for _, r := range l.parked {
		r.pool.queue.SetParked(r.queueAccount.Key, false)
		s.markPoolDirty(r.pool)
		if flow := r.pool.queue.Flow(r.queueAccount.Key); flow != nil {
			if e := flow.Next(); e != nil {
				s.maybeBacklogged = append(s.maybeBacklogged, e.Value.(*request))
			}
		}
	}
	l.parked = nil
}

// reportLimits reports this router's use of limited workspaces to their homes.
// Where this router is the home, the quota is applied directly.
func (s *Scheduler) reportLimits() {
	for _, w := range s.limiterWorkspaces() {
		l := s.limiters[w]
		u, ok := l.Report(s.now)
		if !ok {
			continue
		}
		home := s.liveRouters.Pick(l.key)
		if home == s.settings.Self {
			s.limitHome.SetUsage(s.now, s.settings.Self, l.key, u)
			l.ApplyQuota(s.now, s.limitHome.QuotaFor(s.now, s.settings.Self, l.key, s.shares[w].Limits, len(s.routerNames)))
			s.unpark(l)
			continue
		}
		if home != "" {
			appendUsage(s.message(home), l.key, u)
		}
	}
}

func appendUsage(m *schedv1.Message, key uint64, u limit.Usage) {
	if m.Usage == nil {
		m.Usage = &schedv1.Usage{}
	}
	m.Usage.Keys = append(m.Usage.Keys, key)
	m.Usage.Units = append(m.Usage.Units, uint64(math.Round(u.Units)))
	m.Usage.Held = append(m.Usage.Held, uint32(u.Held))
	m.Usage.Offered = append(m.Usage.Offered, uint32(math.Round(u.Offered*rateScale)))
}

// receiveLimits merges a peer's usage, as the home of the workspaces, and applies
// the quotas that the peer sent as home.
func (s *Scheduler) receiveLimits(from ids.Instance, m *schedv1.Message) {
	if u := m.GetUsage(); u != nil {
		s.mergeUsage(from, u)
	}
	if q := m.GetQuota(); q != nil {
		s.applyQuota(q)
	}
}

// mergeUsage merges a peer's usage of limited workspaces. The resulting quotas are
// sent in the next round.
func (s *Scheduler) mergeUsage(from ids.Instance, u *schedv1.Usage) {
	n := len(u.GetKeys())
	if len(u.GetUnits()) != n || len(u.GetHeld()) != n || len(u.GetOffered()) != n {
		return
	}
	out := &schedv1.Quota{}
	for i, k := range u.GetKeys() {
		sh, ok := s.limitedShares[k]
		if !ok {
			continue
		}
		s.limitHome.SetUsage(s.now, from, k, limit.Usage{
			Units: float64(u.GetUnits()[i]), Held: int(u.GetHeld()[i]), Offered: float64(u.GetOffered()[i]) / rateScale,
		})
		appendQuota(out, k, s.limitHome.QuotaFor(s.now, from, k, sh.Limits, len(s.routerNames)))
	}
	p := s.peer(from)
	if p.nextQuota == nil {
		s.quotaPeers = append(s.quotaPeers, p)
	}
	p.nextQuota = out
}

func appendQuota(m *schedv1.Quota, key uint64, q limit.Quota) {
	m.Keys = append(m.Keys, key)
	m.OthersUnits = append(m.OthersUnits, uint64(math.Round(q.OthersUnits)))
	m.OthersHeld = append(m.OthersHeld, uint32(q.OthersHeld))
	m.Concurrency = append(m.Concurrency, uint32(q.Concurrency))
	m.Rate = append(m.Rate, uint32(math.Round(q.Rate*rateScale)))
}

// applyQuota applies the quotas of the workspaces that have a limiter here.
func (s *Scheduler) applyQuota(q *schedv1.Quota) {
	n := len(q.GetKeys())
	if len(q.GetOthersUnits()) != n || len(q.GetOthersHeld()) != n || len(q.GetConcurrency()) != n || len(q.GetRate()) != n {
		return
	}
	for i, k := range q.GetKeys() {
		w, ok := s.workspaceOf(k)
		if !ok {
			continue
		}
		s.limiters[w].ApplyQuota(s.now, limit.Quota{
			OthersUnits: float64(q.GetOthersUnits()[i]), OthersHeld: int(q.GetOthersHeld()[i]),
			Concurrency: int(q.GetConcurrency()[i]), Rate: float64(q.GetRate()[i]) / rateScale,
		})
		s.unpark(s.limiters[w])
	}
}

// workspaceOf returns the workspace of a key, and false if it has no limiter here.
func (s *Scheduler) workspaceOf(key uint64) (ids.Workspace, bool) {
	sh, ok := s.limitedShares[key]
	if !ok || s.limiters[sh.Workspace] == nil {
		return "", false
	}
	return sh.Workspace, true
}
