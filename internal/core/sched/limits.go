package sched

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/limit"
	"github.com/umberhill/umberhill/internal/ids"
)

// gate enforces a workspace's limits. While the concurrency limit is reached it
// parks the workspace's flows, each represented in parked by one of its requests.
type gate struct {
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
	for _, w := range s.gateWorkspaces() {
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

// updateLimits passes the present limits to a workspace's gate, if it has one.
func (s *Scheduler) updateLimits(w ids.Workspace) {
	g := s.gates[w]
	if g == nil {
		return
	}
	g.SetLimits(s.now, s.shares[w].Limits)
	s.unpark(g)
}

// gateWorkspaces returns the workspaces that have a gate, in order of name.
func (s *Scheduler) gateWorkspaces() []ids.Workspace {
	out := make([]ids.Workspace, 0, len(s.gates))
	for w := range s.gates {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// gate returns the gate of a workspace, nil if its contract has no limits.
func (s *Scheduler) gate(w ids.Workspace) *gate {
	g := s.gates[w]
	l := s.shares[w].Limits
	if g != nil || !limit.HasFleetLimits(l) {
		return g
	}
	g = &gate{Limiter: limit.NewLimiter(s.now, w, l), key: xxhash.Sum64String(string(w))}
	g.SetRouters(len(s.routerNames))
	s.gates[w] = g
	return g
}

// parkIfLimited parks the flow of a request if its workspace has reached its
// concurrency limit.
func (s *Scheduler) parkIfLimited(r *request) {
	g := s.gates[r.Workspace]
	if g == nil || g.CanRun(s.now) {
		return
	}
	flow := r.pool.queue.Flow(r.queueAccount.Key)
	if flow == nil || flow.Parked() {
		return
	}
	r.pool.queue.SetParked(r.queueAccount.Key, true)
	if len(g.parked) == 0 {
		s.parked = append(s.parked, g)
	}
	g.parked = append(g.parked, r)
	s.maybeIdle = append(s.maybeIdle, r)
}

// unparkAll unparks the flows of all workspaces that may run more requests again.
func (s *Scheduler) unparkAll() {
	gates := s.parked
	s.parked = nil
	for _, g := range gates {
		s.unpark(g)
		if len(g.parked) > 0 {
			s.parked = append(s.parked, g)
		}
	}
}

// unpark unparks the flows of a workspace if it may run more requests.
func (s *Scheduler) unpark(g *gate) {
	if len(g.parked) == 0 || !g.CanRun(s.now) {
		return
	}
	for _, r := range g.parked {
		r.pool.queue.SetParked(r.queueAccount.Key, false)
		s.markPoolDirty(r.pool)
		if flow := r.pool.queue.Flow(r.queueAccount.Key); flow != nil {
			if e := flow.Next(); e != nil {
				s.maybeBacklogged = append(s.maybeBacklogged, e.Value.(*request))
			}
		}
	}
	g.parked = nil
}

// reportLimits reports to the homes of limited workspaces what this router uses.
// Where this router is the home, the quota is applied directly.
func (s *Scheduler) reportLimits() {
	for _, w := range s.gateWorkspaces() {
		g := s.gates[w]
		u, ok := g.Report(s.now)
		if !ok {
			continue
		}
		home := s.liveRouters.Pick(g.key)
		if home == s.settings.Self {
			s.limitHome.SetUsage(s.now, s.settings.Self, g.key, u)
			g.ApplyQuota(s.now, s.limitHome.QuotaFor(s.now, s.settings.Self, g.key, s.shares[w].Limits, len(s.routerNames)))
			s.unpark(g)
			continue
		}
		if home != "" {
			appendUsage(s.message(home), g.key, u)
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
		l, ok := s.limitedShares[k]
		if !ok {
			continue
		}
		s.limitHome.SetUsage(s.now, from, k, limit.Usage{
			Units: float64(u.GetUnits()[i]), Held: int(u.GetHeld()[i]), Offered: float64(u.GetOffered()[i]) / rateScale,
		})
		appendQuota(out, k, s.limitHome.QuotaFor(s.now, from, k, l.Limits, len(s.routerNames)))
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

// applyQuota applies the quotas of the workspaces that have a gate here.
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
		s.gates[w].ApplyQuota(s.now, limit.Quota{
			OthersUnits: float64(q.GetOthersUnits()[i]), OthersHeld: int(q.GetOthersHeld()[i]),
			Concurrency: int(q.GetConcurrency()[i]), Rate: float64(q.GetRate()[i]) / rateScale,
		})
		s.unpark(s.gates[w])
	}
}

// workspaceOf returns the workspace of a key, and false if it has no gate here.
func (s *Scheduler) workspaceOf(key uint64) (ids.Workspace, bool) {
	sh, ok := s.limitedShares[key]
	if !ok || s.gates[sh.Workspace] == nil {
		return "", false
	}
	return sh.Workspace, true
}
