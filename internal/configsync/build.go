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

// parse decodes and checks an object's value. The name in the value must be the
// object's.
func parse(key config.Key, value []byte) (any, error) {
	switch key.Kind {
	case api.KindContract:
		c, err := contract.Parse(value)
		if err != nil {
			return nil, err
		}
		return c, sameName("workspace", c.Workspace, key.Name)
	case api.KindTarget:
		t, err := contract.ParseTarget(value)
		if err != nil {
			return nil, err
		}
		return *t, sameName("id", t.ID, key.Name)
	case api.KindRouter:
		r, err := contract.ParseRouter(value)
		if err != nil {
			return nil, err
		}
		return *r, sameName("id", r.ID, key.Name)
	case api.KindDrain:
		d, err := contract.ParseDrain(value)
		if err != nil {
			return nil, err
		}
		return *d, sameName("id", contract.DrainName(d.Of, d.ID), key.Name)
	}
	return nil, errors.Newf("unknown kind %q", key.Kind)
}

func sameName(path, got, want string) error {
	if got != want {
		return strictjson.Errors{{Path: path, Message: fmt.Sprintf("does not fit the object's name %q", want)}}
	}
	return nil
}

// builder derives snapshots from a set, object by object.
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

// build returns the snapshot after some objects changed. Maps of the last
// snapshot that do not change are shared with it.
func (b *builder) build(last *Snapshot, changed []config.Key) *Snapshot {
	kinds := map[api.Kind]bool{}
	affected := map[ids.Workspace]bool{}
	for _, key := range changed {
		kinds[key.Kind] = true
		b.take(key, affected)
	}
	next := *last
	next.Revision, next.Known = b.set.Revision(), b.set.IsInitialized()
	if len(affected) > 0 {
		next.Contracts = b.buildContracts(last.Contracts, affected)
		next.Generations.Contracts++
		next.logContracts(affected)
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

// logContracts notes what changed with the snapshot's generation. Changes that
// would not fit are forgotten, and readers then compare all.
func (s *Snapshot) logContracts(affected map[ids.Workspace]bool) {
	if len(s.contractLog)+len(affected) > maxContractLog {
		s.contractLog, s.logSince = nil, s.Generations.Contracts
		return
	}
	log := slices.Clone(s.contractLog)
	for ws := range affected {
		log = append(log, contractChange{generation: s.Generations.Contracts, workspace: ws})
	}
	s.contractLog = log
}

// take notes an object's value in force.
func (b *builder) take(key config.Key, affected map[ids.Workspace]bool) {
	typed, _ := b.set.Lookup(key)
	switch key.Kind {
	case api.KindContract:
		ws := ids.Workspace(key.Name)
		b.keys.update(ws, b.contracts[ws], asContract(typed), affected)
		affected[ws] = true
		put(b.contracts, ws, typed)
	case api.KindTarget:
		put(b.targets, ids.Target(key.Name), typed)
	case api.KindRouter:
		put(b.routers, ids.Instance(key.Name), typed)
	case api.KindDrain:
		put(b.drains, key.Name, typed)
	}
}

func asContract(typed any) *api.Contract {
	c, _ := typed.(*api.Contract)
	return c
}

// put sets or, where the value is nil, removes an item.
func put[K comparable, V any](m map[K]V, key K, typed any) {
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
			t.State = api.StateLeaving
			out[ids.Target(d.ID)] = t
		}
	}
	return out
}

func (b *builder) buildRouters() map[ids.Instance]api.Router {
	out := maps.Clone(b.routers)
	for _, d := range b.drains {
		if r, ok := out[ids.Instance(d.ID)]; ok && d.Of == api.DrainInstance {
			r.State = api.StateLeaving
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

// keyIndex holds the workspaces that have a key, by the key's hash. A key must
// belong to one workspace only; where racing operators gave it to two, it stays
// with the first by name.
type keyIndex map[string][]ids.Workspace

// update moves a workspace from its old contract to the next and notes the
// others whose keys are affected.
func (x keyIndex) update(ws ids.Workspace, old, next *api.Contract, affected map[ids.Workspace]bool) {
	if old != nil {
		for _, k := range old.Keys {
			x.remove(k.SHA256, ws)
			x.note(k.SHA256, affected)
		}
	}
	if next != nil {
		for _, k := range next.Keys {
			x[k.SHA256] = append(x[k.SHA256], ws)
			slices.Sort(x[k.SHA256])
			x.note(k.SHA256, affected)
		}
	}
}

func (x keyIndex) remove(hash string, ws ids.Workspace) {
	x[hash] = slices.DeleteFunc(x[hash], func(o ids.Workspace) bool { return o == ws })
	if len(x[hash]) == 0 {
		delete(x, hash)
	}
}

func (x keyIndex) note(hash string, affected map[ids.Workspace]bool) {
	for _, ws := range x[hash] {
		affected[ws] = true
	}
}

// withOwnKeys returns the contract without the keys that belong to others.
func (x keyIndex) withOwnKeys(ws ids.Workspace, c *api.Contract) *api.Contract {
	foreign := func(k api.KeyHash) bool { return x[k.SHA256][0] != ws }
	if !slices.ContainsFunc(c.Keys, foreign) {
		return c
	}
	own := *c
	own.Keys = slices.DeleteFunc(slices.Clone(c.Keys), foreign)
	return &own
}

func (x keyIndex) problems() []Problem {
	var out []Problem
	for _, owners := range x {
		for _, ws := range owners[1:] {
			out = append(out, Problem{
				Kind: api.KindContract, Name: string(ws),
				Message: fmt.Sprintf("has a key that belongs to workspace %s; the key is not in force here", owners[0]),
			})
		}
	}
	slices.SortFunc(out, func(a, b Problem) int { return strings.Compare(a.Name+a.Message, b.Name+b.Message) })
	return out
}
