package daemon

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/member"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// The methods of the calls between routers.
const (
	callStatus  = "status"
	callBurn    = "burn"
	callExplain = "explain"
)

// drainEvent is the scheduler event for a router that is stopping.
var drainEvent = sched.Drain{}

// Receive implements peer.Handler. It passes a message to the controller that
// consumes it; a scheduler message is dropped if the scheduler's queue is full.
func (d *Daemon) Receive(from peer.Peer, env *peerv1.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerv1.Envelope_Heartbeat:
		d.config.SetPeerRevision(from.Instance, body.Heartbeat.GetRevision())
	case *peerv1.Envelope_Sched:
		d.dispatcher.TryEnqueue(sched.Receive{From: from.Instance, Msg: body.Sched})
	case *peerv1.Envelope_Config:
		d.config.Receive(from.Instance, body.Config)
	case *peerv1.Envelope_Quarantine:
		d.quarantine.Receive(from.Instance, body.Quarantine)
	}
}

// PeersChanged implements peer.Handler. Routers that are draining are left out
// of the scheduler's view, and so take no part in sharing accounts and permits.
func (d *Daemon) PeersChanged(live []peer.Peer) {
	routers := []sched.Router{{
		Instance: ids.Instance(d.settings.Instance),
		Domain:   ids.Domain(d.settings.Domain),
	}}
	for _, p := range live {
		if !p.Draining {
			routers = append(routers, sched.Router{Instance: p.Instance, Domain: p.Domain})
		}
	}
	d.dispatcher.Enqueue(sched.SetRouters{Routers: routers})
	names := make([]ids.Instance, 0, len(live))
	for _, p := range live {
		names = append(names, p.Instance)
	}
	d.quarantine.PeersChanged(names)
}

// Serve implements peer.Handler. It answers a call of another router with JSON
// and returns an error for an unknown method.
func (d *Daemon) Serve(ctx context.Context, _ peer.Peer, method string, body []byte) ([]byte, error) {
	switch method {
	case callStatus:
		return json.Marshal(d.localStatus(ctx))
	case callBurn:
		return json.Marshal(d.burn.Snapshot())
	case callExplain:
		return json.Marshal(d.localExplain(string(body)))
	default:
		return nil, errors.Newf("no call named %q", method)
	}
}

func (d *Daemon) newHeartbeat() *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Revision: d.config.Snapshot().Revision,
		Draining: d.isDraining(),
		Watcher:  d.config.IsWatching(),
	}
}

func (d *Daemon) sendSched(to ids.Instance, msg *schedv1.Message) {
	d.mesh.Send(to, &peerv1.Envelope{Body: &peerv1.Envelope_Sched{Sched: msg}})
}

func (d *Daemon) sendConfig(to ids.Instance, msg *configv1.Message) {
	d.mesh.Send(to, &peerv1.Envelope{Body: &peerv1.Envelope_Config{Config: msg}})
}

// recordWriterRank returns this router's place among the writers of the record of crashes.
func (d *Daemon) recordWriterRank() (rank int, isWriter bool) {
	var candidates []ids.Instance
	for _, p := range d.mesh.Live() {
		if !p.Draining {
			candidates = append(candidates, p.Instance)
		}
	}
	return member.RecordWriterRank(ids.Instance(d.settings.Instance), candidates)
}

// broadcastQuarantine sends a quarantine message to all live routers.
func (d *Daemon) broadcastQuarantine(msg *quarantinev1.Message) {
	for _, p := range d.mesh.Live() {
		d.sendQuarantine(p.Instance, msg)
	}
}

// sendQuarantine sends a quarantine message to one router.
func (d *Daemon) sendQuarantine(to ids.Instance, msg *quarantinev1.Message) {
	d.mesh.Send(to, &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: msg}})
}

// liveIncarnation returns the incarnation in which an instance is live, and
// false if it isn't live.
func (d *Daemon) liveIncarnation(instance ids.Instance) (ids.Incarnation, bool) {
	if string(instance) == d.settings.Instance {
		return d.incarnation, true
	}
	for _, p := range d.mesh.Live() {
		if p.Instance == instance {
			return p.Incarnation, true
		}
	}
	return 0, false
}

func (d *Daemon) ownedTargets(ctx context.Context) []ids.Target {
	return d.dispatcher.Inspect(ctx).Owned
}

// isIsolated reports whether other routers are configured but none has a link.
func (d *Daemon) isIsolated() bool {
	if len(d.mesh.Live()) > 0 {
		return false
	}
	return len(d.seeds(d.config.Snapshot())) > 0
}
