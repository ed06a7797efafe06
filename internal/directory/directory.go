// Package directory maps the targets in force to their addresses and pools.
package directory

import (
	"sync/atomic"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// Directory is an index of the targets in force. It is safe for concurrent use:
// readers see either the targets before an update or those after it.
type Directory struct {
	index atomic.Pointer[index]
}

type index struct {
	targets map[ids.Target]api.Target
	pools   map[ids.Pool]int
}

// New returns an empty Directory.
func New() *Directory {
	d := &Directory{}
	d.Update(nil)
	return d
}

// Update replaces the targets.
func (d *Directory) Update(targets map[ids.Target]api.Target) {
	next := &index{targets: targets, pools: make(map[ids.Pool]int)}
	for _, target := range targets {
		for _, pool := range Pools(target) {
			next.pools[pool]++
		}
	}
	d.index.Store(next)
}

// Address returns the IP address and port of a target, and false if there is no
// such target.
func (d *Directory) Address(id ids.Target) (string, bool) {
	target, ok := d.index.Load().targets[id]
	return target.Address, ok
}

// IsKnown reports whether a pool has a target, in any state.
func (d *Directory) IsKnown(pool ids.Pool) bool {
	return d.index.Load().pools[pool] > 0
}

// IsEngine reports whether a target is a model engine.
func (d *Directory) IsEngine(id ids.Target) bool {
	return d.index.Load().targets[id].Kind == api.TargetEngine
}

// Pools returns the pools that a target belongs to: the pool of its service, or
// those of the models that the engine serves.
func Pools(target api.Target) []ids.Pool {
	if target.Kind == api.TargetService {
		return []ids.Pool{ids.ServicePool(target.Service)}
	}
	pools := make([]ids.Pool, 0, len(target.Models))
	for _, model := range target.Models {
		pools = append(pools, ids.ModelPool(model))
	}
	return pools
}

// SchedulerTargets returns the targets in the form that the scheduler uses.
func SchedulerTargets(targets map[ids.Target]api.Target) []sched.Target {
	list := make([]sched.Target, 0, len(targets))
	for id, target := range targets {
		list = append(list, sched.Target{
			ID:          id,
			Domain:      ids.Domain(target.Domain),
			Pools:       Pools(target),
			Concurrency: target.Concurrency,
			Draining:    target.State == api.StateDraining,
		})
	}
	return list
}
