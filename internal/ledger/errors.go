package ledger

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Reasons why a claim is refused.
var (
	// ErrUnavailable means that the store does not respond, or that the claim
	// could not be committed in time.
	ErrUnavailable = errors.New("claim store is unavailable")
	// ErrFull means that the key's bucket has no room for another claim.
	ErrFull = errors.New("claim bucket is full")
	// ErrBusy means that this router has too many open claims.
	ErrBusy = errors.New("too many open claims at this router")
	// ErrStopped means that the ledger is stopping or has stopped.
	ErrStopped = errors.New("ledger is stopping")
	// ErrLate means that the claim took longer than maxGrantDelay and was
	// released.
	ErrLate = errors.New("claim took too long and was released")
)

// Reasons why an object returned by the store is rejected.
var (
	errStale      = errors.New("store returned an old version of the bucket")
	errUnreadable = errors.New("claim bucket cannot be decoded")
)

// Times after which the caller of a refused claim may retry.
const (
	retryAfterRefusal = 2 * time.Second
	retryAfterFull    = 10 * time.Minute
)

// Error is the error of a refused claim. The request has not been dispatched.
type Error struct {
	// Step is the step at which the claim failed.
	Step string
	// Peer is the name of the object in the store, if there is one.
	Peer string
	// RetryAfter is the time after which the caller may retry; zero if a retry
	// is not useful.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer != "" {
		return fmt.Sprintf("%s at %s: %v", e.Step, e.Peer, e.Err)
	}
	return fmt.Sprintf("%s: %v", e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// refusal returns err if it is an Error, and otherwise an Error for a step that
// failed at the store.
func (l *Ledger) refusal(step string, err error) *Error {
	var existing *Error
	if errors.As(err, &existing) {
		return existing
	}
	return &Error{Step: step, RetryAfter: retryAfterRefusal, Err: errors.Mark(err, ErrUnavailable)}
}
