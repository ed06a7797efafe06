package daemon

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
	peerv1 "github.com/umberhill/umberhill/api/peer/v1"
	quarantinev1 "github.com/umberhill/umberhill/api/quarantine/v1"
	schedv1 "github.com/umberhill/umberhill/api/sched/v1"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/peer"
)

// Methods of calls between routers.
const (
	callStatus  = "status"
	callBurn    = "burn"
	callExplain = "explain"
)

// drainEvent tells the scheduler that the router is stopping.
var drainEvent = sched.Drain{}

// Receive implements peer.Handler.
func (d *Daemon) Receive(from peer.Peer, env *peerv1.Envelope) {
	switch body := env.GetBody().(type) {
	case *peerv1.Envelope_Heartbeat:
		d.config.PeerRevision(from.Instance, body.Heartbeat.GetRevision())
	case *peerv1.Envelope_Sched:
		d.dispatcher.TryEnqueue(sched.Receive{From: from.Instance, Msg: body.Sched})
	case *peerv1.Envelope_Config:
		d.config.Receive(from.Instance, body.Config)
	case *peerv1.Envelope_Quarantine:
		d.quarantine.Receive(from.Instance, body.Quarantine)
	}
}

// PeersChanged implements peer.Handler: routers that are stopping take no part in
// the sharing of accounts and permits.
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
}

// Serve implements peer.Handler.
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

func (d *Daemon) beat() *peerv1.Heartbeat {
	return &peerv1.Heartbeat{
		Revision: d.config.Snapshot().Revision,
		Draining: d.leaving(),
		Watcher:  d.config.Watching(),
	}
}

func (d *Daemon) sendSched(to ids.Instance, msg *schedv1.Message) {
	d.mesh.Send(to, &peerv1.Envelope{Body: &peerv1.Envelope_Sched{Sched: msg}})
}

func (d *Daemon) sendConfig(to ids.Instance, msg *configv1.Message) {
	d.mesh.Send(to, &peerv1.Envelope{Body: &peerv1.Envelope_Config{Config: msg}})
}

// broadcastQuarantine tells all live routers.
func (d *Daemon) broadcastQuarantine(msg *quarantinev1.Message) {
	for _, p := range d.mesh.Live() {
		d.mesh.Send(p.Instance, &peerv1.Envelope{Body: &peerv1.Envelope_Quarantine{Quarantine: msg}})
	}
}

// liveIncarnation tells in which incarnation an instance is live.
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

// alone tells whether this router knows of others and reaches none.
func (d *Daemon) alone() bool {
	if len(d.mesh.Live()) > 0 {
		return false
	}
	return len(d.seeds(d.config.Snapshot())) > 0
}
