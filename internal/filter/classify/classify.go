// Package classify assigns a class to a request, which determines whether it may be
// retried, be deferred, or run at most once, and checks its idempotency key.
package classify

import (
	"net/http"

	"github.com/umberhill/umberhill/internal/api"
	"github.com/umberhill/umberhill/internal/filter"
	"github.com/umberhill/umberhill/internal/outcome"
)

// IdempotencyKeyHeader is the header with the caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// MaxKeyBytes is the largest length of an idempotency key.
const MaxKeyBytes = 255

// Rule returns the class that a contract assigns to a request.
type Rule func(c *api.Contract, service, model, method, path string) api.Class

// Filter assigns classes by a rule.
type Filter struct {
	rule Rule
}

// New returns a filter that assigns classes by the rule.
func New(rule Rule) *Filter { return &Filter{rule: rule} }

// Name implements filter.Filter.
func (f *Filter) Name() string { return "classify" }

// Serve implements filter.Filter.
func (f *Filter) Serve(x *filter.Exchange, next filter.Handler) error {
	x.Class = f.rule(x.Contract, x.Service, x.Model, x.Request.Method, x.Path)
	keys := x.Request.Header.Values(IdempotencyKeyHeader)
	if len(keys) > 1 {
		return f.refuse("more than one idempotency key")
	}
	if len(keys) == 0 {
		return next(x)
	}
	x.IdempotencyKey = keys[0]
	if x.IdempotencyKey == "" || len(x.IdempotencyKey) > MaxKeyBytes {
		return f.refuse("an idempotency key has 1 to 255 bytes")
	}
	return next(x)
}

func (f *Filter) refuse(message string) error {
	return outcome.Refuse(f.Name(), http.StatusBadRequest, outcome.CodeBadRequest, message)
}
