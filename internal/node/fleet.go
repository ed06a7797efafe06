package node

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/catchup"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/core/revision"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// fleetName is the fleet's name; links to routers of other fleets are refused.
	fleetName = "platform"
	// reportInterval is how often the routers of a full mesh send each other their
	// load, and hubReportInterval how often hubs and their routers do.
	reportInterval    = 50 * time.Millisecond
	hubReportInterval = 80 * time.Millisecond
	// maxSkippedReports is how many consecutive empty reports are skipped before one
	// is sent again, so that receivers can see that it is still valid.
	maxSkippedReports = 4
	// peerHeartbeatInterval is the interval of heartbeats on links. A peer that sends
	// nothing for peerTimeout is considered dead.
	peerHeartbeatInterval = 300 * time.Millisecond
	peerTimeout           = 1200 * time.Millisecond
	// maxReportedAge bounds the ages that are reported. Older state counts as of unknown age.
	maxReportedAge = time.Hour
	// methodConfig and methodTargets are the methods of calls between peers that
	// return the peer's configuration and list of targets.
	methodConfig  = "config"
	methodTargets = "targets"
)

// ConfigDecoder decodes a configuration that was pulled from a peer. It returns an
// error for an invalid configuration.
type ConfigDecoder func(raw []byte) (*routing.Config, error)

// fleet exchanges load reports, configuration and targets with other routers.
type fleet struct {
	node         *Node
	mesh         *peer.Mesh
	decodeConfig ConfigDecoder
	plan         atomic.Pointer[hub.Plan]
	sums         reportSums
	delays       reportDelays
	speeds       speedSums
	// hasRouterList is set once the plan is based on a list of routers.
	hasRouterList atomic.Bool
	// listed are the routers on the list, sorted by name.
	listed atomic.Pointer[[]ids.Instance]
	// hubsDiffer is set while the hub's list of routers gives other hubs than this router's.
	hubsDiffer atomic.Bool
	// hubEra is the store's era in the last total from a hub.
	hubEra atomic.Uint64
	// livePeers are those of the last PeersChanged, which alone uses it.
	livePeers map[ids.Instance]bool
}

// JoinFleet prepares the links to other routers. It must be called before Run, and
// does nothing if the settings have no peer address.
func (n *Node) JoinFleet(decode ConfigDecoder) {
	if n.settings.PeerAddress == "" {
		return
	}
	f := &fleet{node: n, decodeConfig: decode, sums: newReportSums(), delays: newReportDelays(n), speeds: newSpeedSums()}
	f.plan.Store(&hub.Plan{FullMesh: true})
	f.mesh = peer.New(peer.Options{
		Fleet:             fleetName,
		Self:              n.settings.Instance,
		Incarnation:       n.incarnation,
		Domain:            n.settings.Domain,
		Address:           n.settings.PeerAddress,
		HeartbeatInterval: peerHeartbeatInterval,
		Timeout:           peerTimeout,
		Handler:           f,
		NewHeartbeat:      f.newHeartbeat,
		Logger:            n.logger,
		Scope:             n.scope,
	})
	n.configState.apply, n.targetsState.apply = f.applyConfig, f.applyTargets
	n.fleet = f
}

// Router is an entry in the fleet's list of routers.
type Router struct {
	hub.Router
	// Address is the address at which the router accepts links.
	Address string
}

// SetRouters sets the routers of the fleet. The list may include this router.
func (n *Node) SetRouters(list []Router) {
	if n.fleet == nil {
		return
	}
	n.fleet.setRouters(list)
	n.server.SetRouters(len(list))
}

func (f *fleet) setRouters(list []Router) {
	all := make([]hub.Router, 0, len(list))
	byName := make(map[ids.Instance]Router, len(list))
	for _, r := range list {
		all = append(all, r.Router)
		byName[r.Instance] = r
	}
	s := f.node.settings
	plan := hub.NewPlan(hub.Router{Instance: s.Instance, Domain: s.Domain, Capacity: s.Capacity}, all)
	f.plan.Store(&plan)
	seeds := make([]settings.Seed, 0, len(plan.Links))
	for _, name := range plan.Links {
		r := byName[name]
		seeds = append(seeds, settings.Seed{Instance: string(name), Address: r.Address, Domain: string(r.Domain)})
	}
	f.mesh.SetPeers(seeds)
	f.node.scheduler.SetRouters(slices.DeleteFunc(slices.Collect(maps.Keys(byName)), func(name ids.Instance) bool { return name == s.Instance }))
	listed := slices.Sorted(maps.Keys(byName))
	f.listed.Store(&listed)
	f.hasRouterList.Store(true)
}

// listedRouters returns the routers on the list, sorted by name, none before there is a list.
func (f *fleet) listedRouters() []ids.Instance {
	if listed := f.listed.Load(); listed != nil {
		return *listed
	}
	return nil
}

