// Package authenticate looks up the workspace of a request by its bearer key and
// refuses requests without a valid key.
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

// Filter authenticates requests by the hashes of all keys in force.
type Filter struct {
	index atomic.Pointer[index]
	// last are the contracts of the last call of Update or Patch. They are used only
	// by these methods.
	last map[ids.Workspace]*api.Contract
}

// New returns a filter without keys. It refuses all requests until Update or Patch
// is called.
func New() *Filter {
	f := &Filter{}
	f.index.Store(&index{})
	return f
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "authenticate" }

// Update replaces the contracts in force. A contract that has not changed must be
// the same pointer as in the last call. Calls must not overlap.
func (f *Filter) Update(contracts map[ids.Workspace]*api.Contract) {
	editor := f.index.Load().edit()
	for ws, old := range f.last {
		if contracts[ws] != old {
			editor.remove(old)
		}
	}
	for ws, contract := range contracts {
		if f.last[ws] != contract {
			editor.add(contract)
		}
	}
	f.last = contracts
	f.index.Store(editor.next)
}

// Patch replaces the contracts in force. Only those of the workspaces in changed may
// differ from the last call. Calls must not overlap with each other or with Update.
func (f *Filter) Patch(contracts map[ids.Workspace]*api.Contract, changed []ids.Workspace) {
	editor := f.index.Load().edit()
	for _, ws := range changed {
		old, next := f.last[ws], contracts[ws]
		if old == next {
			continue
		}
		if old != nil {
			editor.remove(old)
		}
		if next != nil {
			editor.add(next)
		}
	}
	f.last = contracts
	f.index.Store(editor.next)
}

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	header := x.Request.Header.Get("Authorization")
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
