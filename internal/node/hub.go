package node

import (
	"sync"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// sumLife is how long a report counts in a hub's sums.
const sumLife = 1500 * time.Millisecond

// timedReport is the last report of a router.
type timedReport struct {
	at     time.Time
	report *fleetv1.Report
}

// sums are what a hub has heard.
type sums struct {
	mu sync.Mutex
	// routers are the reports of the own domain's routers, domains the sums of
	// the others' by the hub that told them.
	routers map[ids.Instance]timedReport
	domains map[ids.Domain]map[ids.Instance]timedReport
	// ownKeys and otherKeys are keys of cached parts not yet told, from the own
	// domain and from the others.
	ownKeys, otherKeys hub.CachedKeys
}

func newSums() sums {
	return sums{
		routers:   make(map[ids.Instance]timedReport),
		domains:   make(map[ids.Domain]map[ids.Instance]timedReport),
		ownKeys:   make(hub.CachedKeys),
		otherKeys: make(hub.CachedKeys),
	}
}

// dispatch takes a report by its scope and this router's part in the exchange.
func (f *fleet) dispatch(from peer.Peer, r *fleetv1.Report) {
	plan := f.plan.Load()
	switch {
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.Direct:
		d := decode(r)
		f.node.scheduler.ApplyPeerReport(from.Instance, d.loads, d.backlogs, d.use)
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.Hub && from.Domain == f.node.settings.Domain:
		f.sums.addRouter(from.Instance, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_DOMAIN && plan.Hub && plan.IsHub(from.Domain, from.Instance):
		f.sums.addDomain(from.Domain, from.Instance, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_FLEET && plan.Follows():
		if plan.Preferred(f.node.settings.Domain, f.isLive) == from.Instance {
			f.applyTotal(r)
		}
	}
}

func (f *fleet) isLive(i ids.Instance) bool {
	for _, p := range f.mesh.Live() {
		if p.Instance == i && !p.Draining {
			return true
		}
	}
	return false
}

func (f *fleet) applyTotal(r *fleetv1.Report) {
	d := decode(r)
	f.node.scheduler.ApplyFleetReport(d.loads, d.backlogs, d.use)
}

func (s *sums) addRouter(from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[from] = timedReport{at: time.Now(), report: r}
	s.ownKeys.Collect(r)
}

func (s *sums) addDomain(domain ids.Domain, from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains[domain] == nil {
		s.domains[domain] = make(map[ids.Instance]timedReport)
	}
	s.domains[domain][from] = timedReport{at: time.Now(), report: r}
	s.otherKeys.Collect(r)
}

// sendSums sends the own domain's sum to the other domains' hubs and the fleet's
// total to the own domain's routers.
func (f *fleet) sendSums(plan *hub.Plan, own *fleetv1.Report) {
	domain, total := f.sums.addUp(plan, own, f.isLive)
	f.setRevisions(domain)
	f.setRevisions(total)
	self := f.node.settings.Domain
	f.broadcast(domain, func(p peer.Peer) bool { return p.Domain != self && plan.IsHub(p.Domain, p.Instance) })
	f.broadcast(total, func(p peer.Peer) bool { return p.Domain == self && !plan.IsHub(self, p.Instance) })
	f.applyTotal(total)
}

// addUp returns the sums of the own domain and of the fleet.
func (s *sums) addUp(plan *hub.Plan, own *fleetv1.Report, live func(ids.Instance) bool) (domain, total *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ownKeys.Collect(own)
	parts := []*fleetv1.Report{own}
	for name, h := range s.routers {
		if now.Sub(h.at) > sumLife {
			delete(s.routers, name)
			continue
		}
		parts = append(parts, h.report)
	}
	domain = hub.Sum(parts)
	parts = []*fleetv1.Report{domain}
	for name, told := range s.domains {
		h, ok := told[plan.Preferred(name, live)]
		if ok && now.Sub(h.at) <= sumLife {
			parts = append(parts, h.report)
		}
	}
	total = hub.Sum(parts)
	s.ownKeys.AttachTo(domain)
	s.ownKeys.AttachTo(total)
	s.otherKeys.AttachTo(total)
	s.ownKeys, s.otherKeys = make(hub.CachedKeys), make(hub.CachedKeys)
	domain.Scope, total.Scope = fleetv1.Scope_SCOPE_DOMAIN, fleetv1.Scope_SCOPE_FLEET
	return domain, total
}

// forward sends news of requests that crash targets on to those who do not link to
// the sender: a hub's part.
func (f *fleet) forward(from peer.Peer, env *peerv1.Envelope) {
	plan := f.plan.Load()
	if !plan.Hub {
		return
	}
	fromHub := plan.IsHub(from.Domain, from.Instance)
	for _, p := range f.mesh.Live() {
		if p.Instance != from.Instance && (!fromHub || !plan.IsHub(p.Domain, p.Instance)) {
			f.mesh.Send(p.Instance, env)
		}
	}
}