func (f *fleet) newHeartbeat() *peerv1.Heartbeat {
	heartbeat := &peerv1.Heartbeat{Draining: f.node.draining.Load()}
	if c := f.node.Config(); c != nil {
		heartbeat.Revision = c.Version
	}
	return heartbeat
}

// report sends this router's load, and on a hub also the sums, at the report
// interval until ctx ends.
func (f *fleet) report(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	skipped := 0
	var last *fleetv1.Report
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		plan := f.plan.Load()
		timer.Reset(reportIntervalOf(plan))
		report := f.ownReport()
		if isEmpty(report) && isEmpty(last) && skipped < maxSkippedReports && !plan.Hub {
			skipped++
			continue
		}
		skipped, last = 0, report
		if plan.FullMesh {
			f.broadcast(report, func(peer.Peer) bool { return true })
			continue
		}
		f.broadcast(report, func(p peer.Peer) bool { return plan.IsHub(f.node.settings.Domain, p.Instance) })
		if plan.Hub {
			f.sendSums(plan, report)
		}
	}
}

func reportIntervalOf(p *hub.Plan) time.Duration {
	if p.FullMesh {
		return reportInterval
	}
	return hubReportInterval
}

// broadcast sends a report to the live peers for which isReceiver returns true.
func (f *fleet) broadcast(r *fleetv1.Report, isReceiver func(peer.Peer) bool) {
	f.mesh.Broadcast(&peerv1.Envelope{Body: &peerv1.Envelope_Fleet{Fleet: r}}, isReceiver)
}

func isEmpty(r *fleetv1.Report) bool {
	return r.GetEvacuations() == nil && r.GetSpeed() == nil && len(r.GetStreamIds()) == 0 && len(r.GetDemands()) == 0 && len(r.GetStatements()) == 0 && len(r.GetTargets()) == 0 && len(r.GetBacklogs()) == 0 && len(r.GetWorkspaces()) == 0
}

func (f *fleet) ownReport() *fleetv1.Report {
	loads, backlogs, usage := f.node.scheduler.LocalReport(f.node.loadShedder.RefuseShare())
	r := &fleetv1.Report{Evacuations: f.node.evacuations.takeReport(time.Now())}
	f.setRevisions(r)
	f.node.streamOrigins.addTo(r)
	encodeLimits(r, f.node.scheduler.LocalLimits())
	if len(r.GetDemands()) > 0 {
		for _, run := range f.node.scheduler.UnusedLeases() {
			r.UnusedLeases = append(r.UnusedLeases, uint64(run))
		}
	}
	encodeStatements(r, f.node.scheduler.LocalStatements())
	encodeSpeeds(r, f.node.scheduler.LocalSpeeds())
	for _, l := range loads {
		r.Targets = append(r.Targets, &fleetv1.TargetLoad{
			Target:  string(l.Target),
			Running: uint32(l.Running),
			Pending: uint32(max(0, l.PendingTokens)),
			Memory:  uint32(max(0, l.MemoryTokens)),
			Cached:  l.CachedKeys,
		})
	}
	for _, b := range backlogs {
		r.Backlogs = append(r.Backlogs, &fleetv1.Backlog{
			Service: b.Service, Requests: uint32(b.Requests), Tokens: uint32(b.Tokens),
		})
	}
	for ws, u := range usage {
		r.Workspaces = append(r.Workspaces, &fleetv1.WorkspaceUse{
			Workspace: string(ws), Asked: uint64(u.Requested), Started: uint64(u.Started),
		})
	}
	return r
}

// setRevisions sets the revisions of the store's state that this router holds, and as of when
// that state is complete.
func (f *fleet) setRevisions(r *fleetv1.Report) {
	now := time.Now()
	targets, targetsComplete := f.node.targetsState.claim()
	config, configComplete := f.node.configState.claim()
	targetsAge, configAge := now.Sub(targetsComplete.At), now.Sub(configComplete.At)
	r.ConfigRead, r.TargetsRead = encodeRead(configComplete.Read), encodeRead(targetsComplete.Read)
	r.ClockMs = uint32(f.node.clock(now).Milliseconds())
	r.StoreEra, r.TargetsAsOf = revision.Split(targets)
	r.ConfigVersion = config
	r.ConfigAgeMs, r.TargetsAgeMs = encodeAge(configAge), encodeAge(targetsAge)
	r.RefreshedAgeMs = ageMS(max(configAge, targetsAge))
}

// encodeAge returns the age of state for a report, nil if it is unknown.
func encodeAge(age time.Duration) *uint32 {
	if age > maxReportedAge {
		return nil
	}
	return proto.Uint32(ageMS(age))
}

