// Package configsync maintains the configuration in force on a router. If the router
// is a watcher of its failure domain, it watches the platform. It receives changes
// from other routers, relays them along a tree, and pulls those that it missed. Each
// state is published as an immutable Snapshot.
//
// Only a few watchers per failure domain call the platform, so its load does not grow
// with the number of routers. A domain without access to the platform receives the
// changes from its peers. The last valid write of an object stays in force if a newer
// write is invalid. An older state that the platform returns is ignored and reported
// as a problem.
package configsync

import (
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// Snapshot is the configuration in force. It is immutable: readers may retain it and
// must not modify it.
type Snapshot struct {
	// Revision is the version of the newest change in force. All writes up to it are
	// in force.
	Revision uint64
	// Initialized is set once a configuration was received from the platform or a
	// peer and startup is complete. Until then the router serves no requests.
	Initialized bool
	// Contracts holds the last valid contract of each workspace.
	Contracts map[ids.Workspace]*api.Contract
	// Targets holds the targets by id. Those with a drain have the state
	// api.StateDraining.
	Targets map[ids.Target]api.Target
	// Routers holds the routers by instance. Those with a drain have the state
	// api.StateDraining.
	Routers map[ids.Instance]api.Router
	// Drains holds the drains by object name.
	Drains map[string]api.Drain
	// Generations counts the changes of the maps of the same names.
	Generations Generations
	// contractChanges records the workspaces whose contracts changed in the
	// generations after contractChangesSince.
	contractChanges      []contractChange
	contractChangesSince uint64
	// Problems lists the problems that require an operator's action.
	Problems []Problem
	// PlatformUp reports whether the last call to the platform succeeded. A router
	// that does not watch relies on the heartbeats of the watchers.
	PlatformUp bool
}

// Generations are counters by which a reader detects which maps of a snapshot differ
// from those of an earlier one. Each rises by one when its map changes.
type Generations struct {
	Contracts, Targets, Routers uint64
}

// maxContractChanges is the maximum number of changed contracts that a snapshot
// records.
const maxContractChanges = 1024

// contractChange is a workspace and the generation at which its contract changed.
type contractChange struct {
	generation uint64
	workspace  ids.Workspace
}

// ChangedContracts returns the workspaces whose contracts may differ from those of
// the snapshot with the given contract generation. The second result is false if the
// changes since that generation are no longer recorded.
func (s *Snapshot) ChangedContracts(since uint64) ([]ids.Workspace, bool) {
	if since < s.contractChangesSince {
		return nil, false
	}
	var changed []ids.Workspace
	for _, c := range s.contractChanges {
		if c.generation > since {
			changed = append(changed, c.workspace)
		}
	}
	return changed, true
}

// Problem describes an object that is not in force as written, or a platform that
// returns an older state.
type Problem struct {
	// Kind and Name identify the object. They are empty for a problem of the
	// platform.
	Kind api.Kind `json:"kind,omitempty"`
	Name string   `json:"name,omitempty"`
	// Version is the version of the write that is not in force.
	Version uint64 `json:"version,omitempty"`
	// InForce is the version of the last valid write, or 0 if there is none.
	InForce uint64 `json:"in_force,omitempty"`
	// Message describes the problem.
	Message string `json:"message"`
}

// emptySnapshot returns the snapshot before any configuration was received.
func emptySnapshot() *Snapshot {
	return &Snapshot{
		Contracts: map[ids.Workspace]*api.Contract{},
		Targets:   map[ids.Target]api.Target{},
		Routers:   map[ids.Instance]api.Router{},
		Drains:    map[string]api.Drain{},
	}
}
