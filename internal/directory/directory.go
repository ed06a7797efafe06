// Package directory tells where targets listen and which pools they form.
package directory

import (
	"sync/atomic"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/core/sched"
	"github.com/umberhill/umberhill/internal/ids"
)

// Directory is an index of the targets in force. It is safe for use by several
// goroutines.
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

// Address returns the IP and port of a target.
func (d *Directory) Address(id ids.Target) (string, bool) {
	target, ok := d.index.Load().targets[id]
	return target.Address, ok
}

// IsKnown tells whether a pool has a target, whatever its state.
func (d *Directory) IsKnown(pool ids.Pool) bool {
	return d.index.Load().pools[pool] > 0
}

// Engine tells whether a target is a model engine.
func (d *Directory) Engine(id ids.Target) bool {
	return d.index.Load().targets[id].Kind == api.TargetEngine
}

// Pools returns the pools that a target belongs to.
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

// Scheduled returns the targets as the scheduler sees them.
func Scheduled(targets map[ids.Target]api.Target) []sched.Target {
	list := make([]sched.Target, 0, len(targets))
	for id, target := range targets {
		list = append(list, sched.Target{
			ID:          id,
			Domain:      ids.Domain(target.Domain),
			Pools:       Pools(target),
			Concurrency: target.Concurrency,
			Leaving:     target.State == api.StateLeaving,
		})
	}
	return list
}
