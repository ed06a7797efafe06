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

// heardReport is the last report of a router.
type heardReport struct {
	at     time.Time
	report *fleetv1.Report
}

// sums are what a hub has heard.
type sums struct {
	mu sync.Mutex
	// routers are the reports of the own domain's routers, domains the sums of
	// the others' by the hub that told them.
	routers map[ids.Instance]heardReport
	domains map[ids.Domain]map[ids.Instance]heardReport
	// ownNews and otherNews are keys of cached parts not yet told, from the own
	// domain and from the others.
	ownNews, otherNews hub.News
}

func newSums() sums {
	return sums{
		routers:   make(map[ids.Instance]heardReport),
		domains:   make(map[ids.Domain]map[ids.Instance]heardReport),
		ownNews:   make(hub.News),
		otherNews: make(hub.News),
	}
}

// sort takes a report by its scope and this router's part in the exchange.
func (f *fleet) sort(from peer.Peer, r *fleetv1.Report) {
	plan := f.plan.Load()
	switch {
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.Direct:
		d := decode(r)
		f.node.scheduler.Report(from.Instance, d.loads, d.backlogs, d.use)
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.Hub && from.Domain == f.node.settings.Domain:
		f.sums.hearRouter(from.Instance, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_DOMAIN && plan.Hub && plan.IsHub(from.Domain, from.Instance):
		f.sums.hearDomain(from.Domain, from.Instance, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_FLEET && !plan.Direct && !plan.Hub:
		if plan.Preferred(f.node.settings.Domain, f.isLive) == from.Instance {
			f.takeTotal(r)
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

func (f *fleet) takeTotal(r *fleetv1.Report) {
	d := decode(r)
	f.node.scheduler.ReportTotal(d.loads, d.backlogs, d.use)
}

func (s *sums) hearRouter(from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.routers[from] = heardReport{at: time.Now(), report: r}
	s.ownNews.Take(r)
}

func (s *sums) hearDomain(domain ids.Domain, from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains[domain] == nil {
		s.domains[domain] = make(map[ids.Instance]heardReport)
	}
	s.domains[domain][from] = heardReport{at: time.Now(), report: r}
	s.otherNews.Take(r)
}

// tellSums sends the own domain's sum to the other domains' hubs and the fleet's
// total to the own domain's routers.
func (f *fleet) tellSums(plan *hub.Plan, own *fleetv1.Report) {
	domain, total := f.sums.addUp(plan, own, f.isLive)
	f.stamp(domain)
	f.stamp(total)
	self := f.node.settings.Domain
	f.tell(domain, func(p peer.Peer) bool { return p.Domain != self && plan.IsHub(p.Domain, p.Instance) })
	f.tell(total, func(p peer.Peer) bool { return p.Domain == self && !plan.IsHub(self, p.Instance) })
	f.takeTotal(total)
}

// addUp returns the sums of the own domain and of the fleet.
func (s *sums) addUp(plan *hub.Plan, own *fleetv1.Report, live func(ids.Instance) bool) (domain, total *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ownNews.Take(own)
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
	s.ownNews.Add(domain)
	s.ownNews.Add(total)
	s.otherNews.Add(total)
	s.ownNews, s.otherNews = make(hub.News), make(hub.News)
	domain.Scope, total.Scope = fleetv1.Scope_SCOPE_DOMAIN, fleetv1.Scope_SCOPE_FLEET
	return domain, total
}

// pass sends news of requests that crash targets on to those who do not link to
// the sender: a hub's part.
func (f *fleet) pass(from peer.Peer, env *peerv1.Envelope) {
	plan := f.plan.Load()
	if plan.Direct || !plan.Hub {
		return
	}
	fromHub := plan.IsHub(from.Domain, from.Instance)
	for _, p := range f.mesh.Live() {
		if p.Instance != from.Instance && (!fromHub || !plan.IsHub(p.Domain, p.Instance)) {
			f.mesh.Send(p.Instance, env)
		}
	}
}
