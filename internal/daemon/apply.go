package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/configsync"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/directory"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/settings"
)

// applyInterval is the minimum time between two applications of a configuration.
// It coalesces a burst of changes into a few applications.
const applyInterval = 100 * time.Millisecond

// applier holds the configuration in force and the signal that a newer one may
// exist. It is level-triggered: a signal carries no data, and the apply duty
// always reads the newest snapshot.
type applier struct {
	changed chan struct{}
	applied atomic.Pointer[configsync.Snapshot]
}

func newApplier() *applier {
	a := &applier{changed: make(chan struct{}, 1)}
	a.applied.Store(&configsync.Snapshot{})
	return a
}

// notify signals a newer snapshot. It does not block; signals that the duty has
// not yet read are merged into one.
func (a *applier) notify() {
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// inForce returns the configuration by which requests are served.
func (d *Daemon) inForce() *configsync.Snapshot { return d.applier.applied.Load() }

// apply is the duty that applies new configurations.
func (d *Daemon) apply(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.applier.changed:
		}
		d.applySnapshot(d.config.Snapshot())
		pause.Reset(applyInterval)
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
	}
}

// applySnapshot passes the changed parts of a snapshot to their consumers and
// then stores the snapshot as the configuration in force.
func (d *Daemon) applySnapshot(next *configsync.Snapshot) {
	last := d.inForce().Generations
	if next.Generations.Targets != last.Targets {
		d.directory.Update(next.Targets)
		d.dispatcher.Enqueue(sched.SetTargets{Targets: directory.SchedulerTargets(next.Targets)})
	}
	if next.Generations.Contracts != last.Contracts {
		d.applyContracts(next, last.Contracts)
	}
	if next.Generations.Routers != last.Routers {
		d.mesh.SetPeers(d.seeds(next))
	}
	d.applier.applied.Store(next)
}

// applyContracts passes the contracts that changed since a generation to the
// scheduler and to authentication, or all contracts if the snapshot no longer
// has the changes since then.
func (d *Daemon) applyContracts(next *configsync.Snapshot, since uint64) {
	changed, ok := next.ChangedContracts(since)
	if !ok {
		d.dispatcher.Enqueue(sched.SetShares{Shares: shares(next)})
		d.auth.Update(next.Contracts)
		return
	}
	d.dispatcher.Enqueue(patch(next, changed))
	d.auth.Patch(next.Contracts, changed)
}

func patch(snapshot *configsync.Snapshot, changed []ids.Workspace) sched.PatchShares {
	var p sched.PatchShares
	for _, ws := range changed {
		contract := snapshot.Contracts[ws]
		if contract == nil {
			p.Removed = append(p.Removed, ws)
			continue
		}
		p.Put = append(p.Put, share(ws, contract))
	}
	return p
}

func share(ws ids.Workspace, c *api.Contract) sched.Share {
	return sched.Share{Workspace: ws, Weight: c.Weight, Limits: c.Limits}
}

func shares(snapshot *configsync.Snapshot) []sched.Share {
	list := make([]sched.Share, 0, len(snapshot.Contracts))
	for ws, contract := range snapshot.Contracts {
		list = append(list, share(ws, contract))
	}
	return list
}

// seeds returns the peers named in the settings and in the platform's router
// list. For an instance in both, the settings take precedence.
func (d *Daemon) seeds(snapshot *configsync.Snapshot) []settings.Seed {
	known := map[string]bool{d.settings.Instance: true}
	list := make([]settings.Seed, 0, len(snapshot.Routers)+len(d.settings.Peer.Seeds))
	for _, seed := range d.settings.Peer.Seeds {
		known[seed.Instance] = true
		list = append(list, seed)
	}
	for id, router := range snapshot.Routers {
		if !known[string(id)] {
			list = append(list, settings.Seed{Instance: string(id), Address: router.PeerAddress, Domain: router.Domain})
		}
	}
	return list
}
