package ledger

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// The reasons of a refused claim.
var (
	// ErrUnavailable: the store does not answer.
	ErrUnavailable = errors.New("store of claims is unavailable")
	// ErrFull: the key's bucket has no room.
	ErrFull = errors.New("bucket of claims is full")
	// ErrBusy: this router has too many claims open.
	ErrBusy = errors.New("too many open claims")
	// ErrStopped: the ledger is not running any more.
	ErrStopped = errors.New("ledger is stopping")
	// ErrLate: the claim took so long that it was given back.
	ErrLate = errors.New("claim took too long")
)

// The reasons why an answer of the store is no ground for a decision.
var (
	errStale      = errors.New("store answers with an old bucket")
	errUnreadable = errors.New("bucket of claims cannot be read")
)

// When a refused caller may come back.
const (
	retryLater = 2 * time.Second
	retryFull  = 10 * time.Minute
)

// Error is a refused claim: its request has not run.
type Error struct {
	// Step at which the claim failed.
	Step string
	// Peer is the object of the store.
	Peer string
	// RetryAfter is when trying again makes sense; zero where it does not.
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

// refusal returns the Error for a step that failed at the store.
func (l *Ledger) refusal(step string, err error) *Error {
	var known *Error
	if errors.As(err, &known) {
		return known
	}
	return &Error{Step: step, RetryAfter: retryLater, Err: errors.Mark(err, ErrUnavailable)}
}
