// Package authenticate finds the workspace of a request by its bearer key.
package authenticate

import (
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const bearer = "Bearer "

// Filter knows the hashes of all keys in force.
type Filter struct {
	index atomic.Pointer[index]
	// last contracts, of Update's goroutine.
	last map[ids.Workspace]*api.Contract
}

// New returns a filter that knows no key.
func New() *Filter {
	f := &Filter{}
	f.index.Store(&index{})
	return f
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "authenticate" }

// Update replaces the contracts in force; one that has not changed is the same
// pointer as before. Calls must not overlap.
func (f *Filter) Update(contracts map[ids.Workspace]*api.Contract) {
	edit := f.index.Load().edit()
	for ws, old := range f.last {
		if contracts[ws] != old {
			edit.remove(old)
		}
	}
	for ws, contract := range contracts {
		if f.last[ws] != contract {
			edit.add(contract)
		}
	}
	f.last = contracts
	f.index.Store(edit.next)
}

// Patch takes in contracts of which only the named workspaces' differ from those
// of the last call. Calls must not overlap with others or with Update.
func (f *Filter) Patch(contracts map[ids.Workspace]*api.Contract, changed []ids.Workspace) {
	edit := f.index.Load().edit()
	for _, ws := range changed {
		old, next := f.last[ws], contracts[ws]
		if old == next {
			continue
		}
		if old != nil {
			edit.remove(old)
		}
		if next != nil {
			edit.add(next)
		}
	}
	f.last = contracts
	f.index.Store(edit.next)
}

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	header := x.In.Header.Get("Authorization")
	key, ok := strings.CutPrefix(header, bearer)
	if !ok || key == "" {
		return f.refuse("no bearer key in the Authorization header")
	}
	x.Contract = f.index.Load().find(key)
	if x.Contract == nil {
		return f.refuse("the key belongs to no workspace in force")
	}
	return next(x)
}

func (f *Filter) refuse(message string) error {
	return outcome.Refuse(f.Name(), http.StatusUnauthorized, outcome.CodeUnauthorized, message)
}
