package configsync

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/contract"
	"github.com/umberhill/umberhill/internal/core/config"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/strictjson"
)

// parse decodes and validates the value of an object. The name in the value must
// equal the name of the object.
func parse(key config.Key, value []byte) (any, error) {
	switch key.Kind {
	case api.KindContract:
		c, err := contract.Parse(value)
		if err != nil {
			return nil, err
		}
		return c, checkName("workspace", c.Workspace, key.Name)
	case api.KindTarget:
		t, err := contract.ParseTarget(value)
		if err != nil {
			return nil, err
		}
		return *t, checkName("id", t.ID, key.Name)
	case api.KindRouter:
		r, err := contract.ParseRouter(value)
		if err != nil {
			return nil, err
		}
		return *r, checkName("id", r.ID, key.Name)
	case api.KindDrain:
		d, err := contract.ParseDrain(value)
		if err != nil {
			return nil, err
		}
		return *d, checkName("id", contract.DrainName(d.Of, d.ID), key.Name)
	}
	return nil, errors.Newf("unknown kind %q", key.Kind)
}

func checkName(path, got, want string) error {
	if got != want {
		return strictjson.Errors{{Path: path, Message: fmt.Sprintf("does not fit the object's name %q", want)}}
	}
	return nil
}

// builder derives snapshots from a set incrementally, one changed object at a time.
type builder struct {
	set       *config.Set
	contracts map[ids.Workspace]*api.Contract
	targets   map[ids.Target]api.Target
	routers   map[ids.Instance]api.Router
	drains    map[string]api.Drain
	keys      keyIndex
}

func newBuilder(set *config.Set) *builder {
	return &builder{
		set:       set,
		contracts: map[ids.Workspace]*api.Contract{},
		targets:   map[ids.Target]api.Target{},
		routers:   map[ids.Instance]api.Router{},
		drains:    map[string]api.Drain{},
		keys:      keyIndex{},
	}
}

// build returns the snapshot that follows last after the given objects changed.
// Maps without a change are shared with last.
func (b *builder) build(last *Snapshot, changed []config.Key) *Snapshot {
	kinds := map[api.Kind]bool{}
	affected := map[ids.Workspace]bool{}
	for _, key := range changed {
		kinds[key.Kind] = true
		b.apply(key, affected)
	}
	next := *last
	next.Revision, next.Initialized = b.set.Revision(), b.set.IsInitialized()
	if len(affected) > 0 {
		next.Contracts = b.buildContracts(last.Contracts, affected)
		next.Generations.Contracts++
		next.recordContractChanges(affected)
	}
	if kinds[api.KindDrain] {
		next.Drains = maps.Clone(b.drains)
	}
	if kinds[api.KindTarget] || kinds[api.KindDrain] {
		next.Targets = b.buildTargets()
		next.Generations.Targets++
	}
	if kinds[api.KindRouter] || kinds[api.KindDrain] {
		next.Routers = b.buildRouters()
		next.Generations.Routers++
	}
	next.Problems = b.problems()
	return &next
}

// recordContractChanges records the affected workspaces under the snapshot's
// generation. If they exceed maxContractChanges, all recorded changes are dropped,
// and readers of older generations must compare all contracts.
func (s *Snapshot) recordContractChanges(affected map[ids.Workspace]bool) {
	if len(s.contractChanges)+len(affected) > maxContractChanges {
		s.contractChanges, s.contractChangesSince = nil, s.Generations.Contracts
		return
	}
	changes := slices.Clone(s.contractChanges)
	for ws := range affected {
		changes = append(changes, contractChange{generation: s.Generations.Contracts, workspace: ws})
	}
	s.contractChanges = changes
}

// apply copies an object's value in force from the set. It adds to affected the
// workspaces whose contracts may differ afterwards.
func (b *builder) apply(key config.Key, affected map[ids.Workspace]bool) {
	typed, _ := b.set.Lookup(key)
	switch key.Kind {
	case api.KindContract:
		ws := ids.Workspace(key.Name)
		b.keys.update(ws, b.contracts[ws], asContract(typed), affected)
		affected[ws] = true
		setOrDelete(b.contracts, ws, typed)
	case api.KindTarget:
		setOrDelete(b.targets, ids.Target(key.Name), typed)
	case api.KindRouter:
		setOrDelete(b.routers, ids.Instance(key.Name), typed)
	case api.KindDrain:
		setOrDelete(b.drains, key.Name, typed)
	}
}

