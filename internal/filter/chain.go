package filter

import "github.com/cockroachdb/errors"

// ErrIncomplete reports that a response was started and can't be completed. The
// caller's connection must be closed within the response, so that the caller
// detects that it is incomplete.
var ErrIncomplete = errors.New("response incomplete")

// Handler handles an exchange. It returns nil if the response was sent completely,
// ErrIncomplete if it was started and can't be completed, and otherwise an
// *outcome.Error, with nothing sent to the caller.
type Handler func(*Exchange) error

// Filter is one step of the chain.
type Filter interface {
	// Name returns the name of the step that is reported in errors.
	Name() string
	// Serve handles the exchange. It calls next to pass it to the next filter.
	Serve(x *Exchange, next Handler) error
}

// Chain returns a handler that calls the filters in the given order. The last
// filter must not call next.
func Chain(filters ...Filter) Handler {
	var handler Handler
	for i := len(filters) - 1; i >= 0; i-- {
		handler = bind(filters[i], handler)
	}
	return handler
}

func bind(f Filter, next Handler) Handler {
	return func(x *Exchange) error { return f.Serve(x, next) }
}
