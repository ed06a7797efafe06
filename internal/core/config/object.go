// Package config merges configuration objects from the platform and from other
// routers into one set that never goes back.
//
// The platform numbers its writes with one rising revision. A Set holds, for
// each object, the newest version it has met, deletions included. It is
// complete up to a revision: for every object it holds the state at that
// revision or a newer one. Messages may be lost, late, repeated or reordered;
// none of that lowers a version or the revision.
//
// The package has no I/O, clock, goroutine or global.
package config

import (
	"cmp"

	"github.com/umberhill/umberhill/internal/api"

	configv1 "github.com/umberhill/umberhill/api/config/v1"
)

// Key names an object.
type Key struct {
	Kind api.Kind
	Name string
}

// compare orders keys by kind and name, the order of pages.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

func (k Key) ref() *configv1.Ref {
	if k == (Key{}) {
		return nil
	}
	return &configv1.Ref{Kind: string(k.Kind), Name: k.Name}
}

func keyOf(r *configv1.Ref) Key { return Key{Kind: api.Kind(r.GetKind()), Name: r.GetName()} }

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

// Parse decodes and checks an object's value. It must be a pure function.
type Parse func(key Key, value []byte) (any, error)

// entry is what a Set holds of one object.
type entry struct {
	Object
	// good is the last valid write: the object itself, or an earlier write where
	// the newest one is not valid. Version 0 is none.
	good  Object
	typed any
	// problem says why the newest write is not valid; empty where it is.
	problem string
}

// message converts the entry for another router.
func (e *entry) message() *configv1.Object {
	m := &configv1.Object{
		Kind: string(e.Kind), Name: e.Name,
		Version: e.Version, Value: e.Value, Deleted: e.Deleted,
	}
	if e.problem != "" && e.good.Version > 0 {
		m.GoodVersion = e.good.Version
		m.GoodValue = e.good.Value
	}
	return m
}

// fromMessage splits a message into the newest write and the last valid one.
func fromMessage(m *configv1.Object) (obj, good Object) {
	key := Key{Kind: api.Kind(m.GetKind()), Name: m.GetName()}
	obj = Object{Key: key, Version: m.GetVersion(), Value: m.GetValue(), Deleted: m.GetDeleted()}
	if m.GetGoodVersion() > 0 {
		good = Object{Key: key, Version: m.GetGoodVersion(), Value: m.GetGoodValue()}
	}
	return obj, good
}

// Problem is an object whose newest write is not valid, or that two writers
// gave the same version.
type Problem struct {
	Key
	// Version of the write at fault.
	Version uint64
	// InForce is the version of the last valid write; 0 where there is none.
	InForce uint64
	// Message says what is wrong.
	Message string
}
