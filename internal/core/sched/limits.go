package sched

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/limit"
	"github.com/umberhill/umberhill/internal/ids"
)

// gate is a workspace's limits and the requests they hold up.
type gate struct {
	*limit.Limiter
	key    uint64
	parked []*request
}

// milli is the scale of rates in messages.
const milli = 1000

func (s *Scheduler) setShares(shares []Share) {
	s.shares = make(map[ids.Workspace]Share, len(shares))
	s.limited = map[uint64]Share{}
	for _, sh := range shares {
		s.putShare(sh)
	}
	for _, w := range s.gateNames() {
		s.limitsChanged(w)
	}
}

func (s *Scheduler) patchShares(p PatchShares) {
	for _, sh := range p.Put {
		s.putShare(sh)
		s.limitsChanged(sh.Workspace)
	}
	for _, w := range p.Removed {
		delete(s.shares, w)
		delete(s.limited, xxhash.Sum64String(string(w)))
		s.limitsChanged(w)
	}
}

func (s *Scheduler) putShare(sh Share) {
	key := xxhash.Sum64String(string(sh.Workspace))
	s.shares[sh.Workspace] = sh
	delete(s.limited, key)
	if limit.HasFleetLimits(sh.Limits) {
		s.limited[key] = sh
	}
}

// limitsChanged tells a workspace's gate, if it has one, of its limits.
func (s *Scheduler) limitsChanged(w ids.Workspace) {
	g := s.gates[w]
	if g == nil {
		return
	}
	g.SetLimits(s.now, s.shares[w].Limits)
	s.unpark(g)
}

func (s *Scheduler) gateNames() []ids.Workspace {
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
	g.SetRouters(len(s.names))
	s.gates[w] = g
	return g
}

// parkIfLimited passes over the line of a request while its workspace may run
// no more requests at a time.
func (s *Scheduler) parkIfLimited(r *request) {
	g := s.gates[r.Workspace]
	if g == nil || g.CanRun(s.now) {
		return
	}
	l := r.pool.queue.Line(r.line.Key)
	if l == nil || l.Parked() {
		return
	}
	r.pool.queue.Park(r.line.Key, true)
	if len(g.parked) == 0 {
		s.parked = append(s.parked, g)
	}
	g.parked = append(g.parked, r)
	s.drained = append(s.drained, r)
}

// unparkAll looks at all workspaces that wait for their limits.
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

// unpark takes the lines of a workspace up again if it may run more.
func (s *Scheduler) unpark(g *gate) {
	if len(g.parked) == 0 || !g.CanRun(s.now) {
		return
	}
	for _, r := range g.parked {
		r.pool.queue.Park(r.line.Key, false)
		s.markPool(r.pool)
		if l := r.pool.queue.Line(r.line.Key); l != nil {
			if e := l.Oldest(); e != nil {
				s.pushed = append(s.pushed, e.Value.(*request))
			}
		}
	}
	g.parked = nil
}

// reportLimits tells the homes of limited workspaces what this router uses,
// and answers as home.
func (s *Scheduler) reportLimits() {
	for _, w := range s.gateNames() {
		g := s.gates[w]
		u, ok := g.Report(s.now)
		if !ok {
			continue
		}
		home := s.live.Pick(g.key)
		if home == s.cfg.Self {
			s.quota.Merge(s.now, s.cfg.Self, g.key, u)
			g.ApplyQuota(s.now, s.quota.QuotaFor(s.now, s.cfg.Self, g.key, s.shares[w].Limits, len(s.names)))
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
	m.Usage.Offered = append(m.Usage.Offered, uint32(math.Round(u.Offered*milli)))
}

// receiveLimits merges usage as home, answering with the next round, and takes
// in quotas.
func (s *Scheduler) receiveLimits(from ids.Instance, m *schedv1.Message) {
	if u := m.GetUsage(); u != nil {
		s.mergeUsage(from, u)
	}
	if q := m.GetQuota(); q != nil {
		s.takeQuota(q)
	}
}

func (s *Scheduler) mergeUsage(from ids.Instance, u *schedv1.Usage) {
	n := len(u.GetKeys())
	if len(u.GetUnits()) != n || len(u.GetHeld()) != n || len(u.GetOffered()) != n {
		return
	}
	out := &schedv1.Quota{}
	for i, k := range u.GetKeys() {
		l, ok := s.limited[k]
		if !ok {
			continue
		}
		s.quota.Merge(s.now, from, k, limit.Usage{
			Units: float64(u.GetUnits()[i]), Held: int(u.GetHeld()[i]), Offered: float64(u.GetOffered()[i]) / milli,
		})
		appendQuota(out, k, s.quota.QuotaFor(s.now, from, k, l.Limits, len(s.names)))
	}
	p := s.peer(from)
	if p.quota == nil {
		s.quotas = append(s.quotas, p)
	}
	p.quota = out
}

func appendQuota(m *schedv1.Quota, key uint64, q limit.Quota) {
	m.Keys = append(m.Keys, key)
	m.OthersUnits = append(m.OthersUnits, uint64(math.Round(q.OthersUnits)))
	m.OthersHeld = append(m.OthersHeld, uint32(q.OthersHeld))
	m.Concurrency = append(m.Concurrency, uint32(q.Concurrency))
	m.Rate = append(m.Rate, uint32(math.Round(q.Rate*milli)))
}

func (s *Scheduler) takeQuota(q *schedv1.Quota) {
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
			Concurrency: int(q.GetConcurrency()[i]), Rate: float64(q.GetRate()[i]) / milli,
		})
		s.unpark(s.gates[w])
	}
}

// workspaceOf returns the workspace of a key that has a gate here.
func (s *Scheduler) workspaceOf(key uint64) (ids.Workspace, bool) {
	sh, ok := s.limited[key]
	if !ok || s.gates[sh.Workspace] == nil {
		return "", false
	}
	return sh.Workspace, true
}
