// Package authenticate finds the workspace of a request by its bearer key.
package authenticate

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"sync/atomic"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/ids"
	"github.com/umberhill/umberhill/internal/outcome"
)

const bearer = "Bearer "

// indexBytes of a key's hash choose the candidates that are compared in full.
const indexBytes = 8

type entry struct {
	hash     [sha256.Size]byte
	contract *api.Contract
}

type index map[[indexBytes]byte][]entry

// Filter knows the hashes of all keys in force.
type Filter struct {
	index atomic.Pointer[index]
}

// New returns a filter that knows no key.
func New() *Filter {
	f := &Filter{}
	f.Update(nil)
	return f
}

// Name implements filter.Filter.
func (f *Filter) Name() string { return "authenticate" }

// Update replaces the contracts in force. Hashes that can't be decoded are
// passed over; validation has refused them before.
func (f *Filter) Update(contracts map[ids.Workspace]*api.Contract) {
	next := make(index, len(contracts))
	for _, contract := range contracts {
		for _, key := range contract.Keys {
			next.add(key, contract)
		}
	}
	f.index.Store(&next)
}

func (i index) add(key api.KeyHash, contract *api.Contract) {
	raw, err := hex.DecodeString(key.SHA256)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	e := entry{hash: [sha256.Size]byte(raw), contract: contract}
	head := [indexBytes]byte(raw)
	i[head] = append(i[head], e)
}

func (i index) find(key string) *api.Contract {
	hash := sha256.Sum256([]byte(key))
	var found *api.Contract
	for _, e := range i[[indexBytes]byte(hash[:])] {
		if subtle.ConstantTimeCompare(e.hash[:], hash[:]) == 1 {
			found = e.contract
		}
	}
	return found
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
	return &outcome.Error{
		Code:    outcome.CodeUnauthorized,
		Message: message,
		Outcome: outcome.NotRun,
		Status:  http.StatusUnauthorized,
		Step:    f.Name(),
	}
}
