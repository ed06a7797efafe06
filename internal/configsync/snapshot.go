// Package configsync keeps the configuration in force on a router: it watches
// the platform where the router is one of its failure domain's watchers, takes
// changes from other routers and relays them, and publishes each state as an
// immutable Snapshot.
package configsync

import (
	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/ids"
)

// Snapshot is the configuration in force. It is never changed: readers may keep
// it, and must not write to it.
type Snapshot struct {
	// Revision of the newest change in force; writes up to it are in force.
	Revision uint64
	// Known is set once there is a configuration, from the platform or a peer.
	// Until then the router serves nothing.
	Known bool
	// Contracts by workspace, each the last valid write.
	Contracts map[ids.Workspace]*api.Contract
	// Targets by id; those that a drain names are leaving.
	Targets map[ids.Target]api.Target
	// Routers by instance; those that a drain names are leaving.
	Routers map[ids.Instance]api.Router
	// Drains by object name.
	Drains map[string]api.Drain
	// Generations rise by one with each change of the map of that name.
	Generations Generations
	// contractLog has the changes of the generations after logSince.
	contractLog []contractChange
	logSince    uint64
	// Problems that operators should mend.
	Problems []Problem
	// PlatformUp tells whether the platform answered last. A router that does
	// not watch goes by the watchers that it hears of.
	PlatformUp bool
}

// Generations tell readers which maps of a snapshot differ from those of one
// that they saw before.
type Generations struct {
	Contracts, Targets, Routers uint64
}

// maxContractLog bounds the changes of contracts that a snapshot remembers.
const maxContractLog = 1024

// contractChange is one workspace whose contract differs from a generation on.
type contractChange struct {
	generation uint64
	workspace  ids.Workspace
}

// ChangedContracts returns the workspaces whose contracts may differ from those
// of the snapshot that had the given generation. It is false where that one is
// too old to tell.
func (s *Snapshot) ChangedContracts(since uint64) ([]ids.Workspace, bool) {
	if since < s.logSince {
		return nil, false
	}
	var changed []ids.Workspace
	for _, c := range s.contractLog {
		if c.generation > since {
			changed = append(changed, c.workspace)
		}
	}
	return changed, true
}

// Problem is an object that is not in force as written, or a platform that
// answers with an older state.
type Problem struct {
	// Kind and Name of the object; empty where the platform is at fault.
	Kind api.Kind `json:"kind,omitempty"`
	Name string   `json:"name,omitempty"`
	// Version of the write at fault.
	Version uint64 `json:"version,omitempty"`
	// InForce is the version of the last valid write; 0 where there is none.
	InForce uint64 `json:"in_force,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// empty is the snapshot before there is a configuration.
func empty() *Snapshot {
	return &Snapshot{
		Contracts: map[ids.Workspace]*api.Contract{},
		Targets:   map[ids.Target]api.Target{},
		Routers:   map[ids.Instance]api.Router{},
		Drains:    map[string]api.Drain{},
	}
}
