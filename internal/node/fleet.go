package node

import (
	"context"
	"sync/atomic"
	"time"

	fleetv1 "github.com/umberhill/umberhill/api/fleet/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	"github.com/umberhill/umberhill/internal/core/hub"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
	"github.com/umberhill/umberhill/internal/routing"
	"github.com/umberhill/umberhill/internal/settings"
)

const (
	// fleetName keeps links to programs of another kind out.
	fleetName = "platform"
	// reportInterval is how often routers of a full mesh tell each other their
	// load, hubInterval how often hubs and their routers do.
	reportInterval = 50 * time.Millisecond
	hubInterval    = 80 * time.Millisecond
	// idleReports is how many unchanged reports are left out before one is sent
	// again to show that it still holds.
	idleReports = 4
	// Heartbeats of the links: a peer that is silent for peerTimeout is dead.
	peerHeartbeat = 300 * time.Millisecond
	peerTimeout   = 1200 * time.Millisecond
	// maxAge bounds the age of the last reading of the store that is told.
	maxAge = time.Hour
	// pullTimeout bounds fetching a configuration from a peer.
	pullTimeout = time.Second
	// pullDelay is how long a router that is behind waits for its own news of
	// the store before it asks a peer.
	pullDelay = 100 * time.Millisecond
	// methodConfig and methodTargets are the calls that return the
	// configuration and the list of targets held.
	methodConfig  = "config"
	methodTargets = "targets"
)

// ConfigDecoder decodes a configuration that a peer passes on.
type ConfigDecoder func(raw []byte) (*routing.Config, error)

// fleet is the node's part in the exchange between routers.
type fleet struct {
	node   *Node
	mesh   *peer.Mesh
	decode ConfigDecoder
	plan   atomic.Pointer[hub.Plan]
	sums   sums
	// behind gets the peers that hold something newer.
	behind chan behind
}

// JoinFleet prepares the links to other routers; it must come before Run.
func (n *Node) JoinFleet(decode ConfigDecoder) {
	if n.settings.Peer == "" {
		return
	}
	f := &fleet{node: n, decode: decode, behind: make(chan behind, 16), sums: newSums()}
	f.plan.Store(&hub.Plan{Direct: true})
	f.mesh = peer.New(peer.Options{
		Fleet:       fleetName,
		Self:        n.settings.Instance,
		Incarnation: n.incarnation,
		Domain:      n.settings.Domain,
		Address:     n.settings.Peer,
		Heartbeat:   peerHeartbeat,
		Timeout:     peerTimeout,
		Handler:     f,
		Beat:        f.beat,
		Logger:      n.logger,
		Scope:       n.scope,
	})
	n.fleet = f
}

// Router is a router of the fleet's list.
type Router struct {
	hub.Router
	// Address at which it accepts links.
	Address string
}

// SetRouters tells the routers of the fleet, this one may be among them.
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
	plan := hub.Choose(hub.Router{Instance: s.Instance, Domain: s.Domain, Capacity: s.Capacity}, all)
	f.plan.Store(&plan)
	seeds := make([]settings.Seed, 0, len(plan.Links))
	for _, name := range plan.Links {
		r := byName[name]
		seeds = append(seeds, settings.Seed{Instance: string(name), Address: r.Address, Domain: string(r.Domain)})
	}
	f.mesh.SetPeers(seeds)
}

func (f *fleet) beat() *peerv1.Heartbeat {
	beat := &peerv1.Heartbeat{Draining: f.node.draining.Load()}
	if c := f.node.Config(); c != nil {
		beat.Revision = c.Version
	}
	return beat
}

// report tells this router's load, and as a hub the sums.
func (f *fleet) report(ctx context.Context) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	same := 0
	var last *fleetv1.Report
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		plan := f.plan.Load()
		timer.Reset(interval(plan))
		report := f.own()
		if empty(report) && empty(last) && same < idleReports && !plan.Hub {
			same++
			continue
		}
		same, last = 0, report
		if plan.Direct {
			f.broadcast(report, func(peer.Peer) bool { return true })
			continue
		}
		f.broadcast(report, func(p peer.Peer) bool { return plan.IsHub(f.node.settings.Domain, p.Instance) })
		if plan.Hub {
			f.sendSums(plan, report)
		}
	}
}

func interval(p *hub.Plan) time.Duration {
	if p.Direct {
		return reportInterval
	}
	return hubInterval
}

// broadcast sends a report to the live peers that are meant.
func (f *fleet) broadcast(r *fleetv1.Report, meant func(peer.Peer) bool) {
	env := &peerv1.Envelope{Body: &peerv1.Envelope_Fleet{Fleet: r}}
	for _, p := range f.mesh.Live() {
		if meant(p) {
			f.mesh.Send(p.Instance, env)
		}
	}
}

func empty(r *fleetv1.Report) bool {
	return len(r.GetTargets()) == 0 && len(r.GetBacklogs()) == 0 && len(r.GetWorkspaces()) == 0
}

func (f *fleet) own() *fleetv1.Report {
	loads, backlogs, use := f.node.scheduler.LocalReport()
	r := new(fleetv1.Report)
	f.setRevisions(r)
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
	for ws, u := range use {
		r.Workspaces = append(r.Workspaces, &fleetv1.WorkspaceUse{
			Workspace: string(ws), Asked: uint64(u.Requested), Started: uint64(u.Started),
		})
	}
	return r
}

// setRevisions says which state of the store the sender holds.
func (f *fleet) setRevisions(r *fleetv1.Report) {
	r.TargetsAsOf = f.held(methodTargets)
	r.ConfigVersion = f.held(methodConfig)
	r.RefreshedAgeMs = uint32(min(f.node.fresh.age(time.Now()), maxAge).Milliseconds())
}

// sendSuspects tells all linked routers of requests that crash targets.
func (n *Node) sendSuspects(m *quarantinev1.Message) {
	if n.fleet == nil {
		return
	}
	env := &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: m}}
	for _, p := range n.fleet.mesh.Live() {
		n.fleet.mesh.Send(p.Instance, env)
	}
}

// Receive implements peer.Handler.
func (f *fleet) Receive(from peer.Peer, env *peerv1.Envelope) {
	if m := env.GetQuarantine(); m != nil {
		f.node.suspects.Receive(from.Instance, m)
		f.forward(from, env)
	}
	report := env.GetFleet()
	if report == nil {
		return
	}
	f.dispatch(from, report)
	f.compare(behind{peer: from.Instance, method: methodTargets, revision: report.GetTargetsAsOf()})
	f.compare(behind{peer: from.Instance, method: methodConfig, revision: report.GetConfigVersion()})
	f.node.fresh.observe(time.Now(), time.Duration(report.GetRefreshedAgeMs())*time.Millisecond)
}

// Changed implements peer.Handler.
func (f *fleet) Changed(live []peer.Peer) {
	names := make([]ids.Instance, 0, len(live))
	for _, p := range live {
		names = append(names, p.Instance)
	}
	f.node.logger.WithField("peers", names).Info("live routers changed")
}
