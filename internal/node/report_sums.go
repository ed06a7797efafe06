package node

import (
	"sync"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/admit"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// reportTTL is how long a report is included in a hub's sums.
const reportTTL = 1500 * time.Millisecond

// receivedReport is the last report of a router, with the time it was received.
type receivedReport struct {
	at     time.Time
	report *fleetv1.Report
}

// reportSums holds the reports that a hub has received and sums up.
type reportSums struct {
	mu sync.Mutex
	// routers are the reports of the routers in this hub's own domain. domains are
	// the sums of the other domains, by the hub that sent them.
	routers map[ids.Instance]receivedReport
	domains map[ids.Domain]map[ids.Instance]receivedReport
	// ownKeys and otherKeys are the keys of cached prompt parts that have not yet
	// been forwarded, from this hub's own domain and from the other domains.
	ownKeys, otherKeys hub.CachedKeys
	// ownDemand and otherDemand are the demand of the routers in this hub's own domain and
	// of the other domains, by service.
	ownDemand, otherDemand demandByService
}

func newReportSums() reportSums {
	return reportSums{
		routers:   make(map[ids.Instance]receivedReport),
		domains:   make(map[ids.Domain]map[ids.Instance]receivedReport),
		ownKeys:   make(hub.CachedKeys),
		otherKeys: make(hub.CachedKeys),
		ownDemand: make(demandByService), otherDemand: make(demandByService),
	}
}

// handleReport handles a report according to its scope and this router's role. A
// report that does not match the role is ignored.
func (f *fleet) handleReport(from peer.Peer, r *fleetv1.Report) {
	plan := f.plan.Load()
	switch {
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.FullMesh:
		d := decodeReport(r)
		f.node.scheduler.ApplyPeerReport(from.Instance, d.loads, d.backlogs, d.usage)
		f.node.scheduler.ApplyPeerLimits(from.Instance, decodeLimits(r))
		f.node.scheduler.ApplyStatements(decodeStatements(r, 0))
		f.node.coldTargets.recordReport(from.Instance, r)
		f.node.scheduler.ApplyPeerSpeeds(decodeSpeeds(r))
	case r.GetScope() == fleetv1.Scope_SCOPE_ROUTER && plan.Hub && from.Domain == f.node.settings.Domain:
		f.sums.addRouter(from.Instance, r)
		f.speeds.addRouter(time.Now(), r)
		f.node.coldTargets.recordReport(from.Instance, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_DOMAIN && plan.Hub && plan.IsHub(from.Domain, from.Instance):
		f.sums.addDomain(from.Domain, from.Instance, r)
		f.speeds.setDomain(time.Now(), from.Domain, r)
	case r.GetScope() == fleetv1.Scope_SCOPE_FLEET && plan.IsFollower():
		if plan.PreferredHub(f.node.settings.Domain, f.isLive) == from.Instance {
			f.observeHub(plan, r)
			f.applyTotal(r)
		}
	}
}

// observeHub records what a hub of this router's domain says of the list of routers.
func (f *fleet) observeHub(plan *hub.Plan, r *fleetv1.Report) {
	f.hubEra.Store(r.GetStoreEra())
	f.hubsDiffer.Store(r.GetHubsKey() != plan.HubsKey(f.node.settings.Domain))
	if n := r.GetRouters(); n > 0 {
		f.node.server.SetRouters(int(n))
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
	d := decodeReport(r)
	f.node.scheduler.ApplyFleetReport(d.loads, d.backlogs, d.usage)
	f.node.scheduler.ApplyFleetLimits(decodeLimits(r))
	f.node.scheduler.ApplyStatements(decodeStatements(r, 0))
	f.node.scheduler.ApplyFleetSpeeds(decodeSpeeds(r))
}

func (s *reportSums) addRouter(from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.routers[from] = receivedReport{at: now, report: r}
	s.ownKeys.Collect(r)
	s.ownDemand.record(now, from, r)
}

func (s *reportSums) addDomain(domain ids.Domain, from ids.Instance, r *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.domains[domain] == nil {
		s.domains[domain] = make(map[ids.Instance]receivedReport)
	}
	s.domains[domain][from] = receivedReport{at: time.Now(), report: r}
	s.otherKeys.Collect(r)
	s.otherDemand.record(time.Now(), ids.Instance(domain), r)
}

// recordLinkEnd records that the link to a router has ended.
func (s *reportSums) recordLinkEnd(name ids.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownDemand.recordLinkEnd(time.Now(), name)
}

// sendSums sends the sum of this hub's domain to the hubs of the other domains, and
// the fleet's total to the routers of its own domain.
func (f *fleet) sendSums(plan *hub.Plan, own *fleetv1.Report) {
	domain, total := f.sums.aggregate(plan, own, f.isLive)
	now := time.Now()
	f.speeds.addRouter(now, own)
	f.speeds.encode(now, domain, total)
	f.setRevisions(domain)
	f.setRevisions(total)
	addEvacuations(own, domain, total)
	total.HubsKey = plan.HubsKey(f.node.settings.Domain)
	total.Routers = uint32(f.node.server.Routers())
	self := f.node.settings.Domain
	f.broadcast(domain, func(p peer.Peer) bool { return p.Domain != self && plan.IsHub(p.Domain, p.Instance) })
	f.broadcast(total, func(p peer.Peer) bool { return p.Domain == self && !plan.IsHub(self, p.Instance) })
	f.applyTotal(total)
}

// aggregate returns the sums of this hub's domain and of the fleet, and removes
// the routers' reports that are older than reportTTL.
func (s *reportSums) aggregate(plan *hub.Plan, own *fleetv1.Report, isLive func(ids.Instance) bool) (domain, total *fleetv1.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.ownKeys.Collect(own)
	reports := []*fleetv1.Report{own}
	limits := newLimitSums(now, own)
	statements := decodeStatements(own, 0)
	for name, received := range s.routers {
		if now.Sub(received.at) > reportTTL {
			delete(s.routers, name)
			continue
		}
		reports = append(reports, received.report)
		limits.add(received)
		statements = append(statements, decodeStatements(received.report, now.Sub(received.at))...)
	}
	domain = hub.Sum(reports)
	limits.addDemand(s.ownDemand)
	limits.encode(domain)
	encodeStatements(domain, admit.SumStatements(statements))
	reports = []*fleetv1.Report{domain}
	for name, byHub := range s.domains {
		received, ok := byHub[plan.PreferredHub(name, isLive)]
		if ok && now.Sub(received.at) <= reportTTL {
			reports = append(reports, received.report)
			limits.add(received)
			statements = append(statements, decodeStatements(received.report, now.Sub(received.at))...)
		}
	}
	total = hub.Sum(reports)
	limits.addDemand(s.otherDemand)
	limits.encode(total)
	encodeStatements(total, admit.SumStatements(statements))
	s.ownKeys.AddTo(domain)
	s.ownKeys.AddTo(total)
	s.otherKeys.AddTo(total)
	s.ownKeys, s.otherKeys = make(hub.CachedKeys), make(hub.CachedKeys)
	domain.Scope, total.Scope = fleetv1.Scope_SCOPE_DOMAIN, fleetv1.Scope_SCOPE_FLEET
	return domain, total
}

// forwardQuarantine forwards, on a hub, what is new about requests that crash targets to
// the routers that have no link to the sender.
func (f *fleet) forwardQuarantine(from peer.Peer, news *quarantinev1.Message) {
	plan := f.plan.Load()
	if !plan.Hub || len(news.GetCrashes())+len(news.GetTrials()) == 0 {
		return
	}
	fromHub := plan.IsHub(from.Domain, from.Instance)
	f.mesh.Broadcast(&peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: news}}, func(p peer.Peer) bool {
		return p.Instance != from.Instance && (!fromHub || !plan.IsHub(p.Domain, p.Instance))
	})
}
