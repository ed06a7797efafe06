package filter

import "github.com/cockroachdb/errors"

// ErrBroken says that an answer was begun and can't be completed: the caller's
// connection must be broken so that the caller sees it.
var ErrBroken = errors.New("answer broken off")

// Handler carries an exchange to its end. It returns nil where the answer is
// complete, ErrBroken where it was begun and can't be completed, and otherwise
// an *outcome.Error, with nothing sent to the caller.
type Handler func(*Exchange) error

// Filter is one step of the chain.
type Filter interface {
	// Name of the step, as errors carry it.
	Name() string
	// Serve handles the exchange, calling next to hand it on.
	Serve(x *Exchange, next Handler) error
}

// Chain joins filters so that the first one sees the exchange first. The last
// one must not call next.
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
