// Package config merges configuration objects from the platform and from other
// routers into one set that never reverts to an older state.
//
// The platform assigns each write an increasing revision. A Set holds the newest
// received version of each object, including deletions. It is complete up to a
// revision: for every object it holds the state at that revision or a newer one.
//
// Messages may be lost, delayed, duplicated or reordered. Invariants: the version
// of an object, the revision and the revision up to which the set is complete never
// decrease.
//
// The package has no I/O, clock, goroutines or global state.
package config

import (
	"cmp"

	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Key identifies an object.
type Key struct {
	Kind api.Kind
	Name string
}

// compare orders keys by kind, then name. Pages are in this order.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

func (k Key) toProto() *configv1.Ref {
	if k == (Key{}) {
		return nil
	}
	return &configv1.Ref{Kind: string(k.Kind), Name: k.Name}
}

func keyFromProto(r *configv1.Ref) Key { return Key{Kind: api.Kind(r.GetKind()), Name: r.GetName()} }

// Object is one write or deletion of an object.
type Object struct {
	Key
	// Version is the platform revision of the write or deletion.
	Version uint64
	// Value is the object's JSON; nil for a deletion.
	Value []byte
	// Deleted is set for a deletion.
	Deleted bool
}

// Parse decodes and validates an object's value. It must be a pure function.
type Parse func(key Key, value []byte) (any, error)

// entry is the state of one object in a Set.
type entry struct {
	Object
	// lastValid is the last valid write: the newest write or, if that is not
	// valid, an earlier one. Version 0 means that there is none.
	lastValid Object
	// parsed is the decoded value of lastValid.
	parsed any
	// parseError is the reason why the newest write is not valid; empty if it is
	// valid.
	parseError string
}

// toProto returns the message that describes the entry to another router.
func (e *entry) toProto() *configv1.Object {
	m := &configv1.Object{
		Kind: string(e.Kind), Name: e.Name,
		Version: e.Version, Value: e.Value, Deleted: e.Deleted,
	}
	if e.parseError != "" && e.lastValid.Version > 0 {
		m.GoodVersion = e.lastValid.Version
		m.GoodValue = e.lastValid.Value
	}
	return m
}

// objectFromProto returns the newest write in a message and the last valid write sent
// with it; the latter has version 0 if none was sent.
func objectFromProto(m *configv1.Object) (obj, lastValid Object) {
	key := Key{Kind: api.Kind(m.GetKind()), Name: m.GetName()}
	obj = Object{Key: key, Version: m.GetVersion(), Value: m.GetValue(), Deleted: m.GetDeleted()}
	if m.GetGoodVersion() > 0 {
		lastValid = Object{Key: key, Version: m.GetGoodVersion(), Value: m.GetGoodValue()}
	}
	return obj, lastValid
}

// Problem describes an object whose newest write is not valid, or for which two
// different writes with the same version were received.
type Problem struct {
	Key
	// Version is the version of the write concerned.
	Version uint64
	// InForce is the version of the last valid write; 0 if there is none.
	InForce uint64
	// Message describes the problem.
	Message string
}