// decodeAge returns the time as of which state is complete that had the reported age when the
// report was sent, zero if the report does not tell.
func decodeAge(sentAt time.Time, ms *uint32) time.Time {
	if ms == nil {
		return time.Time{}
	}
	return sentAt.Add(-time.Duration(*ms) * time.Millisecond)
}

// sendQuarantine sends a message about requests that crash targets to all linked
// routers.
func (n *Node) sendQuarantine(m *quarantinev1.Message) {
	if n.fleet == nil {
		return
	}
	n.fleet.mesh.Broadcast(&peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: m}}, func(peer.Peer) bool { return true })
}

// sendQuarantineTo sends such a message to one router.
func (n *Node) sendQuarantineTo(peer ids.Instance, m *quarantinev1.Message) {
	n.fleet.mesh.Send(peer, &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: m}})
}

// Receive implements peer.Handler.
func (f *fleet) Receive(from peer.Peer, env *peerv1.Envelope) {
	if m := env.GetQuarantine(); m != nil {
		f.forwardQuarantine(from, f.node.quarantine.Receive(from.Instance, m))
	}
	if m := env.GetLeases(); m != nil {
		f.node.coldTargets.apply(m)
	}
	report := env.GetFleet()
	if report == nil {
		return
	}
	now := time.Now()
	sentAt := now.Add(-f.delays.observe(now, from.Instance, report.GetClockMs()))
	f.node.streamOrigins.receive(report)
	f.node.evacuations.receive(sentAt, from.Instance, report)
	f.handleReport(from, report)
	targetsAsOf := revision.Join(report.GetStoreEra(), report.GetTargetsAsOf())
	f.node.configState.recordReport(now, from.Instance, catchup.Report{Revision: report.GetConfigVersion(), CompleteAt: decodeAge(sentAt, report.ConfigAgeMs), Read: decodeRead(report.GetConfigRead())})
	targets := catchup.Report{Revision: targetsAsOf, CompleteAt: decodeAge(sentAt, report.TargetsAgeMs), Read: decodeRead(report.GetTargetsRead())}
	if holdsAll := f.node.targetsState.recordReport(now, from.Instance, targets); holdsAll && !targets.CompleteAt.IsZero() {
		// This router lacks nothing of what the peer has listed.
		_, complete := f.node.targetsState.claim()
		f.node.streamOrigins.recordComplete(complete.At)
	}
}

// PeersChanged implements peer.Handler.
func (f *fleet) PeersChanged(live []peer.Peer) {
	names := make([]ids.Instance, 0, len(live))
	before := f.livePeers
	f.livePeers = make(map[ids.Instance]bool, len(live))
	for _, p := range live {
		names = append(names, p.Instance)
		f.livePeers[p.Instance] = true
		if !before[p.Instance] {
			f.node.evacuations.recordPeerJoined()
		}
	}
	f.node.quarantine.PeersChanged(names)
	for name := range before {
		if !f.livePeers[name] {
			f.node.scheduler.RecordLinkEnd(name)
			f.sums.recordLinkEnd(name)
			f.delays.recordLinkEnd(name)
			f.node.configState.recordLinkEnd(name)
			f.node.targetsState.recordLinkEnd(name)
			f.node.coldTargets.recordLinkEnd(name)
		}
	}
	f.node.logger.WithField("peers", names).Info("live routers changed")
}

// Serve implements peer.Handler.
func (f *fleet) Serve(ctx context.Context, from peer.Peer, method string, body []byte) ([]byte, error) {
	switch method {
	case methodStream, methodOwnStream:
		return f.node.streamOrigins.serve(ctx, from, method, body)
	case methodVersions:
		return f.node.streamOrigins.serveVersions(string(body))
	case methodOnlyVersion:
		return f.node.streamOrigins.serveOnlyVersion(ctx, string(body))
	case methodConfig:
		if c := f.node.Config(); c != nil {
			return c.Raw, nil
		}
		return nil, errors.New("no configuration yet")
	case methodTargets:
		list := f.node.directory.list(ctx)
		if list == nil {
			return nil, errors.New("no list of targets")
		}
		return proto.Marshal(list)
	}
	return nil, errors.Newf("unknown method %q", method)
}

// applyConfig applies a configuration that was pulled from a peer.
func (f *fleet) applyConfig(from ids.Instance, raw []byte) error {
	c, err := f.decodeConfig(raw)
	if err != nil {
		return err
	}
	f.node.SetConfig(c, string(from))
	return nil
}

// applyTargets applies a list of targets that was pulled from a peer. It returns once the list
// is in force.
func (f *fleet) applyTargets(from ids.Instance, raw []byte) error {
	list := new(fleetv1.TargetList)
	if err := proto.Unmarshal(raw, list); err != nil {
		return errors.Wrap(err, "decode the list of targets")
	}
	f.node.directory.merge(from, list)
	f.node.directory.wait()
	return nil
}