func asContract(typed any) *api.Contract {
	c, _ := typed.(*api.Contract)
	return c
}

// setOrDelete stores the value under key, or deletes key if the value is not of
// type V, as for a deleted object.
func setOrDelete[K comparable, V any](m map[K]V, key K, typed any) {
	if v, ok := typed.(V); ok {
		m[key] = v
		return
	}
	delete(m, key)
}

func (b *builder) buildContracts(last map[ids.Workspace]*api.Contract, affected map[ids.Workspace]bool) map[ids.Workspace]*api.Contract {
	out := maps.Clone(last)
	for ws := range affected {
		if c, ok := b.contracts[ws]; ok {
			out[ws] = b.keys.withOwnKeys(ws, c)
			continue
		}
		delete(out, ws)
	}
	return out
}

func (b *builder) buildTargets() map[ids.Target]api.Target {
	out := maps.Clone(b.targets)
	for _, d := range b.drains {
		if t, ok := out[ids.Target(d.ID)]; ok && d.Of == api.DrainTarget {
			t.State = api.StateDraining
			out[ids.Target(d.ID)] = t
		}
	}
	return out
}

func (b *builder) buildRouters() map[ids.Instance]api.Router {
	out := maps.Clone(b.routers)
	for _, d := range b.drains {
		if r, ok := out[ids.Instance(d.ID)]; ok && d.Of == api.DrainInstance {
			r.State = api.StateDraining
			out[ids.Instance(d.ID)] = r
		}
	}
	return out
}

func (b *builder) problems() []Problem {
	var out []Problem
	for _, p := range b.set.Problems() {
		out = append(out, Problem{Kind: p.Kind, Name: p.Name, Version: p.Version, InForce: p.InForce, Message: p.Message})
	}
	return append(out, b.keys.problems()...)
}

// keyIndex maps the hash of a key to the workspaces whose contracts list it, sorted
// by name. A key belongs to one workspace only. If concurrent writes assigned it to
// several, the first by name owns it.
type keyIndex map[string][]ids.Workspace

// update replaces the keys of a workspace's old contract by those of the next one.
// It adds every workspace that shares one of these keys to affected.
func (x keyIndex) update(ws ids.Workspace, old, next *api.Contract, affected map[ids.Workspace]bool) {
	if old != nil {
		for _, k := range old.Keys {
			x.remove(k.SHA256, ws)
			x.addWorkspaces(k.SHA256, affected)
		}
	}
	if next != nil {
		for _, k := range next.Keys {
			x[k.SHA256] = append(x[k.SHA256], ws)
			slices.Sort(x[k.SHA256])
			x.addWorkspaces(k.SHA256, affected)
		}
	}
}

func (x keyIndex) remove(hash string, ws ids.Workspace) {
	x[hash] = slices.DeleteFunc(x[hash], func(o ids.Workspace) bool { return o == ws })
	if len(x[hash]) == 0 {
		delete(x, hash)
	}
}

func (x keyIndex) addWorkspaces(hash string, affected map[ids.Workspace]bool) {
	for _, ws := range x[hash] {
		affected[ws] = true
	}
}

// withOwnKeys returns the contract without the keys that other workspaces own.
func (x keyIndex) withOwnKeys(ws ids.Workspace, c *api.Contract) *api.Contract {
	isForeign := func(k api.KeyHash) bool { return x[k.SHA256][0] != ws }
	if !slices.ContainsFunc(c.Keys, isForeign) {
		return c
	}
	own := *c
	own.Keys = slices.DeleteFunc(slices.Clone(c.Keys), isForeign)
	return &own
}

func (x keyIndex) problems() []Problem {
	var out []Problem
	for _, workspaces := range x {
		for _, ws := range workspaces[1:] {
			out = append(out, Problem{
				Kind: api.KindContract, Name: string(ws),
				Message: fmt.Sprintf("has a key that belongs to workspace %s; the key is not in force here", workspaces[0]),
			})
		}
	}
	slices.SortFunc(out, func(a, b Problem) int { return strings.Compare(a.Name+a.Message, b.Name+b.Message) })
	return out
}
