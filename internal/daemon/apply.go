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

// applyInterval is the least time between two changes of what is in force, so
// that a burst of changes costs no more than a few of them.
const applyInterval = 100 * time.Millisecond

// applier puts the newest configuration in force. It is level-triggered: what
// it is woken for counts for nothing, only the newest snapshot does.
type applier struct {
	woken   chan struct{}
	applied atomic.Pointer[configsync.Snapshot]
}

func newApplier() *applier {
	a := &applier{woken: make(chan struct{}, 1)}
	a.applied.Store(&configsync.Snapshot{})
	return a
}

// wake tells that there is a newer snapshot.
func (a *applier) wake() {
	select {
	case a.woken <- struct{}{}:
	default:
	}
}

// inForce is the configuration by which requests are served.
func (d *Daemon) inForce() *configsync.Snapshot { return d.applier.applied.Load() }

// apply is the duty that puts configurations in force.
func (d *Daemon) apply(ctx context.Context) error {
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.applier.woken:
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

// applySnapshot tells each part what concerns it and has changed.
func (d *Daemon) applySnapshot(next *configsync.Snapshot) {
	last := d.inForce().Generations
	if next.Generations.Targets != last.Targets {
		d.directory.Update(next.Targets)
		d.dispatcher.Enqueue(sched.SetTargets{Targets: directory.Scheduled(next.Targets)})
	}
	if next.Generations.Contracts != last.Contracts {
		d.applyContracts(next, last.Contracts)
	}
	if next.Generations.Routers != last.Routers {
		d.mesh.SetPeers(d.seeds(next))
	}
	d.applier.applied.Store(next)
}

// applyContracts passes on the changes since a generation, or all contracts
// where the snapshot can't tell them.
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

// seeds are the peers of the settings and of the platform's list. Where both
// name an instance, the settings count.
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
